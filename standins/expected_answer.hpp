// The answer of every engine stand-in: token i depends only on the model
// version, the prompt and i. The load tool, the demo and tests compare answers
// with it to detect missing, repeated and mixed-up tokens.
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

    /// The first `count` tokens, concatenated.
    std::string text(std::uint32_t count) const;

private:
    std::uint64_t seed_;
};

} // namespace dotterellock::standins

#endif
