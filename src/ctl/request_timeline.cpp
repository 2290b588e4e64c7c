#include "request_timeline.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

constexpr char time_key[] = "time_ms";

/// True for events that affect all decisions of a process, not one endpoint.
bool is_process_event(std::string const& event)
{
    static std::set<std::string> const events = {
        "started",
        "stopping",
        "stopped",
        "process_paused",
        "settings_reloaded",
        "settings_ignored",
        "configuration_applied",
        "configuration_ignored",
        "configuration_unreadable",
        "configuration_stale",
        "configuration_fresh",
        "store_lost",
        "store_regained",
        "table_history_lost",
        "table_relisted",
        "log_lines_left_out"};
    return events.count(event) != 0;
}

milliseconds log_time(std::string const& line)
{
    auto const text = log_field(line, time_key);
    std::int64_t ms = 0;
    std::from_chars(text.data(), text.data() + text.size(), ms);
    return milliseconds(ms);
}

} // namespace

std::string log_field(std::string const& line, std::string const& key)
{
    auto const name = key + '=';
    std::size_t at = line.find(name);
    while (at != std::string::npos && at > 0 && line[at - 1] != ' ')
        at = line.find(name, at + 1);
    if (at == std::string::npos)
        return {};
    auto const begin = at + name.size();
    return line.substr(begin, line.find(' ', begin) - begin);
}

void request_timeline::read(std::istream& lines)
{
    for (std::string line; std::getline(lines, line);)
    {
        auto const at = line.find(std::string(time_key) + '=');
        if (at == std::string::npos)
            continue; // a line of another program
        // A log collector can prepend its own time and the process's name.
        auto process = line.substr(0, at);
        while (!process.empty() && process.back() == ' ')
            process.pop_back();
        process.erase(0, process.rfind(' ') + 1);
        records_.push_back({log_time(line), process, line});
    }
}

bool request_timeline::names_request(std::string const& text) const
{
    return log_field(text, "request") == request_;
}

std::vector<timeline_entry> request_timeline::entries() const
{
    std::set<std::string> processes;
    std::set<std::string> endpoints;
    std::set<std::string> zones;
    milliseconds first_time = milliseconds::max();
    milliseconds last_time = milliseconds::min();
    for (auto const& r : records_)
    {
        if (!names_request(r.text))
            continue;
        processes.insert(r.process);
        endpoints.insert(log_field(r.text, "endpoint"));
        endpoints.insert(log_field(r.text, "standby"));
        zones.insert(log_field(r.text, "zone"));
        first_time = std::min(first_time, r.time);
        last_time = std::max(last_time, r.time);
    }
    std::vector<timeline_entry> timeline;
    for (auto const& r : records_)
    {
        bool const names_request_id = names_request(r.text);
        bool const in_window = r.time >= first_time - context_window &&
                               r.time <= last_time &&
                               processes.count(r.process) != 0 &&
                               log_field(r.text, "request").empty();
        auto const event = log_field(r.text, "event");
        auto const endpoint = log_field(r.text, "endpoint");
        bool const related =
            is_process_event(event) ||
            (!endpoint.empty() && endpoints.count(endpoint) != 0) ||
            (event == "zone_suspect" &&
             zones.count(log_field(r.text, "zone")) != 0);
        if (names_request_id || (in_window && related))
            timeline.push_back({r.time - first_time, names_request_id, r.text});
    }
    std::stable_sort(
        timeline.begin(), timeline.end(),
        [](timeline_entry const& a, timeline_entry const& b)
        { return a.offset < b.offset; });
    return timeline;
}

} // namespace dotterellock
