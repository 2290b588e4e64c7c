// Index: construction; callers; endpoints; operator and store; time; end.
#include "world.hpp"

#include <algorithm>
#include <utility>

#include <poll.h>

namespace dotterellock::testing::explorer
{

namespace
{

constexpr milliseconds tick{20};
constexpr char withdrawn_key[] = "KEY1";

constexpr std::array<char const*, route_count> paths{
    "/safe/", "/unsafe/", "/stream/", "/once/", "/llm/", "/open/"};

bool is_stream(route_kind route)
{
    return route == route_kind::stream || route == route_kind::stream_once ||
           route == route_kind::prompt;
}

/// An address in 127.0.0.0/8 that belongs to the seed, so that connections of
/// earlier schedules do not use up its ports.
asio::ip::address_v4 address_of(std::uint64_t seed, unsigned host)
{
    constexpr std::uint64_t per_network = 50;
    auto const network = seed / per_network;
    return asio::ip::address_v4(asio::ip::address_v4::bytes_type{
        127, std::uint8_t(10 + network / 256 % 200),
        std::uint8_t(network % 256),
        std::uint8_t(1 + seed % per_network * 5 + host)});
}

constexpr unsigned short first_port = 18080;

/// Reserves three ports of the seed's addresses from other processes that play
/// the same seed: `guard` listens at the last of them.
/// @return the first
unsigned short reserve_ports(asio::ip::tcp::acceptor& guard, std::uint64_t seed)
{
    for (unsigned short port = first_port;; port += 10)
    {
        asio::error_code e;
        guard.open(asio::ip::tcp::v4());
        guard.set_option(asio::socket_base::reuse_address(true));
        guard.bind({address_of(seed, 0), (unsigned short)(port + 2)}, e);
        if (!e)
            guard.listen(1, e);
        if (!e)
            return port;
        guard.close();
    }
}

std::string to_text(asio::ip::tcp::endpoint const& e)
{
    return e.address().to_string() + ':' + std::to_string(e.port());
}

std::string chunk(std::string const& text)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string filled(std::string const& tag, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += tag + ';';
    text.resize(bytes);
    return text;
}

milliseconds deadline_of(std::uint32_t size)
{
    constexpr std::array<milliseconds, 3> deadlines{
        milliseconds(1000), milliseconds(3000), milliseconds(9000)};
    return deadlines[size / 4 % deadlines.size()];
}

} // namespace

// Construction ---------------------------------------------------------------

platform_bounds platform_bounds::of(std::uint64_t seed)
{
    platform_bounds b;
    if (seed % 3 == 0)
    {
        b.retry_ratio = 0.2;
        b.retry_allowance = double(seed / 3 % 3);
    }
    return b;
}

void world::line_log::record(
    event_level, char const* event, std::vector<event_field> const& fields)
{
    auto const at = std::chrono::duration_cast<milliseconds>(
                        clock->now().time_since_epoch() - std::chrono::hours(1))
                        .count();
    std::string line = std::to_string(at) + ' ' + event;
    for (auto const& [name, value] : fields)
        line += std::string(" ") + name + '=' + value;
    lines.push_back(line);
    if (std::string_view(event) == "unexpected_error")
        ++unexpected_errors;
}

world::world(std::uint64_t seed) : seed_(seed), random_(seed)
{
    log_.clock = &scheduler_;
    store_.tells_time = seed % 2 == 0;
    auto const port = reserve_ports(port_guard_, seed);
    struct place
    {
        char const* id;
        char const* service;
        char const* zone;
    };
    constexpr std::array<place, endpoint_count> places{
        {{"one", "app", "near"},
         {"two", "app", "far"},
         {"m1", "llm", "near"},
         {"m2", "llm", "far"}}};
    for (std::uint32_t i = 0; i < endpoint_count; ++i)
    {
        auto& e = endpoints_[i];
        e.id = places[i].id;
        e.service = places[i].service;
        e.zone = places[i].zone;
        e.address = {address_of(seed, 1 + i), port};
        listen(e, true);
        put_row(i, row_form::ready);
    }
    commit_configuration();
    seen_.began = now();
    seen_.max_attempts = max_attempts_;

    auto const bounds = platform_bounds::of(seed);
    gateway_settings settings;
    settings.host = "gateway";
    settings.zone = "near";
    settings.first_start = true;
    settings.key_withdrawal_bound = platform_bounds::key_withdrawal;
    settings.drain_bound = platform_bounds::drain;
    settings.shutdown_grace = platform_bounds::grace;
    settings.retries.ratio = bounds.retry_ratio;
    settings.retries.allowance = bounds.retry_allowance;
    settings.retries.window = platform_bounds::retry_window;
    settings.retries.fleet_size = 1;
    listen_address_ = to_text({address_of(seed, 0), port});
    settings.listen = listen_address_;
    settings.status_listen =
        to_text({address_of(seed, 0), (unsigned short)(port + 1)});
    current_callers_.fill(std::size_t(-1));
    subject_ = std::make_unique<gateway>(
        settings, gateway_environment{
                      io_, scheduler_, scheduler_, random_, protocol_, codec_,
                      configuration_, endpoint_rows_, gateways_, writer_,
                      writer_, log_, counters_, memory_});
    subject_->start();
    settle();
    advance(tick);
}

world::~world()
{
    // Pending handlers refer to the gateway and must not run after it is
    // destroyed.
    io_.stop();
}

// Callers --------------------------------------------------------------------

world::caller* world::usable_caller(std::uint32_t who)
{
    auto const index = current_callers_[who % caller_count];
    if (index >= callers_.size())
        return nullptr;
    auto& c = *callers_[index];
    auto const& seen = seen_.connections[c.connection];
    return seen.left || seen.closed ? nullptr : &c;
}

/// The caller's connection; a new one if it has none.
world::caller* world::open_caller(std::uint32_t who)
{
    if (auto* const c = usable_caller(who))
        return c;
    asio::ip::tcp::socket s(io_);
    asio::error_code e;
    s.connect(*parse_address(listen_address_), e);
    if (e)
        return nullptr; // the gateway stops
    auto c = std::make_unique<caller>();
    c->socket = std::make_unique<peer_socket>(std::move(s));
    c->connection = seen_.connections.size();
    seen_.connections.emplace_back();
    current_callers_[who % caller_count] = callers_.size();
    callers_.push_back(std::move(c));
    return callers_.back().get();
}

void world::send_request(step const& s)
{
    auto* const c = open_caller(s.who);
    if (c == nullptr)
        return;
    caller_request r;
    r.id = 'q' + std::to_string(seen_.requests.size());
    r.route = route_kind(s.form % 8 % route_count);
    r.target = paths[std::size_t(r.route)] + r.id;
    r.key = s.form / 8 % 2 == 0 ? "KEY0" : withdrawn_key;
    r.body = filled(r.id, body_bytes(s.size));
    r.deadline = deadline_of(s.size);
    r.connection = c->connection;
    r.sent_unread = r.limited_by_reading = !c->socket->reading();
    std::string text = (r.body.empty() ? "GET " : "POST ") + r.target +
                       " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + r.id +
                       "\r\nDeadline-Ms: " + std::to_string(r.deadline.count());
    if (r.route != route_kind::open)
        text += "\r\nAuthorization: Bearer " + r.key;
    if (!r.body.empty())
        text += "\r\nContent-Length: " + std::to_string(r.body.size());
    text += "\r\n\r\n" + r.body;
    c->socket->append(text);
    r.end = c->socket->appended();
    seen_.connections[c->connection].requests.push_back(seen_.requests.size());
    seen_.requests.push_back(std::move(r));
    c->socket->allow(s.amount);
}

void world::note_sent(caller& c)
{
    auto& connection = seen_.connections[c.connection];
    std::size_t begin = 0;
    for (auto const index : connection.requests)
    {
        auto& r = seen_.requests[index];
        if (!r.began && c.socket->sent() > begin)
        {
            r.began = now();
            r.told_of_close = c.told_of_close;
        }
        if (!r.whole && c.socket->sent() >= r.end)
            r.whole = now();
        if (!frozen_since_ && r.began && !r.began_readable)
            r.began_readable = now();
        if (!frozen_since_ && r.whole && !r.whole_readable)
            r.whole_readable = now();
        begin = r.end;
    }
}

void world::read_answers(caller& c)
{
    auto& connection = seen_.connections[c.connection];
    auto const& text = c.socket->received();
    bool const ended = c.socket->ended();
    if (text.size() == c.looked_at && ended == c.looked_at_end)
        return;
    c.looked_at = text.size();
    c.looked_at_end = ended;
    while (c.parsed < text.size())
    {
        auto const rest = std::string_view(text).substr(c.parsed);
        bool const expected =
            c.answers < connection.requests.size() &&
            seen_.requests[connection.requests[c.answers]].began;
        if (!expected)
        {
            connection.surplus = std::string(rest);
            break;
        }
        auto& r = seen_.requests[connection.requests[c.answers]];
        auto const size =
            read_message(rest, true, c.socket->ended_in_order(), r.answer);
        if (!r.begun && r.answer.has_head)
            r.begun = now();
        if (r.answer.has_head && r.answer.header("connection") == "close")
            c.told_of_close = true;
        if (!r.answer.complete)
            break;
        r.ended = now();
        c.parsed += size;
        ++c.answers;
    }
    if (ended && !connection.left && !connection.closed)
        connection.closed = now();
}

void world::leave(step const& s)
{
    auto* const c = usable_caller(s.who);
    if (c == nullptr)
        return;
    seen_.connections[c->connection].left = now();
    if (s.form % 3 == 0)
        c->socket->close();
    else if (s.form % 3 == 1)
        c->socket->half_close();
    else
        c->socket->reset();
}

// Endpoints ------------------------------------------------------------------

void world::listen(endpoint& e, bool accepts)
{
    if (!accepts)
    {
        e.acceptor.reset();
        seen_.refused_connections = true;
        return;
    }
    if (e.acceptor)
        return;
    e.acceptor = std::make_unique<asio::ip::tcp::acceptor>(io_);
    e.acceptor->open(asio::ip::tcp::v4());
    e.acceptor->set_option(asio::socket_base::reuse_address(true));
    e.acceptor->bind(e.address);
    e.acceptor->listen();
    e.acceptor->non_blocking(true);
}

void world::read_requests(endpoint& e, endpoint_connection& c)
{
    auto const& text = c.socket->received();
    bool const gone = c.socket->ended();
    if (gone && c.run)
    {
        auto& run = seen_.runs[*c.run];
        if (!run.sent && !run.dropped && !run.cut)
            run.cut = now();
        c.run.reset();
    }
    if (c.run && seen_.runs[*c.run].whole)
        return; // one request at a time
    if (text.size() == c.looked_at || gone)
        return;
    while (c.parsed < text.size())
    {
        received_message m;
        auto const size = read_message(
            std::string_view(text).substr(c.parsed), false, false, m);
        if (!m.has_head)
            break;
        if (m.header("request-id").empty())
        {
            if (!m.complete)
                break;
            c.parsed += size;
            answer_control_call(e, c, m);
            continue;
        }
        if (!c.run)
        {
            endpoint_run run;
            run.id = m.header("request-id");
            run.endpoint = std::uint32_t(&e - endpoints_.data());
            run.began = now();
            run.tag = "s" + std::to_string(seen_.runs.size());
            if (auto const last = m.header("last-event-id"); !last.empty())
                run.first_event = run.next_event =
                    std::strtoull(last.c_str(), nullptr, 10) + 1;
            c.run = seen_.runs.size();
            seen_.runs.push_back(std::move(run));
        }
        auto& run = seen_.runs[*c.run];
        run.request = m;
        if (!m.complete)
            break;
        run.whole = now();
        c.parsed += size;
        c.answer_complete = false;
        break;
    }
    c.looked_at = text.size();
}

void world::answer_control_call(
    endpoint& e, endpoint_connection& c, received_message const& m)
{
    if (e.mute)
        return;
    std::string body = "{}";
    if (m.start_line.find("/report") != std::string::npos)
        body = R"({"queueDepth":0,"activeSeqs":0})";
    else if (m.start_line.find("/kv-list") != std::string::npos)
        body = R"({"held":[]})";
    else if (m.start_line.find("/kv-move") != std::string::npos)
        body = R"({"handle":"copy"})";
    c.socket->append(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body);
    c.socket->allow(0);
}

void world::note_answered(endpoint_connection& c)
{
    if (!c.run)
        return;
    auto& run = seen_.runs[*c.run];
    if (std::exchange(c.sent, c.socket->sent()) != c.socket->sent())
        run.last_byte = now();
    if (!c.answer_complete || !c.socket->all_sent())
        return;
    run.sent = now();
    run.ended_in_order = !run.ends_within_event;
    c.run.reset();
    c.answer_complete = false;
    c.looked_at = 0; // there may be another request
    if (std::exchange(c.ends_after_answer, false))
        c.socket->close();
}

std::vector<std::pair<world::endpoint_connection*, std::size_t>>
world::open_runs()
{
    std::vector<std::pair<endpoint_connection*, std::size_t>> found;
    for (auto& e : endpoints_)
    {
        for (auto& c : e.connections)
        {
            if (c->run && seen_.runs[*c->run].whole && c->socket->open())
                found.emplace_back(c.get(), *c->run);
        }
    }
    std::sort(
        found.begin(), found.end(),
        [](auto const& a, auto const& b) { return a.second < b.second; });
    return found;
}

void world::answer(
    endpoint_connection& c, endpoint_run& run, answer_form form,
    std::size_t bytes)
{
    std::string status = "200 OK";
    std::string more = "Response-Seal: " + run.tag + "\r\n";
    run.sealed = true;
    bool const whole =
        form == answer_form::with_length || form == answer_form::chunked ||
        form == answer_form::close_delimited || form == answer_form::leaving;
    run.faulty = !whole && form != answer_form::not_found;
    switch (form)
    {
    case answer_form::refused_with_proof:
    case answer_form::refused_with_pause:
    case answer_form::misdirected:
        status = form == answer_form::misdirected ? "421 Misdirected Request"
                                                  : "503 Service Unavailable";
        more = "Not-Executed: 1\r\n";
        if (form == answer_form::refused_with_pause)
            more += "Retry-After: 1\r\n";
        run.sealed = false;
        run.proves_not_run = true;
        bytes = std::min<std::size_t>(bytes, 200);
        break;
    case answer_form::refused_without_proof:
        status = "503 Service Unavailable";
        break;
    case answer_form::server_error:
        status = "500 Internal Server Error";
        break;
    case answer_form::not_found:
        status = "404 Not Found";
        break;
    case answer_form::unsealed:
        more.clear();
        run.sealed = false;
        break;
    case answer_form::leaving:
        more += "Server-Leaving: 1\r\n";
        break;
    default:
        break;
    }
    // Another endpoint resumes an event stream with one.
    run.faulty = run.faulty || run.first_event > 1;
    auto const id = form == answer_form::foreign ? "other-" + run.id : run.id;
    auto const body =
        filled((form == answer_form::foreign ? "other-" : "") + run.tag, bytes);
    auto const head =
        "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\n" + more;
    if (form == answer_form::chunked)
    {
        std::string text;
        constexpr std::size_t chunk_bytes = 30000;
        for (std::size_t at = 0; at < body.size(); at += chunk_bytes)
            text += chunk(body.substr(at, chunk_bytes));
        c.socket->append(
            head + "Transfer-Encoding: chunked\r\n\r\n" + text + "0\r\n\r\n");
    }
    else if (form == answer_form::close_delimited)
    {
        c.socket->append(head + "Connection: close\r\n\r\n" + body);
        c.ends_after_answer = c.ends_with_connection = true;
    }
    else
    {
        c.socket->append(
            head + "Content-Length: " + std::to_string(body.size()) +
            "\r\n\r\n" + body);
    }
    if (form == answer_form::foreign)
        return; // its own answer may follow
    run.status = unsigned(std::stoul(status));
    run.body = body;
    run.answered = true;
    c.answer_complete = true;
}

void world::begin_stream(
    endpoint_connection& c, endpoint_run& run, event_form form)
{
    run.answered = run.streaming = run.sealed = true;
    run.status = 200;
    run.events = form;
    std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + run.id +
                       "\r\nResponse-Seal: " + run.tag +
                       "\r\nContent-Type: text/event-stream";
    head += form == event_form::close_delimited
                ? "\r\nConnection: close\r\n\r\n"
                : "\r\nTransfer-Encoding: chunked\r\n\r\n";
    c.socket->append(head);
    c.ends_with_connection = form == event_form::close_delimited;
}

void world::add_events(
    endpoint_connection& c, endpoint_run& run, std::uint32_t count)
{
    for (std::uint32_t i = 0; i < count; ++i)
    {
        auto const n = run.next_event++;
        bool const has_id =
            run.events == event_form::with_ids ||
            run.events == event_form::close_delimited ||
            (run.events == event_form::alternating && n % 2 == 0);
        std::string text;
        if (has_id)
            text += "id: " + std::to_string(n) + '\n';
        text += "data: " + run.tag + '-' + std::to_string(n) + "\n\n";
        c.socket->append(
            run.events == event_form::close_delimited ? text : chunk(text));
    }
}

void world::end_stream(endpoint_connection& c, endpoint_run& run, bool in_order)
{
    if (in_order)
    {
        if (run.events == event_form::close_delimited)
            c.ends_after_answer = true;
        else
            c.socket->append("0\r\n\r\n");
        c.answer_complete = true;
        return;
    }
    std::string const half = "id: 999999\ndata: cut";
    c.socket->append(
        run.events == event_form::close_delimited ? half
                                                  : chunk(half) + "0\r\n\r\n");
    run.faulty = run.ends_within_event = true;
    c.ends_after_answer = true;
    c.answer_complete = true;
}

void world::drop(endpoint_connection& c, bool reset)
{
    if (c.run)
    {
        auto& run = seen_.runs[*c.run];
        run.dropped = now();
        run.faulty = true;
        run.end_looks_whole = !reset && c.ends_with_connection;
        c.run.reset();
    }
    if (reset)
        c.socket->reset();
    else
        c.socket->close();
}

void world::act_on_run(step const& s)
{
    auto const runs = open_runs();
    if (runs.empty())
        return;
    auto const& [c, index] = runs[s.who % runs.size()];
    auto& run = seen_.runs[index];
    auto const request = std::find_if(
        seen_.requests.begin(), seen_.requests.end(),
        [&run](caller_request const& r) { return r.id == run.id; });
    bool const stream =
        request != seen_.requests.end() && is_stream(request->route);
    switch (s.what)
    {
    case action::answer:
        if (!run.answered)
            answer(
                *c, run, answer_form(s.form % answer_form_count),
                s.size % 1000000);
        c->socket->allow(s.amount);
        break;
    case action::send_answer:
        c->socket->allow(s.amount);
        break;
    case action::events:
        if (!run.answered && stream)
            begin_stream(*c, run, event_form(s.form % event_form_count));
        else if (!run.answered)
            answer(*c, run, answer_form::with_length, s.size * 100);
        if (run.streaming && !c->answer_complete)
            add_events(*c, run, s.size);
        c->socket->allow(s.amount);
        break;
    case action::end_stream:
        if (run.streaming && !c->answer_complete)
            end_stream(*c, run, s.form % 2 == 0);
        c->socket->allow(0);
        break;
    case action::drop:
        drop(*c, s.form % 2 == 1);
        break;
    default:
        break;
    }
}

/// Ends what endpoints work on, as endpoints in order do.
void world::finish_open_runs()
{
    for (auto const& [c, index] : open_runs())
    {
        auto& run = seen_.runs[index];
        if (!run.answered)
        {
            auto const request = std::find_if(
                seen_.requests.begin(), seen_.requests.end(),
                [&run](caller_request const& r) { return r.id == run.id; });
            bool const stream =
                request != seen_.requests.end() && is_stream(request->route);
            if (stream)
            {
                begin_stream(*c, run, event_form::with_ids);
                add_events(*c, run, 3);
            }
            else
            {
                answer(*c, run, answer_form::with_length, 100);
            }
        }
        if (run.streaming && !c->answer_complete)
            end_stream(*c, run, true);
        c->socket->allow(0);
    }
}

// Operator and store ---------------------------------------------------------

void world::put_row(std::uint32_t index, row_form form)
{
    auto& e = endpoints_[index];
    if (form == row_form::returned)
    {
        ++e.born;
        for (auto const& c : e.connections)
            drop(*c, true);
        listen(e, true);
    }
    e.form = form;
    seen_.rows.push_back({now(), index, form});
    if (form == row_form::removed)
        endpoint_rows_.remove(e.id);
    else
        endpoint_rows_.commit(
            e.id, R"({"service":")" + e.service + R"(","address":")" +
                      to_text(e.address) + R"(","zone":")" + e.zone +
                      R"(","state":")" +
                      (form == row_form::draining ? "draining"
                       : form == row_form::odd    ? "unknown"
                                                  : "ready") +
                      R"(","slots":8,"born":)" + std::to_string(e.born) + '}');
}

