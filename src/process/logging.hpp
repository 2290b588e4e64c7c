// Structured logging through log4cplus: one line per event, as key=value pairs
// or JSON. Thread-safe.
#ifndef DOTTERELLOCK_PROCESS_LOGGING_HPP
#define DOTTERELLOCK_PROCESS_LOGGING_HPP

#include <initializer_list>
#include <string>
#include <utility>
#include <vector>

#include <dotterellock/error.hpp>
#include <dotterellock/observability.hpp>

#include "log_format.hpp"

namespace dotterellock
{

enum class log_level
{
    debug,
    info,
    warn,
    error
};

struct log_settings
{
    bool json = false;
    log_level level = log_level::info;
    bool decisions = true; // log routing and placement decisions
};

/// Starts logging to standard error; called once. Events logged before are
/// dropped.
void start_logging(log_settings const& settings);

void log_event(
    log_level level, char const* event, std::vector<log_field> const& fields);

/// The fields code, step, peer and detail of an error.
std::vector<log_field> fields_of(error const& e);

class log4cplus_decision_log : public decision_log
{
public:
    void record(decision const& d) override;
};

} // namespace dotterellock

#endif
