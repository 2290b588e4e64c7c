// The answer that every engine stand-in gives: token i is a function of model
// version, prompt and i. Load tool, demo and tests compare with it, so that a
// missing, repeated or spliced token shows.
#ifndef DOTTERELLOCK_STANDINS_EXPECTED_ANSWER_HPP
#define DOTTERELLOCK_STANDINS_EXPECTED_ANSWER_HPP

#include <cstdint>
#include <string>

namespace dotterellock::standins
{

class expected_answer
{
public:
    expected_answer(std::string const& version, std::string const& prompt);

    std::string token(std::uint32_t index) const;

    /// The first `count` tokens in one string.
    std::string text(std::uint32_t count) const;

private:
    std::uint64_t seed_;
};

} // namespace dotterellock::standins

#endif
