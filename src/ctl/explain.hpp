// The story of one request from log lines: what was decided about it, and what
// the same process believed of the endpoints and the configuration meanwhile.
#ifndef DOTTERELLOCK_CTL_EXPLAIN_HPP
#define DOTTERELLOCK_CTL_EXPLAIN_HPP

#include <chrono>
#include <istream>
#include <string>
#include <vector>

namespace dotterellock
{

struct story_line
{
    std::chrono::milliseconds offset{0}; // since the request's first line
    bool own = false;                    // names the request itself
    std::string text;
};

class log_story
{
public:
    // Beliefs that explain a decision are at most a few seconds old.
    static constexpr std::chrono::milliseconds before{5000};

    explicit log_story(std::string request) : request_(std::move(request)) {}

    void read(std::istream& lines);

    /// In the order of time; empty when no line names the request.
    std::vector<story_line> lines() const;

private:
    struct record
    {
        std::chrono::milliseconds time{0};
        std::string process; // what stands before the line's own time
        std::string text;
    };

    bool names_request(std::string const& text) const;

    std::string const request_;
    std::vector<record> records_;
};

/// The value of a field in a line of key=value pairs; empty when absent.
std::string log_value(std::string const& line, std::string const& key);

} // namespace dotterellock

#endif