void world::commit_configuration()
{
    std::string const attempts = std::to_string(max_attempts_);
    std::string routes;
    auto const add = [&routes](std::string const& route)
    { routes += (routes.empty() ? "" : ",") + route; };
    if (safe_route_)
        add(R"({"name":"safe","host":"h","prefix":"/safe/","routeType":"safe",
 "service":"app","timeoutMs":5000,"targetLatencyMs":2000,"maxAttempts":)" +
            attempts + '}');
    add(R"({"name":"unsafe","host":"h","prefix":"/unsafe/","routeType":"unsafe",
 "service":"app","timeoutMs":5000,"targetLatencyMs":2000,"maxAttempts":1})");
    add(R"({"name":"stream","host":"h","prefix":"/stream/",
 "routeType":"streaming","service":"app","timeoutMs":8000,
 "targetLatencyMs":2000,"resumable":true,"gapTargetMs":1000,"maxAttempts":)" +
        attempts + '}');
    add(R"({"name":"once","host":"h","prefix":"/once/","routeType":"streaming",
 "service":"app","timeoutMs":8000,"targetLatencyMs":2000,"gapTargetMs":1000,
 "maxAttempts":3})");
    add(R"({"name":"llm","host":"h","prefix":"/llm/","routeType":"streaming",
 "service":"llm","timeoutMs":8000,"targetLatencyMs":2000,"resumable":true,
 "sticky":true,"gapTargetMs":1000,"maxAttempts":)" +
        attempts + '}');
    add(R"({"name":"open","host":"h","prefix":"/open/","routeType":"safe",
 "service":"app","timeoutMs":5000,"targetLatencyMs":2000,"anonymous":true,
 "maxAttempts":)" +
        attempts + '}');
    std::string const services =
        std::string(app_service_ ? R"({"name":"app"},)" : "") +
        R"({"name":"llm","engine":{"slots":8,"kvCapacity":88000,
 "backups":true,"handleS":4.0}})";
    std::string organisations;
    if (organisations_)
        organisations =
            R"({"name":"acme","apiKeys":["KEY0")" +
            (key_valid_ ? std::string(",\"") + withdrawn_key + '"' : "") + "]}";
    configuration_.commit(
        "config", R"({"version":)" + std::to_string(++version_) +
                      R"(,"routes":[)" + routes + R"(],"services":[)" +
                      services +
                      R"(],"limits":{"maxHeaderBytes":4000,"maxBodyBytes":)" +
                      (small_body_limit_ ? "1000" : "100000") +
                      R"(,"headerTimeoutMs":3000,"idleTimeoutMs":)" +
                      (short_idle_limit_ ? "500" : "60000") +
                      R"(},"tenants":[)" + organisations + "]}");
}

