#include "expected_answer.hpp"

#include <array>

#include <xxhash.h>

namespace dotterellock::standins
{

namespace
{

constexpr std::array<char const*, 16> vocabulary = {
    "the", "model", "answers", "with", "one",  "word", "after", "another",
    "and", "every", "index",   "is",   "seen", "once", "in",    "order"};

} // namespace

expected_answer::expected_answer(
    std::string const& version, std::string const& prompt)
    : seed_(XXH64(
          prompt.data(), prompt.size(),
          XXH64(version.data(), version.size(), 0)))
{
}

std::string expected_answer::token(std::uint32_t index) const
{
    std::uint64_t const h = XXH64(&index, sizeof index, seed_);
    return std::string(vocabulary[h % vocabulary.size()]) + "-" +
           std::to_string(index) + " ";
}

std::string expected_answer::text(std::uint32_t count) const
{
    std::string all;
    for (std::uint32_t i = 0; i < count; ++i)
        all += token(i);
    return all;
}

} // namespace dotterellock::standins
