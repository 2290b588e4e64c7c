#include "link_standin.hpp"

#include <algorithm>
#include <deque>
#include <utility>

#include <asio/write.hpp>
#include <nlohmann/json.hpp>

namespace dotterellock::standins
{

namespace
{

using asio::ip::tcp;
using nlohmann::json;

constexpr std::size_t read_bytes = 16 * 1024;
constexpr std::size_t directions = 2; // 0: to the target, 1: from it

} // namespace

struct link_standin::connection
{
    explicit connection(asio::io_context& context)
        : ends{tcp::socket(context), tcp::socket(context)}
    {
    }

    std::array<tcp::socket, directions> ends; // caller, target
    std::array<std::array<char, read_bytes>, directions> input{};
    std::array<std::deque<std::string>, directions> in_transit;
    std::array<std::deque<std::string>, directions> output; // arrived
    std::array<bool, directions> writing{};
    std::array<bool, directions> ended{};
    std::array<clock::time_point, directions> last_arrival{};
    bool silent = false;
    bool closed = false;
};

link_standin::link_standin(
    asio::io_context& context, tcp::acceptor acceptor, link_settings settings)
    : context_(context), acceptor_(std::move(acceptor)),
      settings_(std::move(settings))
{
    accept_next();
}

void link_standin::accept_next()
{
    acceptor_.async_accept(
        [this](asio::error_code const& failure, tcp::socket caller)
        {
            if (failure)
                return;
            open(std::move(caller));
            accept_next();
        });
}

void link_standin::open(tcp::socket caller)
{
    auto const p = std::make_shared<connection>(context_);
    p->ends[0] = std::move(caller);
    connections_.insert(p);
    p->ends[1].async_connect(
        settings_.target,
        [this, p](asio::error_code const& failure)
        {
            if (failure || p->closed)
            {
                close(p, false);
                return;
            }
            for (auto& end : p->ends)
                end.set_option(tcp::no_delay(true));
            read(p, 0);
            read(p, 1);
        });
}

void link_standin::read(
    std::shared_ptr<connection> const& p, std::size_t direction)
{
    p->ends[direction].async_read_some(
        asio::buffer(p->input[direction]),
        [this, p, direction](asio::error_code const& failure, std::size_t n)
        {
            if (p->closed)
                return;
            bool const graceful = failure == asio::error::eof;
            if (failure && !graceful)
            {
                // On a silent connection or in a blocked direction, neither end
                // learns that the other one has closed.
                if (p->silent)
                    return;
                if (!blocked_[direction])
                    close(p, false);
                return;
            }
            forward(p, direction, std::string(p->input[direction].data(), n));
            if (!graceful)
                read(p, direction);
        });
}

link_standin::clock::time_point
link_standin::departure_time(std::size_t direction, std::size_t bytes)
{
    auto const now = clock::now();
    if (settings_.bytes_per_second == 0)
        return now;
    auto& busy = busy_until_[direction];
    auto const length = std::chrono::duration_cast<clock::duration>(
        std::chrono::duration<double>(
            double(bytes) / double(settings_.bytes_per_second)));
    busy = std::max(busy, now) + length;
    return busy;
}

void link_standin::forward(
    std::shared_ptr<connection> const& p, std::size_t direction,
    std::string bytes)
{
    // Never before the previous bytes, also when the delay has got shorter.
    auto& arrival = p->last_arrival[direction];
    arrival = std::max(
        arrival, departure_time(direction, bytes.size()) + settings_.delay);
    p->in_transit[direction].push_back(std::move(bytes));
    auto const timer = std::make_shared<asio::steady_timer>(context_, arrival);
    timer->async_wait(
        [this, p, direction, timer](asio::error_code const&)
        {
            if (p->closed)
                return;
            // Timers with the same expiry fire in any order, so take the bytes
            // from the queue to keep their order.
            auto arrived_bytes = std::move(p->in_transit[direction].front());
            p->in_transit[direction].pop_front();
            if (p->silent)
            {
                lost_bytes_ += arrived_bytes.size();
                return;
            }
            if (blocked_[direction])
                held_bytes_ += arrived_bytes.size();
            p->output[direction].push_back(std::move(arrived_bytes));
            write_next(p, direction);
        });
}

void link_standin::write_next(
    std::shared_ptr<connection> const& p, std::size_t direction)
{
    auto& output = p->output[direction];
    bool const cannot_write =
        p->writing[direction] || blocked_[direction] || p->silent;
    if (cannot_write || p->closed || output.empty())
        return;
    auto& target = p->ends[1 - direction];
    if (output.front().empty())
    {
        p->ended[direction] = true;
        if (p->ended[0] && p->ended[1])
        {
            close(p, true);
            return;
        }
        asio::error_code ignored; // the target may have disconnected
        target.shutdown(tcp::socket::shutdown_send, ignored);
        return;
    }
    p->writing[direction] = true;
    asio::async_write(
        target, asio::buffer(output.front()),
        [this, p, direction](asio::error_code const& failure, std::size_t n)
        {
            p->writing[direction] = false;
            forwarded_bytes_ += n;
            if (failure)
            {
                close(p, false);
                return;
            }
            p->output[direction].pop_front();
            write_next(p, direction);
        });
}

void link_standin::close(std::shared_ptr<connection> const& p, bool graceful)
{
    p->closed = true;
    asio::error_code ignored; // an end may be closed already
    for (auto& end : p->ends)
    {
        if (!graceful)
            end.set_option(asio::socket_base::linger(true, 0), ignored);
        end.close(ignored);
    }
    connections_.erase(p);
}

void link_standin::silence()
{
    for (auto const& p : connections_)
        p->silent = true;
}

void link_standin::reset()
{
    auto const connections = connections_;
    for (auto const& p : connections)
        close(p, false);
}

void link_standin::set_blocked(std::size_t direction, bool blocked)
{
    blocked_[direction] = blocked;
    if (blocked)
        return;
    auto const connections = connections_;
    for (auto const& p : connections)
        write_next(p, direction);
}

std::string link_standin::address() const
{
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void link_standin::handle(
    http_call const& call, std::shared_ptr<http_reply> reply)
{
    if (call.path == "/admin/stats")
    {
        json const stats = {
            {"connections", connections_.size()},
            {"forwarded_bytes", forwarded_bytes_},
            {"lost_bytes", lost_bytes_},
            {"held_bytes", held_bytes_}};
        reply->send_json(200, stats.dump());
        return;
    }
    json const fault = json::parse(call.body, nullptr, false);
    if (call.path != "/admin/fault" || !fault.is_object())
    {
        reply->send_json(400, R"({"error":"expected JSON for /admin/fault"})");
        return;
    }
    if (fault.value("silence", false))
        silence();
    if (fault.value("reset", false))
        reset();
    if (fault.contains("partition"))
    {
        set_blocked(0, fault["partition"].get<bool>());
        set_blocked(1, fault["partition"].get<bool>());
    }
    settings_.delay =
        milliseconds(fault.value("delay_ms", settings_.delay.count()));
    reply->send_json(200, "{}");
}

} // namespace dotterellock::standins
