#include "logging.hpp"

#include <atomic>

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/loggingmacros.h>

namespace dotterellock
{

namespace
{

// Written by start_logging before other threads start.
std::atomic<bool> started{false};
std::atomic<bool> json_lines{false};
std::atomic<bool> log_decisions{true};

log4cplus::LogLevel level_of(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::Logger& logger()
{
    static log4cplus::Logger instance =
        log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("dotterellock"));
    return instance;
}

} // namespace

void start_logging(log_settings const& settings)
{
    static log4cplus::Initializer const initializer;
    json_lines = settings.json;
    log_decisions = settings.decisions;
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(true, true));
    char const* const pattern =
        settings.json
            ? R"({"time":"%D{%Y-%m-%dT%H:%M:%S.%q}Z","level":"%p","data":%m}%n)"
            : "time=%D{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n";
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(pattern));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(level_of(settings.level));
    started = true;
}

void log_event(
    log_level level, char const* event, std::vector<log_field> const& fields)
{
    if (!started || !logger().isEnabledFor(level_of(level)))
        return;
    logger().log(level_of(level), format_event(json_lines, event, fields));
}

std::vector<log_field> fields_of(error const& e)
{
    return {
        {"code", to_string(e.code())},
        {"step", e.step()},
        {"peer", e.peer()},
        {"detail", e.detail()}};
}

void log4cplus_decision_log::record(decision const& d)
{
    if (!log_decisions)
        return;
    std::string candidates;
    for (auto const& c : d.candidates)
        candidates += (candidates.empty() ? "" : ",") + c;
    log_event(
        log_level::info, "decision",
        {{"step", d.step},
         {"request", d.request.value()},
         {"attempt", std::to_string(d.attempt)},
         {"rank", to_string(d.rank)},
         {"organisation", d.organisation.value()},
         {"candidates", candidates},
         {"choice", d.choice},
         {"reason", d.reason}});
}

} // namespace dotterellock
