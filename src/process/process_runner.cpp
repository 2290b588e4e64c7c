#include "process_runner.hpp"

#include <chrono>
#include <csignal>
#include <thread>
#include <vector>

#include <asio/post.hpp>

#include "logging.hpp"

namespace dotterellock
{

namespace
{

constexpr std::chrono::milliseconds shutdown_poll_interval{50};

} // namespace

process_runner::process_runner(unsigned threads)
    : threads_(threads), io_(static_cast<int>(threads)),
      strand_(asio::make_strand(io_)), signals_(strand_, SIGTERM, SIGINT),
      poll_timer_(strand_)
{
}

void process_runner::run(
    std::function<void()> begin_shutdown, std::function<bool()> finished)
{
    begin_shutdown_ = std::move(begin_shutdown);
    finished_ = std::move(finished);
    wait_for_signal();
    auto const work = asio::make_work_guard(io_);
    std::vector<std::thread> threads;
    for (unsigned i = 1; i < threads_; ++i)
        threads.emplace_back([this] { io_.run(); });
    io_.run();
    for (auto& t : threads)
        t.join();
}

void process_runner::wait_for_signal()
{
    signals_.async_wait(
        [this](asio::error_code failure, int signal)
        {
            if (failure)
                return;
            start_shutdown("signal " + std::to_string(signal));
            wait_for_signal();
        });
}

void process_runner::stop()
{
    asio::post(strand_, [this] { start_shutdown("request"); });
}

void process_runner::start_shutdown(std::string const& cause)
{
    if (stopping_)
    {
        log_event(log_level::warn, "stopped_at_once", {{"cause", cause}});
        io_.stop();
        return;
    }
    stopping_ = true;
    log_event(log_level::info, "shutdown_begins", {{"cause", cause}});
    begin_shutdown_();
    poll_finished();
}

void process_runner::poll_finished()
{
    poll_timer_.expires_after(shutdown_poll_interval);
    poll_timer_.async_wait(
        [this](asio::error_code failure)
        {
            if (failure)
                return;
            if (!finished_())
            {
                poll_finished();
                return;
            }
            log_event(log_level::info, "shutdown_complete", {});
            io_.stop();
        });
}

} // namespace dotterellock