void world::note_keys()
{
    seen_.keys["KEY0"].push_back({now(), organisations_});
    seen_.keys[withdrawn_key].push_back({now(), organisations_ && key_valid_});
}

void world::configure(step const& s)
{
    bool const on = s.size % 2 == 1;
    switch (configuration_form(s.form % configuration_form_count))
    {
    case configuration_form::key:
        key_valid_ = on;
        note_keys();
        break;
    case configuration_form::body_limit:
        small_body_limit_ = !on;
        seen_.small_body_limit = seen_.small_body_limit || !on;
        break;
    case configuration_form::safe_route:
        safe_route_ = on;
        seen_.safe_routes.push_back({now(), on});
        break;
    case configuration_form::app_service:
        app_service_ = on;
        seen_.service_removed = seen_.service_removed || !on;
        break;
    case configuration_form::attempts:
        max_attempts_ = s.size;
        seen_.max_attempts = std::max(seen_.max_attempts, max_attempts_);
        break;
    case configuration_form::organisations:
        organisations_ = on;
        note_keys();
        break;
    case configuration_form::idle_limit:
        short_idle_limit_ = !on;
        seen_.short_idle_limit = seen_.short_idle_limit || !on;
        break;
    }
    commit_configuration();
}

void world::set_store(store_mode mode)
{
    if (store_fault_since_)
        seen_.store_faults.push_back({*store_fault_since_, now()});
    store_fault_since_.reset();
    if (mode != store_mode::works)
        store_fault_since_ = now();
    store_.mode = mode;
    configuration_.answer_waiting();
    endpoint_rows_.answer_waiting();
}

