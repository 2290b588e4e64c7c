#include "configuration/line_diff.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace dotterellock
{

namespace
{

// Limit on the longest-common-subsequence table. Above it the differing middle
// part is shown as replaced, which is still correct.
constexpr std::size_t max_table = 4000000;

using lines = std::vector<std::string>;

lines split(std::string const& text)
{
    lines result;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        std::size_t const end = std::min(text.find('\n', begin), text.size());
        result.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return result;
}

std::string line(char sign, std::size_t number, std::string const& text)
{
    return sign + std::to_string(number + 1) + ": " + text + "\n";
}

/// Lengths of the longest common subsequences of a[i..) and b[j..).
class subsequence_table
{
public:
    subsequence_table(lines const& a, lines const& b)
        : width_(b.size() + 1), lengths_((a.size() + 1) * width_, 0)
    {
        for (std::size_t i = a.size(); i-- > 0;)
        {
            for (std::size_t j = b.size(); j-- > 0;)
            {
                lengths_[i * width_ + j] =
                    a[i] == b[j] ? at(i + 1, j + 1) + 1
                                 : std::max(at(i + 1, j), at(i, j + 1));
            }
        }
    }

    std::uint32_t at(std::size_t i, std::size_t j) const
    {
        return lengths_[i * width_ + j];
    }

private:
    std::size_t width_;
    std::vector<std::uint32_t> lengths_;
};

std::string replaced(lines const& a, lines const& b, std::size_t offset)
{
    std::string text;
    for (std::size_t i = 0; i < a.size(); ++i)
        text += line('-', offset + i, a[i]);
    for (std::size_t j = 0; j < b.size(); ++j)
        text += line('+', offset + j, b[j]);
    return text;
}

std::string compared(lines const& a, lines const& b, std::size_t offset)
{
    subsequence_table const table(a, b);
    std::string text;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < a.size() || j < b.size())
    {
        if (i < a.size() && j < b.size() && a[i] == b[j])
        {
            ++i;
            ++j;
        }
        else if (
            j == b.size() ||
            (i < a.size() && table.at(i + 1, j) >= table.at(i, j + 1)))
        {
            text += line('-', offset + i, a[i]);
            ++i;
        }
        else
        {
            text += line('+', offset + j, b[j]);
            ++j;
        }
    }
    return text;
}

} // namespace

std::string line_diff(std::string const& before, std::string const& after)
{
    lines a = split(before);
    lines b = split(after);
    std::size_t const shorter = std::min(a.size(), b.size());
    std::size_t head = 0;
    while (head < shorter && a[head] == b[head])
        ++head;
    std::size_t tail = 0;
    while (tail < shorter - head &&
           a[a.size() - 1 - tail] == b[b.size() - 1 - tail])
        ++tail;
    lines const middle_a(a.begin() + head, a.end() - tail);
    lines const middle_b(b.begin() + head, b.end() - tail);
    bool const small =
        (middle_a.size() + 1) * (middle_b.size() + 1) <= max_table;
    return small ? compared(middle_a, middle_b, head)
                 : replaced(middle_a, middle_b, head);
}

} // namespace dotterellock
