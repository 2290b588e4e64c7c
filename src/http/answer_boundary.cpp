#include "answer_boundary.hpp"

#include <algorithm>

#include "status_line.hpp"

namespace dotterellock
{

namespace
{

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view blanks = " \t\r";
    auto const begin = std::min(text.find_first_not_of(blanks), text.size());
    auto const end = text.find_last_not_of(blanks) + 1;
    return text.substr(begin, std::max(begin, end) - begin);
}

/// Reads the fields of a head that may be malformed: inside a body it shows all
/// the same that the body was cut.
class lenient_head
{
public:
    /// @param text  begins with a status line; the last line may be incomplete
    explicit lenient_head(std::string_view text)
    {
        text.remove_prefix(std::min(text.find('\n'), text.size()));
        while (!text.empty())
        {
            text.remove_prefix(1);
            auto const end = std::min(text.find('\n'), text.size());
            read_line(text.substr(0, end), end < text.size());
            text.remove_prefix(end);
        }
    }

    message_head const& fields() const { return head_; }

    /// Whether what follows the status line may be the beginning of a head.
    bool may_be_head() const { return !has_lines_ || !head_.headers.empty(); }

private:
    void read_line(std::string_view line, bool complete)
    {
        has_lines_ = has_lines_ || complete;
        auto const colon = line.find(':');
        if (colon != std::string_view::npos)
            head_.headers.emplace_back(
                trimmed(line.substr(0, colon)),
                trimmed(line.substr(colon + 1)));
    }

    message_head head_;
    bool has_lines_ = false; // that are complete
};

std::size_t last_status_line(std::string_view text)
{
    auto at = text.rfind(status_line_start);
    while (at != std::string_view::npos && !is_status_line(text, at))
        at = at == 0 ? std::string_view::npos
                     : text.rfind(status_line_start, at - 1);
    return at;
}

} // namespace

std::optional<message_head> answer_boundary::next_head()
{
    while (find_status_line())
    {
        auto const end = end_of_head();
        if (end == std::string::npos)
            return std::nullopt;
        // A head holds no other status line than its own, so that is the last
        // one before its end. Those before it belong to the body.
        auto const before = std::string_view(text_).substr(0, end);
        auto const last = last_status_line(before);
        std::optional<message_head> head;
        if (last != std::string::npos)
            head = lenient_head(before.substr(last)).fields();
        drop(end);
        if (head)
            return head;
    }
    return std::nullopt;
}

bool answer_boundary::ends_in_head() const
{
    auto const last = last_status_line(text_);
    return at_status_line_ && last != std::string::npos &&
           text_.find("\r\n", last) != std::string::npos &&
           lenient_head(std::string_view(text_).substr(last)).may_be_head();
}

/// Makes the text begin with a status line; false if there is none.
bool answer_boundary::find_status_line()
{
    if (at_status_line_)
        return true;
    auto const at = text_.find(status_line_start);
    if (at == std::string::npos)
    {
        drop(
            text_.size() -
            std::min(text_.size(), status_line_start.size() - 1));
        return false;
    }
    drop(at);
    at_status_line_ = head_began_ = true;
    return true;
}

/// Offset behind the first blank line, or npos. Gives up status lines whose
/// head would be too long.
std::size_t answer_boundary::end_of_head()
{
    for (auto at = text_.find('\n', scanned_); at != std::string::npos;
         at = text_.find('\n', at + 1))
    {
        auto const next = text_.compare(at + 1, 1, "\r") == 0 ? at + 2 : at + 1;
        if (next < text_.size() && text_[next] == '\n')
            return next + 1;
        if (next >= text_.size())
            break;
    }
    // The line end and the CR of a blank line may be the last bytes.
    scanned_ = text_.size() - std::min<std::size_t>(text_.size(), 2);
    std::size_t start = 0;
    while (start != std::string::npos && text_.size() - start > max_head_bytes)
        start = text_.find(status_line_start, start + 1);
    if (start == 0)
        return std::string::npos;
    auto const kept = start == std::string::npos ? status_line_start.size() - 1
                                                 : text_.size() - start;
    drop(text_.size() - kept);
    at_status_line_ = start != std::string::npos;
    scanned_ = text_.size() - std::min<std::size_t>(text_.size(), 2);
    return std::string::npos;
}

void answer_boundary::drop(std::size_t bytes)
{
    text_.erase(0, bytes);
    scanned_ = 0;
    at_status_line_ = false;
}

bool answer_boundary::whole_before(std::string_view following) const
{
    auto const begin =
        std::min(following.find_first_not_of("\r\n"), following.size());
    following = following.substr(begin, status_line_start.size());
    return !head_began_ &&
           following == status_line_start.substr(0, following.size());
}

} // namespace dotterellock