// Time -----------------------------------------------------------------------

/// Reads and writes on all sockets of callers and endpoints that are ready.
bool world::pump()
{
    polled_.clear();
    for (auto& e : endpoints_)
    {
        if (e.acceptor)
            polled_.push_back({e.acceptor->native_handle(), POLLIN, 0});
        for (auto& c : e.connections)
            c->socket->add_interest(polled_);
    }
    for (auto& c : callers_)
        c->socket->add_interest(polled_);
    if (::poll(polled_.data(), polled_.size(), 0) <= 0)
        return false;
    bool progress = false;
    for (auto& e : endpoints_)
    {
        progress = accept(e) || progress;
        for (auto& c : e.connections)
        {
            progress = c->socket->pump() || progress;
            note_answered(*c);
            read_requests(e, *c);
        }
    }
    for (auto& c : callers_)
    {
        progress = c->socket->pump() || progress;
        note_sent(*c);
        read_answers(*c);
    }
    return progress;
}

bool world::accept(endpoint& e)
{
    bool accepted = false;
    while (e.acceptor)
    {
        asio::ip::tcp::socket s(io_);
        asio::error_code none;
        e.acceptor->accept(s, none);
        if (none)
            break;
        auto c = std::make_unique<endpoint_connection>();
        c->socket = std::make_unique<peer_socket>(std::move(s));
        e.connections.push_back(std::move(c));
        accepted = true;
    }
    return accepted;
}

