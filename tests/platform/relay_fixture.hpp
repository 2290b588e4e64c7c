// A gateway on loopback with scripted endpoints and an in-memory store. They
// share one io_context, which runs step by step until a test's condition holds.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_RELAY_FIXTURE_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_RELAY_FIXTURE_HPP

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio.hpp>

#include "platform/platform_protocol.hpp"
#include "platform/platform_row_codec.hpp"
#include "relay/gateway.hpp"
#include "relay/loop_timer_service.hpp"

namespace dotterellock::testing
{

using std::chrono::milliseconds;

class offset_clock : public clock_source
{
public:
    steady_time now() const override
    {
        return (stopped_at ? *stopped_at : std::chrono::steady_clock::now()) +
               offset;
    }
    wall_time wall_now() const override { return {}; }

    /// From now on only changes of `offset` move the clock.
    void stop() { stopped_at = std::chrono::steady_clock::now(); }

    std::optional<steady_time> stopped_at;
    duration offset{};
};

class sequential_random : public random_source
{
public:
    std::uint64_t next() override { return ++value_; }

private:
    std::uint64_t value_ = 0;
};

struct recording_log : event_log
{
    void record(
        event_level, char const* event,
        std::vector<event_field> const& fields) override
    {
        std::string line = event;
        for (auto const& [name, value] : fields)
            line += std::string(" ") + name + '=' + value;
        lines.push_back(line);
    }

    std::vector<std::string> lines;
};

/// A table that answers a listing immediately and a call for changes only when
/// the test publishes one.
class in_memory_table : public row_reader
{
public:
    explicit in_memory_table(asio::io_context& io) : io_(io) {}

    void list(std::string const&, std::string const&, handler done) override
    {
        asio::post(
            io_,
            [this, done]
            {
                row_read_result a;
                a.status =
                    available ? row_read_status::ok : row_read_status::refused;
                a.rows = rows;
                a.revision = 1;
                done(a);
            });
    }
    void changes(
        std::string const&, std::uint64_t, milliseconds wait,
        handler done) override
    {
        last_changes_wait = wait;
        pending_changes = std::move(done);
    }

    void publish_change(store_row row)
    {
        row_read_result a;
        a.status = row_read_status::ok;
        row.revision = ++revision;
        a.rows = {std::move(row)};
        a.revision = revision;
        std::exchange(pending_changes, nullptr)(a);
    }

    bool available = true; // false: listings are refused
    std::vector<store_row> rows;
    std::uint64_t revision = 1;
    milliseconds last_changes_wait{0};
    handler pending_changes;

private:
    asio::io_context& io_;
};

/// Accepts every write and discards it.
struct null_row_writer : row_writer
{
    void
    put(std::string const&, std::string const&, std::string const&,
        handler done) override
    {
        done(true);
    }
    void remove(std::string const&, std::string const&, handler done) override
    {
        done(true);
    }
    void put_if(
        std::string const&, std::string const&, std::string const&,
        std::uint64_t, conditional_handler done) override
    {
        done({});
    }
    void
    find(std::string const&, std::string const&, find_handler done) override
    {
        done({});
    }
};

/// Rows with conditional writes. Calls are answered at once, and counted.
struct in_memory_rows : null_row_writer
{
    void put_if(
        std::string const&, std::string const& key, std::string const& value,
        std::uint64_t expected, conditional_handler done) override
    {
        ++calls;
        if (!available)
        {
            done({});
            return;
        }
        auto const found = rows.find(key);
        bool const exists = found != rows.end();
        conditional_result result;
        if (expected != (exists ? found->second.revision : 0))
        {
            result.outcome = condition::failed;
            if (exists)
                result.row = found->second;
            done(result);
            return;
        }
        put_row(key, value);
        result.outcome = condition::met;
        result.revision = revision;
        if (std::exchange(lose_answers, lose_answers - 1) > 0)
            result = {};
        lose_answers = std::max(lose_answers, 0);
        done(result);
    }

    void
    find(std::string const&, std::string const& key, find_handler done) override
    {
        ++calls;
        found_row result;
        result.read = available;
        auto const found = rows.find(key);
        if (available && found != rows.end())
            result.row = found->second;
        done(result);
    }

    void put_row(std::string const& key, std::string const& value)
    {
        rows[key] = {key, value, ++revision, false};
        history.push_back(value);
    }

    std::map<std::string, store_row> rows;
    std::vector<std::string> history; // of written values
    std::uint64_t revision = 100;
    std::size_t calls = 0;
    bool available = true; // false: calls fail
    int lose_answers = 0;  // writes executed without an answer
};

/// One end of a connection. Collects the bytes received; the test sends.
struct test_connection : std::enable_shared_from_this<test_connection>
{
    explicit test_connection(asio::ip::tcp::socket s) : socket(std::move(s)) {}

