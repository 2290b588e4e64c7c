#include "explain.hpp"

#include <algorithm>
#include <charconv>
#include <set>

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

constexpr char time_key[] = "time_ms";

/// Events that change what a process believes of everything.
bool concerns_process(std::string const& event)
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

milliseconds time_of(std::string const& line)
{
    auto const text = log_value(line, time_key);
    std::int64_t ms = 0;
    std::from_chars(text.data(), text.data() + text.size(), ms);
    return milliseconds(ms);
}

} // namespace

std::string log_value(std::string const& line, std::string const& key)
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

void log_story::read(std::istream& lines)
{
    for (std::string line; std::getline(lines, line);)
    {
        auto const at = line.find(std::string(time_key) + '=');
        if (at == std::string::npos)
            continue; // of another program
        // A collector may put its own time and the process's name in front.
        auto process = line.substr(0, at);
        while (!process.empty() && process.back() == ' ')
            process.pop_back();
        process.erase(0, process.rfind(' ') + 1);
        records_.push_back({time_of(line), process, line});
    }
}

bool log_story::names_request(std::string const& text) const
{
    return log_value(text, "request") == request_;
}

std::vector<story_line> log_story::lines() const
{
    std::set<std::string> processes;
    std::set<std::string> endpoints;
    std::set<std::string> zones;
    milliseconds first = milliseconds::max();
    milliseconds last = milliseconds::min();
    for (auto const& r : records_)
    {
        if (!names_request(r.text))
            continue;
        processes.insert(r.process);
        endpoints.insert(log_value(r.text, "endpoint"));
        endpoints.insert(log_value(r.text, "standby"));
        zones.insert(log_value(r.text, "zone"));
        first = std::min(first, r.time);
        last = std::max(last, r.time);
    }
    std::vector<story_line> story;
    for (auto const& r : records_)
    {
        bool const own = names_request(r.text);
        bool const meanwhile = r.time >= first - before && r.time <= last &&
                               processes.count(r.process) != 0 &&
                               log_value(r.text, "request").empty();
        auto const event = log_value(r.text, "event");
        auto const endpoint = log_value(r.text, "endpoint");
        bool const related =
            concerns_process(event) ||
            (!endpoint.empty() && endpoints.count(endpoint) != 0) ||
            (event == "zone_suspect" &&
             zones.count(log_value(r.text, "zone")) != 0);
        if (own || (meanwhile && related))
            story.push_back({r.time - first, own, r.text});
    }
    std::stable_sort(
        story.begin(), story.end(),
        [](story_line const& a, story_line const& b)
        { return a.offset < b.offset; });
    return story;
}

} // namespace dotterellock