/// Runs the gateway and its peers until nothing is left to do now.
void world::settle()
{
    bool progress = true;
    while (progress)
    {
        progress = false;
        try
        {
            progress = !frozen_since_ && !is_over() && io_.poll() > 0;
        }
        catch (std::exception const& e)
        {
            seen_.errors.push_back(std::string("exception: ") + e.what());
        }
        if (calm_)
            finish_open_runs();
        progress = pump() || progress;
    }
    note_end_of_process();
}

void world::note_end_of_process()
{
    if (is_over() || frozen_since_ || !subject_->finished())
        return;
    seen_.finished = now();
    for (auto const& c : callers_)
    {
        auto& seen = seen_.connections[c->connection];
        if (!seen.left && !seen.closed)
            seen.closed = now();
    }
}

void world::thaw()
{
    if (!frozen_since_)
        return;
    seen_.jumps.push_back({*frozen_since_, now()});
    frozen_since_.reset();
    for (auto const& c : callers_)
        note_sent(*c);
}

void world::advance(milliseconds span)
{
    thaw();
    settle();
    for (milliseconds passed{0}; passed < span && !is_over(); passed += tick)
    {
        try
        {
            scheduler_.advance(std::min(tick, span - passed));
        }
        catch (std::exception const& e)
        {
            seen_.errors.push_back(std::string("exception: ") + e.what());
        }
        settle();
    }
}

