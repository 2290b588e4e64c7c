// Main loop of router and agent processes: runs an io_context on a number of
// threads, handles signals, and waits for open work on shutdown. The main
// thread calls run(); everything else runs on the I/O threads.
#ifndef DOTTERELLOCK_PROCESS_PROCESS_RUNNER_HPP
#define DOTTERELLOCK_PROCESS_PROCESS_RUNNER_HPP

#include <functional>
#include <string>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

namespace dotterellock
{

class process_runner
{
public:
    explicit process_runner(unsigned threads);

    asio::io_context& io() { return io_; }

    /// Runs until SIGTERM or SIGINT, then calls `begin_shutdown` and returns
    /// once `finished` returns true. A second signal makes it return at once.
    void
    run(std::function<void()> begin_shutdown, std::function<bool()> finished);

    /// Begins the same shutdown as a signal. Thread-safe.
    void stop();

private:
    void start_shutdown(std::string const& cause);
    void wait_for_signal();
    void poll_finished();

    unsigned const threads_;
    asio::io_context io_;
    asio::strand<asio::io_context::executor_type> strand_;
    asio::signal_set signals_;
    asio::steady_timer poll_timer_;
    bool stopping_ = false; // accessed on strand_ only
    std::function<void()> begin_shutdown_;
    std::function<bool()> finished_;
};

} // namespace dotterellock

#endif
