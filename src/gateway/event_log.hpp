// Sink for structured log events. Implementations limit the volume and never
// block the calling thread.
#ifndef DOTTERELLOCK_GATEWAY_EVENT_LOG_HPP
#define DOTTERELLOCK_GATEWAY_EVENT_LOG_HPP

#include <string>
#include <utility>
#include <vector>

namespace dotterellock
{

enum class event_level
{
    info,
    warn,
    error
};

using event_field = std::pair<char const*, std::string>;

class event_log
{
public:
    virtual ~event_log() = default;
    virtual void record(
        event_level level, char const* event,
        std::vector<event_field> const& fields) = 0;
};

} // namespace dotterellock

#endif