void world::play(step const& s)
{
    if (is_over())
        return;
    switch (s.what)
    {
    case action::request:
        send_request(s);
        break;
    case action::send_rest:
        if (auto* const c = usable_caller(s.who))
            c->socket->allow(s.amount);
        break;
    case action::pause_reading:
        if (auto* const c = usable_caller(s.who))
        {
            c->socket->pause_reading();
            for (auto const r : seen_.connections[c->connection].requests)
                seen_.requests[r].limited_by_reading =
                    seen_.requests[r].limited_by_reading ||
                    !seen_.requests[r].ended;
        }
        break;
    case action::read_some:
        if (auto* const c = usable_caller(s.who))
        {
            c->socket->read_some(s.amount == 0 ? 65536 : s.amount);
            read_answers(*c);
        }
        break;
    case action::resume_reading:
        if (auto* const c = usable_caller(s.who))
            c->socket->resume_reading();
        break;
    case action::leave:
        leave(s);
        break;
    case action::answer:
    case action::send_answer:
    case action::events:
    case action::end_stream:
    case action::drop:
        act_on_run(s);
        break;
    case action::listen:
        listen(endpoints_[s.who % endpoint_count], s.form % 2 == 1);
        break;
    case action::mute:
        endpoints_[s.who % endpoint_count].mute = s.form % 2 == 1;
        break;
    case action::reset_idle:
        for (auto const& c : endpoints_[s.who % endpoint_count].connections)
        {
            if (!c->run)
                c->socket->reset();
        }
        break;
    case action::row:
        put_row(s.who % endpoint_count, row_form(s.form % row_form_count));
        break;
    case action::configure:
        configure(s);
        break;
    case action::store:
        set_store(store_mode(s.form % 3));
        break;
    case action::stop:
        if (!seen_.stopped)
        {
            thaw();
            seen_.stopped = now();
            subject_->begin_shutdown();
        }
        break;
    case action::advance:
        advance(milliseconds(s.amount));
        return;
    case action::jump:
        if (!frozen_since_)
            frozen_since_ = now();
        scheduler_.jump(milliseconds(s.amount));
        break;
    }
    settle();
}

