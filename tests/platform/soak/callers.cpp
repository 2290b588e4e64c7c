#include "callers.hpp"

#include <algorithm>
#include <cstdlib>

#include "platform/protocol_names.hpp"
#include "relay/connection_pool.hpp"

namespace dotterellock::soak
{

namespace
{

namespace header = wire::header;
using standins::after;

constexpr milliseconds plain_deadline{1200};
constexpr std::uint64_t deadline_spread_ms = 1500; // spans the route timeouts
constexpr milliseconds stream_deadline{12000};
constexpr milliseconds late_answer_wait{1500}; // after the deadline
constexpr std::uint32_t max_caller_attempts = 4;
constexpr double connection_reuse_share = 0.7;
constexpr double withdrawn_key_share = 0.05; // of requests

char const* prefix(request_kind kind)
{
    switch (kind)
    {
    case request_kind::idempotent:
        return "/lookup/";
    case request_kind::at_most_once:
        return "/book/";
    case request_kind::once_stream:
        return "/talk/";
    default:
        return "/chat/";
    }
}

void add(std::string& head, char const* name, std::string const& value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

std::string framed_body(std::string const& body, bool chunked)
{
    if (!chunked)
        return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    return "Transfer-Encoding: chunked\r\n\r\n" + encode_chunk(body) +
           encode_chunk("");
}

} // namespace

/// One request on one connection.
class callers::attempt : public response_handler,
                         public std::enable_shared_from_this<attempt>
{
public:
    attempt(
        callers& owner, std::shared_ptr<logical_request> w,
        gateway_connection connection, caller_attempt& record)
        : owner_(owner), request_(std::move(w)),
          connection_(std::move(connection)), record_(record)
    {
    }

    void start(
        std::string const& address, std::vector<std::string> pieces,
        milliseconds pause)
    {
        self_ = shared_from_this();
        end_after(
            record_.deadline + late_answer_wait + pause * pieces.size(), false);
        connection_.connection->send(
            *parse_address(address), std::move(pieces), pause,
            [a = shared_from_this()]
            { a->record_.whole = a->owner_.clock_.now(); },
            *this);
    }

    void end_after(milliseconds delay, bool leave)
    {
        after(
            owner_.io_, delay,
            [weak = weak_from_this(), leave]
            {
                auto const a = weak.lock();
                if (!a || !a->self_)
                    return;
                a->record_.left = leave;
                a->connection_.connection->abandon();
                a->finish(false);
            });
    }

    void on_response_head(message_head head) override
    {
        record_.status = head.status;
        auto const* const seal =
            find_header(head.headers, header::response_seal);
        if (seal != nullptr)
            record_.seal = *seal;
        auto const* const id = find_header(head.headers, header::request_id);
        if (id != nullptr && *id != record_.id)
            record_.problem = "response to request " + *id;
        auto const* const retry_after =
            find_header(head.headers, header::retry_after);
        if (retry_after != nullptr)
            retry_after_delay_ = milliseconds(std::int64_t(
                1000 * std::strtod(retry_after->c_str(), nullptr)));
    }

    void on_response_body(std::string_view bytes) override
    {
        if (record_.status != 200 || !is_stream(record_.kind))
        {
            record_.body.append(bytes);
            return;
        }
        buffer_.append(bytes);
        std::size_t end = 0;
        while ((end = buffer_.find("\n\n")) != std::string::npos)
        {
            auto const event = buffer_.substr(0, end + 2);
            buffer_.erase(0, end + 2);
            auto const number = std::strtoull(event.c_str() + 4, nullptr, 10);
            if (event != event_text(record_.path, number))
                record_.problem = "damaged event: " + event;
            record_.events.push_back(number);
        }
    }

    void on_response_complete() override
    {
        record_.complete = true;
        if (!buffer_.empty())
            record_.problem = "stream ended within an event";
        finish(connection_.connection->reusable());
    }

    void on_failure(connection_failure failure) override
    {
        if (failure == connection_failure::malformed)
            record_.problem = "malformed response";
        finish(false);
    }

private:
    void finish(bool keep)
    {
        if (!self_)
            return;
        auto const alive = std::move(self_);
        self_.reset();
        record_.ended = owner_.clock_.now();
        if (keep)
            owner_.idle_[record_.gateway].push_back(connection_);
        owner_.on_attempt_ended(request_, record_, retry_after_delay_);
    }

    callers& owner_;
    std::shared_ptr<logical_request> request_;
    gateway_connection connection_;
    caller_attempt& record_;
    std::optional<milliseconds> retry_after_delay_;
    std::string buffer_;
    std::shared_ptr<attempt> self_; // while the request is open
};

callers::callers(
    asio::io_context& io, random_source& random, clock_source const& clock,
    history& h, sent_requests& sent, gateway_fleet& gateways)
    : io_(io), random_(random), clock_(clock), history_(h), sent_(sent),
      gateways_(gateways), idle_(gateways.size())
{
}

callers::~callers() = default;

void callers::start()
{
    schedule_arrival();
}

void callers::schedule_arrival()
{
    if (stopped_)
        return;
    auto const gap = milliseconds(std::int64_t(
        2000 * random_.uniform() /
        requests_per_second)); // uniform; the mean gives the requested rate
    after(
        io_, gap,
        [this]
        {
            if (stopped_)
                return;
            constexpr std::uint64_t kinds = 10;
            auto const draw = random_.below(kinds);
            auto const kind = draw < 4   ? request_kind::idempotent
                              : draw < 8 ? request_kind::at_most_once
                              : random_.uniform() < once_stream_share
                                  ? request_kind::once_stream
                                  : request_kind::resumable_stream;
            std::vector<std::shared_ptr<logical_request>> batch = {
                make_request(kind)};
            bool const pipelined = kind == request_kind::idempotent &&
                                   random_.uniform() < pipelined_share;
            auto const behind = pipelined ? 1 + random_.below(3) : 0;
            while (batch.size() <= behind)
                batch.push_back(make_request(kind));
            send(batch);
            schedule_arrival();
        });
}

std::shared_ptr<callers::logical_request>
callers::make_request(request_kind kind)
{
    constexpr std::uint64_t max_body = 256u << 10; // as configured
    constexpr std::uint64_t min_answer = 300000;
    constexpr std::uint64_t answer_spread = 1700000;
    bool const stream = is_stream(kind);
    bool const large = !stream && random_.uniform() < large_share;
    auto w = std::make_shared<logical_request>();
    w->kind = kind;
    w->path = prefix(kind) + std::to_string(++last_id_);
    if (large && random_.below(2) == 0)
        w->path +=
            '-' + std::to_string(min_answer + random_.below(answer_spread));
    else if (large)
        w->body = std::string(
            std::min(max_body, random_.below(max_body * 5 / 4)), 'b');
    else if (kind == request_kind::at_most_once)
        w->body = std::string(random_.below(3000), 'b');
    w->chunked = random_.below(2) == 0;
    bool const withdrawn =
        !withdrawn_keys.empty() && random_.uniform() < withdrawn_key_share;
    auto const& from = withdrawn ? withdrawn_keys : keys;
    w->key = from[random_.below(from.size())];
    w->until = clock_.now() + (stream ? stream_deadline : plain_deadline) +
               milliseconds(random_.below(deadline_spread_ms));
    ++open_;
    return w;
}

std::size_t callers::choose_gateway()
{
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < gateways_.size(); ++i)
    {
        if (gateways_.ready(i))
            ready.push_back(i);
    }
    if (ready.empty())
        return random_.below(gateways_.size());
    return ready[random_.below(ready.size())];
}

callers::gateway_connection callers::connect(std::size_t gateway, bool first)
{
    auto& idle = idle_[gateway];
    idle.erase(
        std::remove_if(
            idle.begin(), idle.end(),
            [](gateway_connection const& k)
            { return !k.connection->reusable(); }),
        idle.end());
    if (first && !idle.empty() && random_.uniform() < connection_reuse_share)
    {
        auto const kept = idle.back();
        idle.pop_back();
        return kept;
    }
    return {
        std::make_shared<caller_connection>(io_), gateways_.process(gateway)};
}

void callers::send(std::vector<std::shared_ptr<logical_request>> const& batch)
{
    constexpr std::uint64_t max_read_pause_ms = 40;
    bool const first = batch.front()->attempts == 0;
    auto gateway = choose_gateway();
    // Idle connections are reused until closed, also those to stopping
    // gateways.
    auto const other = random_.below(gateways_.size());
    if (first && !idle_[other].empty())
        gateway = other;
    auto const connection = connect(gateway, first);
    connection.connection->read_pause = milliseconds(
        random_.uniform() < slow_reading_share
            ? 5 + random_.below(max_read_pause_ms)
            : 0);
    std::string behind;
    for (auto const& w : batch)
    {
        send_attempt(w, gateway, connection, behind);
        behind = history_.attempts.back().id;
    }
}

void callers::send_attempt(
    std::shared_ptr<logical_request> const& w, std::size_t gateway,
    gateway_connection const& connection, std::string const& behind)
{
    ++w->attempts;
    history_.attempts.emplace_back();
    auto& a = history_.attempts.back(); // references into a deque stay valid
    a.id = "r" + std::to_string(history_.attempts.size());
    a.kind = w->kind;
    a.path = w->path;
    a.key = w->key.key;
    a.gateway = gateway;
    a.process = connection.process;
    a.sent = clock_.now();
    a.deadline = std::chrono::duration_cast<milliseconds>(w->until - a.sent);
    a.max_attempts = w->kind == request_kind::resumable_stream ? 3 : 2;
    a.behind = behind;
    a.slow = connection.connection->read_pause.count() != 0;
    if (w->last_event != 0)
        a.last_event = w->last_event;

    sent_request sent{
        w->kind == request_kind::at_most_once || !w->body.empty() ? "POST"
                                                                  : "GET",
        w->path,
        w->body,
        "200,300",
        w->key.key,
        w->key.organisation};
    std::string text =
        sent.method + ' ' + sent.path + " HTTP/1.1\r\nHost: soak.example\r\n";
    add(text, header::request_id, a.id);
    add(text, header::deadline, std::to_string(a.deadline.count()));
    add(text, header::authorization, "Bearer " + sent.key);
    add(text, header::token_counts, sent.token_counts);
    add(text, header::prompt_prefix,
        "ab:200," + w->path.substr(w->path.rfind('/') + 1) + ":8");
    // Callers may not set these; the gateway must replace or drop them.
    add(text, header::organisation, "another-1");
    add(text, header::hold, "held");
    if (a.last_event)
        add(text, header::last_event_id, std::to_string(*a.last_event));
    text += sent.body.empty() ? "\r\n" : framed_body(sent.body, w->chunked);
    sent_[a.id] = std::move(sent);
    std::vector<std::string> pieces;
    if (random_.uniform() < in_pieces_share)
    {
        constexpr std::size_t most = 3; // before the last piece
        while (pieces.size() < most && text.size() > 1)
        {
            // Mostly short pieces, so that heads are cut too.
            auto const size = 1 + random_.below(
                                      random_.below(2) == 0
                                          ? std::min(text.size(), most * 100)
                                          : text.size());
            pieces.push_back(text.substr(0, size));
            text.erase(0, size);
        }
    }
    if (!text.empty() || pieces.empty())
        pieces.push_back(std::move(text));
    constexpr std::uint64_t max_pause_ms = 700; // all within header timeouts
    auto const run = std::make_shared<attempt>(*this, w, connection, a);
    run->start(
        gateways_.address(gateway), std::move(pieces),
        milliseconds(random_.below(max_pause_ms)));
    if (behind.empty() && random_.uniform() < cancel_share)
        run->end_after(milliseconds(random_.below(800)), true);
}

void callers::on_attempt_ended(
    std::shared_ptr<logical_request> const& w, caller_attempt const& a,
    std::optional<milliseconds> retry_after_delay)
{
    if (!a.events.empty() && a.kind == request_kind::resumable_stream)
        w->last_event = a.events.back();
    bool const not_run = a.status == 429 || a.status == 503;
    bool const repeatable = w->kind != request_kind::at_most_once;
    bool const failed = !a.complete || a.status >= 500;
    bool const final_answer =
        a.left || (a.complete && a.status < 500 && a.status != 429);
    auto const left =
        std::chrono::duration_cast<milliseconds>(w->until - clock_.now());
    constexpr milliseconds shortest{200}; // time left that justifies a retry
    if (final_answer || stopped_ || left < shortest ||
        w->attempts >= max_caller_attempts ||
        !(not_run || (failed && repeatable)))
    {
        --open_;
        return;
    }
    auto const wait =
        std::min(retry_after_delay.value_or(milliseconds(20)), left / 3);
    after(io_, wait, [this, w] { send({w}); });
}

} // namespace dotterellock::soak
