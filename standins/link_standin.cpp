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
constexpr std::size_t directions = 2; // 0: towards the target, 1: back

} // namespace

struct link_standin::pipe
{
    explicit pipe(asio::io_context& context)
        : ends{tcp::socket(context), tcp::socket(context)}
    {
    }

    std::array<tcp::socket, directions> ends; // caller, target
    std::array<std::array<char, read_bytes>, directions> input{};
    std::array<std::deque<std::string>, directions> output;
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
    auto const p = std::make_shared<pipe>(context_);
    p->ends[0] = std::move(caller);
    pipes_.insert(p);
    p->ends[1].async_connect(
        settings_.target,
        [this, p](asio::error_code const& failure)
        {
            if (failure)
            {
                close(p);
                return;
            }
            for (auto& end : p->ends)
                end.set_option(tcp::no_delay(true));
            read(p, 0);
            read(p, 1);
        });
}

void link_standin::read(std::shared_ptr<pipe> const& p, std::size_t direction)
{
    p->ends[direction].async_read_some(
        asio::buffer(p->input[direction]),
        [this, p, direction](asio::error_code const& failure, std::size_t n)
        {
            if (failure)
            {
                // A silent or cut link tells neither end that the other left.
                if (!p->silent && !partitioned_)
                    close(p);
                return;
            }
            if (p->silent || partitioned_)
                lost_bytes_ += n;
            else
                forward(
                    p, direction, std::string(p->input[direction].data(), n));
            read(p, direction);
        });
}

link_standin::clock::time_point
link_standin::leave_time(std::size_t direction, std::size_t bytes)
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
    std::shared_ptr<pipe> const& p, std::size_t direction, std::string bytes)
{
    auto const arrival = leave_time(direction, bytes.size()) + settings_.delay;
    auto const timer = std::make_shared<asio::steady_timer>(context_, arrival);
    timer->async_wait(
        [this, p, direction, timer,
         bytes = std::move(bytes)](asio::error_code const&) mutable
        {
            if (p->closed)
                return;
            if (p->silent || partitioned_)
            {
                lost_bytes_ += bytes.size();
                return;
            }
            forwarded_bytes_ += bytes.size();
            p->output[direction].push_back(std::move(bytes));
            if (p->output[direction].size() == 1)
                write_next(p, direction);
        });
}

void link_standin::write_next(
    std::shared_ptr<pipe> const& p, std::size_t direction)
{
    asio::async_write(
        p->ends[1 - direction], asio::buffer(p->output[direction].front()),
        [this, p, direction](asio::error_code const& failure, std::size_t)
        {
            if (failure)
            {
                close(p);
                return;
            }
            p->output[direction].pop_front();
            if (!p->output[direction].empty())
                write_next(p, direction);
        });
}

void link_standin::close(std::shared_ptr<pipe> const& p)
{
    p->closed = true;
    asio::error_code ignored;
    for (auto& end : p->ends)
        end.close(ignored);
    pipes_.erase(p);
}

void link_standin::handle(
    http_call const& call, std::shared_ptr<http_reply> reply)
{
    if (call.path == "/admin/stats")
    {
        json const stats = {
            {"connections", pipes_.size()},
            {"forwarded_bytes", forwarded_bytes_},
            {"lost_bytes", lost_bytes_}};
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
    {
        for (auto const& p : pipes_)
            p->silent = true;
    }
    partitioned_ = fault.value("partition", partitioned_);
    settings_.delay =
        milliseconds(fault.value("delay_ms", settings_.delay.count()));
    reply->send_json(200, "{}");
}

} // namespace dotterellock::standins
