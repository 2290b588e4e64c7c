// Token estimate and prefix block hashes of a prompt, for endpoint selection.
#ifndef DOTTERELLOCK_RECOVERY_PROMPT_BLOCKS_HPP
#define DOTTERELLOCK_RECOVERY_PROMPT_BLOCKS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace dotterellock
{

constexpr std::size_t prompt_block_bytes = 256;
constexpr std::size_t prompt_bytes_per_token = 4; // for common tokenizers

/// Hash i covers blocks 0 to i, so equal hashes mean equal prefixes. An
/// incomplete last block is omitted, because engines cache whole blocks.
std::vector<std::uint64_t> prefix_blocks(std::string const& prompt);

std::uint32_t
estimated_tokens(std::string const& prompt, std::uint32_t max_tokens);

} // namespace dotterellock

#endif
