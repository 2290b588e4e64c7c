#include "recovery/prompt_blocks.hpp"

#include <xxhash.h>

namespace dotterellock
{

std::vector<std::uint64_t> prefix_blocks(std::string const& prompt)
{
    std::vector<std::uint64_t> blocks;
    blocks.reserve(prompt.size() / prompt_block_bytes);
    std::uint64_t chain = 0;
    for (std::size_t offset = 0; offset + prompt_block_bytes <= prompt.size();
         offset += prompt_block_bytes)
    {
        chain = XXH64(prompt.data() + offset, prompt_block_bytes, chain);
        blocks.push_back(chain);
    }
    return blocks;
}

std::uint32_t
estimated_tokens(std::string const& prompt, std::uint32_t max_tokens)
{
    return static_cast<std::uint32_t>(prompt.size() / prompt_bytes_per_token) +
           max_tokens;
}

} // namespace dotterellock