    void read()
    {
        auto self = shared_from_this();
        socket.async_read_some(
            asio::buffer(buffer),
            [this, self](asio::error_code const& e, std::size_t n)
            {
                if (e)
                {
                    closed = true;
                    return;
                }
                received.append(buffer.data(), n);
                read();
            });
    }

    void send(std::string const& text)
    {
        asio::error_code ignored; // tests check received bytes
        asio::write(socket, asio::buffer(text), ignored);
    }

    void close()
    {
        asio::error_code ignored;
        socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
        socket.close(ignored);
    }

    void reset()
    {
        socket.set_option(asio::socket_base::linger(true, 0));
        socket.close();
    }

    bool has(std::string const& text) const
    {
        return received.find(text) != std::string::npos;
    }

    asio::ip::tcp::socket socket;
    std::string received;
    bool closed = false;
    std::array<char, 65536> buffer;
};

/// Accepts connections. The test reads the requests and sends the responses.
struct scripted_endpoint
{
    explicit scripted_endpoint(asio::io_context& io)
        : acceptor(
              io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    void accept()
    {
        acceptor.async_accept(
            [this](asio::error_code const& e, asio::ip::tcp::socket s)
            {
                if (e)
                    return;
                connections.push_back(
                    std::make_shared<test_connection>(std::move(s)));
                connections.back()->read();
                accept();
            });
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    std::size_t request_count() const
    {
        std::size_t n = 0;
        for (auto const& p : connections)
        {
            for (std::size_t at = 0;
                 (at = p->received.find(" HTTP/1.1\r\n", at)) !=
                 std::string::npos;
                 ++at)
                ++n;
        }
        return n;
    }

    asio::ip::tcp::acceptor acceptor;
    std::vector<std::shared_ptr<test_connection>> connections;
};

/// Parts of an endpoint's streamed response.
inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token\n\n";
}

inline std::string chunk(std::string const& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

inline std::string stream_head(std::string const& id = "r1")
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
           "\r\nResponse-Seal: s\r\nContent-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

struct relay_fixture
{
    explicit relay_fixture(
        std::size_t memory_bytes = gateway_settings().memory_for_others())
        : memory(memory_bytes)
    {
        for (int i = 0; i < 5; ++i)
            endpoints.push_back(std::make_unique<scripted_endpoint>(io));
        configuration.rows = {
            row("config",
                R"({"version":3,"routes":[
 {"name":"safe","host":"h","prefix":"/safe/","routeType":"safe","service":"app",
  "timeoutMs":5000,"targetLatencyMs":4000,"maxAttempts":2},
 {"name":"unsafe","host":"h","prefix":"/unsafe/","routeType":"unsafe",
  "service":"app","timeoutMs":5000,"targetLatencyMs":4000,"maxAttempts":1},
 {"name":"open","host":"h","prefix":"/open/","routeType":"safe","service":"app",
  "timeoutMs":5000,"anonymous":true},
 {"name":"stream","host":"h","prefix":"/stream/","routeType":"streaming",
  "service":"app","timeoutMs":20000,"targetLatencyMs":9000,"maxAttempts":3,
  "resumable":true,"gapTargetMs":5000},
 {"name":"llm","host":"h","prefix":"/llm/","routeType":"streaming",
  "service":"llm","timeoutMs":20000,"targetLatencyMs":9000,"maxAttempts":3,
  "resumable":true,"sticky":true,"gapTargetMs":9000}],
 "services":[{"name":"app"},{"name":"llm","engine":{"slots":8,
  "kvCapacity":88000,"backups":true,"handleS":4.0}}],
 "limits":{"maxHeaderBytes":4000,"maxBodyBytes":10000,
  "headerTimeoutMs":60000,"idleTimeoutMs":60000},
 "tenants":[{"name":"acme","apiKeys":["KEY"]}]})")};
        table.rows = {
            endpoint_row("one", 0), endpoint_row("two", 1),
            engine_row("m1", 2, "near"), engine_row("m2", 3, "far"),
            engine_row("m3", 4, "farther")};
        settings.host = "gateway";
        settings.zone = "near";
        settings.first_start = true; // the retry allowance applies at once
        settings.listen = "127.0.0.1:" + std::to_string(free_port());
        settings.status_listen = "127.0.0.1:" + std::to_string(free_port());
    }

    ~relay_fixture()
    {
        // Pending handlers refer to the gateway and must not run after it is
        // destroyed.
        io.stop();
    }

    static store_row row(std::string key, std::string value)
    {
        store_row r;
        r.key = std::move(key);
        r.value = std::move(value);
        r.revision = 1;
        return r;
    }

    /// The first endpoint is in the gateway's zone, so it is selected first.
    store_row endpoint_row(std::string const& id, std::size_t i) const
    {
        return row(
            id, R"({"service":"app","address":")" + endpoints[i]->address() +
                    R"(","zone":")" + (i == 0 ? "near" : "far") +
                    R"(","state":"ready","slots":8})");
    }

