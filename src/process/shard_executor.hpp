// Runs the functions of one object graph one at a time under the graph's mutex.
// Posted functions are queued on a strand, so threads of the io_context rarely
// wait for the mutex; it serves callers that must run at once, such as
// construction and destruction of the graph.
#ifndef DOTTERELLOCK_PROCESS_SHARD_EXECUTOR_HPP
#define DOTTERELLOCK_PROCESS_SHARD_EXECUTOR_HPP

#include <functional>
#include <mutex>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/strand.hpp>

namespace dotterellock
{

class shard_executor
{
public:
    using exception_handler = std::function<void(std::exception const&)>;

    /// @param on_exception  receives exceptions thrown by posted functions;
    ///                      they abort only the function that threw
    shard_executor(asio::io_context& io, exception_handler on_exception)
        : strand_(asio::make_strand(io)), on_exception_(std::move(on_exception))
    {
    }

    /// Runs `f` later, after all functions posted before.
    template<typename Function>
    void post(Function f)
    {
        asio::post(
            strand_, [this, f = std::move(f)]() mutable { run_guarded(f); });
    }

    /// Runs `f` now, under the mutex.
    template<typename Function>
    auto run(Function&& f)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        return f();
    }

    std::function<void(std::function<void()>)> poster()
    {
        return [this](std::function<void()> f) { post(std::move(f)); };
    }

    using strand_type = asio::strand<asio::io_context::executor_type>;
    strand_type const& strand() const { return strand_; }

    /// Runs `f` under the mutex and reports exceptions; for handlers that
    /// already run on the strand.
    template<typename Function>
    void run_guarded(Function&& f)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        try
        {
            f();
        }
        catch (std::exception const& e)
        {
            on_exception_(e);
        }
    }

private:
    strand_type strand_;
    std::mutex mutex_;
    exception_handler on_exception_;
};

} // namespace dotterellock

#endif
