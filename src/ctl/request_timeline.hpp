// Builds the timeline of one request from log lines: the decisions about the
// request, and the events that changed what the same process knew of endpoints
// and configuration at that time.
#ifndef DOTTERELLOCK_CTL_REQUEST_TIMELINE_HPP
#define DOTTERELLOCK_CTL_REQUEST_TIMELINE_HPP

#include <chrono>
#include <istream>
#include <string>
#include <vector>

namespace dotterellock
{

struct timeline_entry
{
    std::chrono::milliseconds offset{0}; // from the request's first line
    bool names_request_id = false;       // false: a related event
    std::string text;
};

class request_timeline
{
public:
    // Includes related events up to this long before the request's first line;
    // the state that explains a decision is at most a few seconds old.
    static constexpr std::chrono::milliseconds context_window{5000};

    explicit request_timeline(std::string request)
        : request_(std::move(request))
    {
    }

    void read(std::istream& lines);

    /// Sorted by time; empty if no line names the request.
    std::vector<timeline_entry> entries() const;

private:
    struct log_record
    {
        std::chrono::milliseconds time{0};
        std::string process; // word before the time_ms field; can be empty
        std::string text;
    };

    bool names_request(std::string const& text) const;

    std::string const request_;
    std::vector<log_record> records_;
};

/// The value of a field in a line of key=value pairs; empty if absent.
std::string log_field(std::string const& line, std::string const& key);

} // namespace dotterellock

#endif