    store_row engine_row(
        std::string const& id, std::size_t i, std::string const& zone) const
    {
        return row(
            id, R"({"service":"llm","address":")" + endpoints[i]->address() +
                    R"(","zone":")" + zone + R"(","state":"ready","slots":8})");
    }

    /// A port that no other process gets: a socket stays bound to it. It allows
    /// the gateway to listen there only once it has the port for itself.
    unsigned short free_port()
    {
        auto& s = reserved_ports.emplace_back(io, asio::ip::tcp::v4());
        s.bind({asio::ip::address_v4::loopback(), 0});
        s.set_option(asio::socket_base::reuse_address(true));
        return s.local_endpoint().port();
    }

    void start()
    {
        subject = std::make_unique<gateway>(
            settings, gateway_environment{
                          io, timers, clock, random, protocol, codec,
                          configuration, table, peer_table, peer_writer,
                          status_store, log, counters, memory});
        subject->start();
    }

    /// Runs until the condition holds. The 10 s limit is only reached by a test
    /// that fails.
    bool run_until(std::function<bool()> const& done)
    {
        auto const end =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done() && std::chrono::steady_clock::now() < end)
            io.run_one_for(milliseconds(50));
        return done();
    }

    /// Runs until the gateway has ticked. Timers fire in the order of their
    /// times, and this one is later than the next tick, however slow the
    /// machine is.
    void run_ticks()
    {
        bool passed = false;
        asio::steady_timer timer(io, milliseconds(45));
        timer.async_wait([&](asio::error_code const&) { passed = true; });
        run_until([&] { return passed; });
    }

    /// Runs for a while in which nothing is expected to happen.
    void settle()
    {
        for (int i = 0; i < 5; ++i)
            run_ticks();
    }

    /// Moves a stopped clock in steps that are no pause of the process.
    void advance(
        milliseconds span, std::function<void()> const& each_step = [] {})
    {
        constexpr milliseconds step{100};
        for (milliseconds passed{0}; passed < span; passed += step)
        {
            clock.offset += step;
            each_step();
            run_ticks();
        }
    }

    /// Sets the tolerated gap between the events of the engine's route.
    void set_engine_gap_target(std::string const& ms)
    {
        auto& text = configuration.rows[0].value;
        std::string const from = R"("sticky":true,"gapTargetMs":9000)";
        text.replace(
            text.find(from), from.size(),
            R"("sticky":true,"gapTargetMs":)" + ms);
    }

    /// The connection on which an endpoint got a request that has `text`. What
    /// was received there is dropped, so that each request is taken once.
    std::shared_ptr<test_connection> take_request(std::string const& text)
    {
        std::shared_ptr<test_connection> found;
        run_until(
            [&]
            {
                for (auto const& e : endpoints)
                {
                    for (auto const& c : e->connections)
                    {
                        if (!found && !c->closed && c->has(text) &&
                            c->has("\r\n\r\n"))
                            found = c;
                    }
                }
                return found != nullptr;
            });
        if (found)
            found->received.clear();
        return found;
    }

    std::shared_ptr<test_connection>
    connect(std::string const& address, std::string const& text)
    {
        asio::ip::tcp::socket s(io);
        s.connect(*parse_address(address));
        auto connection = std::make_shared<test_connection>(std::move(s));
        connection->send(text);
        connection->read();
        return connection;
    }

    bool logged(std::string const& text) const
    {
        return std::any_of(
            log.lines.begin(), log.lines.end(),
            [&text](std::string const& line)
            { return line.find(text) != std::string::npos; });
    }

    /// Connects as a caller and sends `text`.
    std::shared_ptr<test_connection> connect_caller(std::string const& text)
    {
        return connect(settings.listen, text);
    }

    static std::string request(
        std::string const& path, std::string const& id = "r1",
        std::string const& more = {})
    {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id +
               "\r\nDeadline-Ms: 9000\r\nAuthorization: Bearer KEY\r\n" + more +
               "\r\n";
    }

    static std::string response(
        std::string const& id = "r1", std::string const& body = "body",
        std::string const& status = "200 OK",
        std::string const& more = "Response-Seal: s\r\n")
    {
        return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\n" + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    }

    memory_budget memory; // outlives what handlers of io hold
    asio::io_context io{1};
    loop_timer_service timers{io};
    offset_clock clock;
    sequential_random random;
    recording_log log;
    counter_registry counters;
    platform_protocol protocol;
    platform_row_codec codec;
    in_memory_table configuration{io};
    in_memory_table table{io};
    in_memory_table peer_table{io};
    null_row_writer peer_writer;
    in_memory_rows status_store;
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    std::deque<asio::ip::tcp::socket> reserved_ports;
    gateway_settings settings;
    std::unique_ptr<gateway> subject;
};

} // namespace dotterellock::testing

#endif
