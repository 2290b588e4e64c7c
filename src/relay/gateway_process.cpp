#include "gateway_process.hpp"

#include <chrono>
#include <csignal>
#include <exception>
#include <fstream>
#include <sstream>

#include <dotterellock/error.hpp>

#include "signal_mask.hpp"

namespace dotterellock
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{100};

// The settings file is also reread without SIGHUP.
constexpr unsigned polls_per_settings_read = 10;

} // namespace

gateway_process::gateway_process(
    std::string settings_file, std::string settings_text,
    gateway_settings const& settings, gateway_environment environment)
    : settings_file_(std::move(settings_file)),
      settings_text_(std::move(settings_text)), env_(environment),
      gateway_(settings, environment), stop_signals_(env_.io, SIGTERM, SIGINT),
      reload_signals_(env_.io, SIGHUP), timer_(env_.io)
{
    block_signals({SIGHUP}, false); // main() blocks it until here
}

void gateway_process::run()
{
    wait_for_stop_signal();
    wait_for_reload_signal();
    schedule_poll();
    gateway_.start();
    env_.log.record(
        event_level::info, "started",
        {{"version", DOTTERELLOCK_VERSION}, {"settings", settings_file_}});
    while (!run_until_error())
    {
    }
    env_.log.record(event_level::info, "stopped", {});
    // The default actions, which return with the destructor of the signal sets,
    // would end the process with an error.
    block_signals({SIGHUP, SIGTERM, SIGINT}, true);
}

/// Runs until the process stops. An error that nothing else handled ends the
/// handler that raised it, not the process with all of its requests.
/// @return false after such an error
bool gateway_process::run_until_error()
{
    try
    {
        env_.io.run();
        return true;
    }
    catch (std::exception const& e)
    {
        env_.counters.counter("unexpected_errors_total").add();
        env_.log.record(
            event_level::error, "unexpected_error", {{"detail", e.what()}});
        return false;
    }
}

void gateway_process::wait_for_stop_signal()
{
    stop_signals_.async_wait(
        [this](asio::error_code const& e, int signal)
        {
            if (e)
                return;
            wait_for_stop_signal();
            env_.log.record(
                event_level::info, "stopping",
                {{"signal", std::to_string(signal)}});
            gateway_.begin_shutdown();
        });
}

void gateway_process::wait_for_reload_signal()
{
    reload_signals_.async_wait(
        [this](asio::error_code const& e, int)
        {
            if (e)
                return;
            wait_for_reload_signal();
            reload(true);
        });
}

void gateway_process::schedule_poll()
{
    timer_.expires_after(poll_interval);
    timer_.async_wait(
        [this](asio::error_code const& e)
        {
            if (e)
                return;
            if (gateway_.finished())
            {
                env_.io.stop();
                return;
            }
            schedule_poll();
            if (++polls_ % polls_per_settings_read == 0)
                reload(false);
        });
}

void gateway_process::reload(bool by_signal)
{
    char const* const cause = by_signal ? "signal" : "change";
    std::ifstream in(settings_file_);
    std::ostringstream text;
    if (in)
        text << in.rdbuf();
    if (!in)
    {
        env_.log.record(
            event_level::error, "settings_unreadable",
            {{"file", settings_file_}});
        return;
    }
    if (text.str() == settings_text_)
    {
        if (by_signal)
            env_.log.record(
                event_level::info, "settings_unchanged", {{"cause", cause}});
        return;
    }
    settings_text_ = text.str();
    try
    {
        gateway_.reload(read_gateway_settings(settings_text_, settings_file_));
        env_.log.record(
            event_level::info, "settings_reloaded", {{"cause", cause}});
    }
    catch (error const& e)
    {
        env_.log.record(
            event_level::error, "settings_ignored",
            {{"cause", cause}, {"detail", e.detail()}});
    }
}

} // namespace dotterellock
