// Interface of all stand-ins, which simulate external services. Each handles
// the calls of its protocol and, under /admin, fault injection and counters for
// tests.
#ifndef DOTTERELLOCK_STANDINS_STANDIN_HPP
#define DOTTERELLOCK_STANDINS_STANDIN_HPP

#include <chrono>
#include <functional>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "http_server.hpp"

namespace dotterellock::standins
{

using std::chrono::milliseconds;

class standin
{
public:
    virtual ~standin() = default;
    virtual void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) = 0;
};

/// Calls `f` on the io_context after `delay`.
inline void
after(asio::io_context& context, milliseconds delay, std::function<void()> f)
{
    auto const timer = std::make_shared<asio::steady_timer>(context, delay);
    timer->async_wait(
        [timer, f = std::move(f)](asio::error_code const& failure)
        {
            if (!failure)
                f();
        });
}

} // namespace dotterellock::standins

#endif