// End ------------------------------------------------------------------------

void world::finish()
{
    thaw();
    for (auto const& c : callers_)
    {
        c->socket->resume_reading();
        if (seed_ % 2 == 0 && !seen_.connections[c->connection].closed)
            c->socket->allow(0);
    }
    settle();
    // Without help, so that time limits end what is left.
    if (seed_ % 4 < 2)
        advance(milliseconds(9500));
    set_store(store_mode::works);
    for (std::uint32_t i = 0; i < endpoint_count; ++i)
    {
        auto& e = endpoints_[i];
        e.mute = false;
        for (auto const& c : e.connections)
        {
            if (!c->run)
                c->socket->reset(); // checks that were not answered
        }
        listen(e, true);
    }
    calm_ = true;
    auto const pending = [this]
    {
        return std::any_of(
            seen_.requests.begin(), seen_.requests.end(),
            [this](caller_request const& r)
            {
                auto const& c = seen_.connections[r.connection];
                return r.whole && !r.ended && !c.closed && !c.left;
            });
    };
    for (int i = 0; i < 300 && pending() && !is_over(); ++i)
        advance(milliseconds(100));
    if (!seen_.stopped)
    {
        key_valid_ = safe_route_ = app_service_ = organisations_ = true;
        small_body_limit_ = short_idle_limit_ = false;
        max_attempts_ = 3;
        note_keys();
        seen_.safe_routes.push_back({now(), true});
        commit_configuration();
        for (std::uint32_t i = 0; i < endpoint_count; ++i)
            put_row(i, row_form::returned);
        advance(milliseconds(6000));
        seen_.calm_from = seen_.requests.size();
        for (std::uint32_t route = 0; route < route_count; ++route)
        {
            step s{action::request};
            s.who = route % caller_count;
            s.form = route + 8;
            s.size = 4;
            play(s);
            advance(milliseconds(100));
        }
        advance(milliseconds(500));
        seen_.stopped = now();
        subject_->begin_shutdown();
    }
    else
    {
        seen_.calm_from = seen_.requests.size();
    }
    auto const limit =
        std::max(now(), *seen_.stopped + platform_bounds::grace) +
        milliseconds(1000);
    while (!is_over() && now() < limit)
        advance(milliseconds(100));
    set_store(store_mode::works);
    seen_.ended = now();
    for (std::size_t i = 0; i < log_.unexpected_errors; ++i)
        seen_.errors.emplace_back("unexpected_error in the log");
}

} // namespace dotterellock::testing::explorer
