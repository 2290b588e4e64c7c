// Runs a gateway as a process: signals, settings reload and shutdown.
#ifndef DOTTERELLOCK_RELAY_GATEWAY_PROCESS_HPP
#define DOTTERELLOCK_RELAY_GATEWAY_PROCESS_HPP

#include <string>

#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "gateway.hpp"

namespace dotterellock
{

class gateway_process
{
public:
    gateway_process(
        std::string settings_file, std::string settings_text,
        gateway_settings const& settings, gateway_environment environment);

    /// Returns after SIGTERM or SIGINT, once all work is finished or the grace
    /// period is over.
    void run();

private:
    bool run_until_error();
    void wait_for_stop_signal();
    void wait_for_reload_signal();
    void schedule_poll();
    void reload(bool by_signal);

    std::string const settings_file_;
    std::string settings_text_;
    gateway_environment const env_;
    gateway gateway_;
    asio::signal_set stop_signals_;
    asio::signal_set reload_signals_;
    asio::steady_timer timer_;
    unsigned polls_ = 0;
};

} // namespace dotterellock

#endif
