// Streams at endpoints of several software versions, through a real gateway.
#include <catch2/catch.hpp>

#include "relay/stream_table_codec.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

/// The table of stream versions. Calls are answered at once unless held.
struct stream_rows : row_reader, in_memory_rows
{
    void list(std::string const&, std::string const&, row_reader::handler done)
        override
    {
        ++listings;
        row_read_result answer;
        answer.status =
            available ? row_read_status::ok : row_read_status::refused;
        answer.revision = revision;
        for (auto const& [key, row] : rows)
            answer.rows.push_back(row);
        done(answer);
    }

    void changes(
        std::string const&, std::uint64_t, milliseconds,
        row_reader::handler) override
    {
    }

    void
    put(std::string const&, std::string const& key, std::string const& value,
        row_writer::handler done) override
    {
        if (held)
        {
            pending = [=]
            {
                put_row(key, value);
                done(true);
            };
            return;
        }
        if (available)
            put_row(key, value);
        done(available);
    }

    bool held = false;
    std::function<void()> pending;
    int listings = 0;
};

struct version_fixture : relay_fixture
{
    explicit version_fixture(
        std::vector<std::pair<std::string, std::string>> const& versions)
    {
        table.rows.clear();
        for (std::size_t i = 0; i < versions.size(); ++i)
            table.rows.push_back(
                versioned(versions[i].first, i, versions[i].second));
        base("v1");
    }

    store_row versioned(
        std::string const& id, std::size_t i, std::string const& version) const
    {
        auto r = endpoint_row(id, i);
        if (!version.empty())
            r.value.insert(
                r.value.size() - 1,
                R"(,"version":")" + version +
                    R"(","coldLeftMs":0,"seqNo":1,"born":1)");
        return r;
    }

    void base(std::string const& version)
    {
        service_name const app("app");
        streams.put_row(
            base_version_key(app), encode_base_version({app, version, 0}));
    }

    void start_gateway()
    {
        subject = std::make_unique<gateway>(
            settings,
            gateway_environment{
                io, timers, clock, random, protocol, codec, configuration,
                table, peer_table, peer_writer, status_store, log, counters,
                memory, &streams, &streams});
        subject->start();
        REQUIRE(run_until([&] { return subject->ready(); }));
        settle();
    }

    static std::string
    take_up(std::string const& first, std::string const& id = "r2")
    {
        return request(
            "/stream/x", id,
            "Last-Event-Id: 2\r\n" +
                (first.empty() ? "" : "Resumes: " + first + "\r\n"));
    }

    /// A record of another gateway.
    void record(std::string const& id, std::string const& version)
    {
        stream_versions other{host_id("other")};
        other.on_read({}, clock.now());
        other.on_attempt(
            service_name("app"), request_id(id), version,
            clock.now() + std::chrono::hours(1), clock.now());
        auto const records = other.to_write(service_name("app"), clock.now());
        streams.put_row(
            stream_records_key(records.service, records.gateway),
            encode_stream_records(records));
    }

    stream_rows streams;
};

std::size_t const first = 0; // in the gateway's zone, so preferred
std::size_t const second = 1;
std::size_t const third = 2;

} // namespace

// Guards against an answer whose second part is of another version.
TEST_CASE("an answer goes on only at its version", "[streams][relay]")
{
    struct row
    {
        char const* name;
        std::string second;
        std::string third; // empty: there is none
        std::optional<std::size_t> goes_on_at;
    };
    auto const r = GENERATE(
        row{"another version only", "v2", "", std::nullopt},
        row{"another version first", "v2", "v1", third},
        row{"its own version first", "v1", "v2", second});
    CAPTURE(r.name);
    std::vector<std::pair<std::string, std::string>> endpoints{
        {"one", "v1"}, {"two", r.second}};
    if (!r.third.empty())
        endpoints.emplace_back("three", r.third);
    version_fixture fixture(endpoints);
    fixture.start_gateway();
    auto const caller = fixture.connect_caller(fixture.request("/stream/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[first]->request_count() == 1; }));
    auto& begun = *fixture.endpoints[first]->connections[0];
    begun.send(stream_head() + chunk(event(1)) + chunk(event(2)));
    REQUIRE(fixture.run_until([&] { return caller->has(event(2)); }));
    auto gone = fixture.row("one", "");
    gone.deleted = true;
    fixture.table.publish_change(gone);
    fixture.clock.stop();
    fixture.clock.offset += std::chrono::seconds(5);
    begun.reset();
    if (!r.goes_on_at)
    {
        REQUIRE(fixture.run_until([&] { return caller->closed; }));
        REQUIRE_FALSE(caller->has("0\r\n\r\n"));
        REQUIRE(fixture.logged("stream_version_gone"));
        REQUIRE(fixture.endpoints[second]->request_count() == 0);
        return;
    }
    REQUIRE(fixture.run_until(
        [&]
        { return fixture.endpoints[*r.goes_on_at]->request_count() == 1; }));
    REQUIRE(fixture.endpoints[*r.goes_on_at]->connections[0]->has(
        "Last-Event-Id: 2\r\n"));
}

// Guards against a stream that is taken up at another version than began it, by
// a gateway that never saw it.
TEST_CASE("a stream is taken up at its version", "[streams][relay]")
{
    struct row
    {
        char const* name;
        std::string recorded; // version; empty: no record
        std::string base;
        std::string first; // version of the preferred endpoint
        std::string second;
        std::optional<std::size_t> goes_on_at; // else refused
        char const* reason;
    };
    auto const r = GENERATE(
        row{"of the base version", "", "v1", "v2", "v1", second, ""},
        row{"of another version", "v2", "v1", "v1", "v2", second, ""},
        row{"its version has left", "v3", "v1", "v1", "v2", std::nullopt,
            "stream_version_gone"},
        row{"the base version has left", "", "v1", "v2", "v3", std::nullopt,
            "stream_version_gone"},
        row{"of no known version", "", "", "v1", "v2", std::nullopt,
            "stream_version_unknown"},
        row{"no versions at all", "", "", "", "", std::nullopt,
            "stream_version_unknown"});
    CAPTURE(r.name);
    version_fixture fixture({{"one", r.first}, {"two", r.second}});
    fixture.base(r.base);
    if (!r.recorded.empty())
        fixture.record("r1", r.recorded);
    fixture.start_gateway();
    auto const caller = fixture.connect_caller(fixture.take_up("r1"));
    if (!r.goes_on_at)
    {
        REQUIRE(fixture.run_until([&] { return caller->has("\r\n\r\n"); }));
        REQUIRE(caller->has("HTTP/1.1 503"));
        REQUIRE(caller->has("Retry-After: "));
        REQUIRE(fixture.logged(r.reason));
        for (auto const& e : fixture.endpoints)
            REQUIRE(e->request_count() == 0);
        return;
    }
    auto& endpoint = *fixture.endpoints[*r.goes_on_at];
    REQUIRE(fixture.run_until([&] { return endpoint.request_count() == 1; }));
    REQUIRE(endpoint.connections[0]->has("Last-Event-Id: 2\r\n"));
    endpoint.connections[0]->send(
        stream_head("r2") + chunk(event(3)) + "0\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return caller->has("0\r\n\r\n"); }));
}

// Guards against a first event that reaches the caller before others can learn
// the version of its stream.
TEST_CASE("the first event waits for the record", "[streams][relay]")
{
    bool const whole = GENERATE(true, false); // the answer ends meanwhile
    CAPTURE(whole);
    version_fixture fixture({{"one", "v2"}, {"two", "v1"}});
    fixture.start_gateway();
    fixture.streams.held = true;
    auto const caller = fixture.connect_caller(fixture.request("/stream/x"));
    REQUIRE(fixture.run_until(
        [&] { return fixture.endpoints[first]->request_count() == 1; }));
    auto& endpoint = *fixture.endpoints[first]->connections[0];
    endpoint.send(stream_head() + chunk(event(1)) + (whole ? "0\r\n\r\n" : ""));
    REQUIRE(fixture.run_until([&] { return bool(fixture.streams.pending); }));
    fixture.settle();
    REQUIRE_FALSE(caller->has("id: 1"));
    fixture.streams.pending();
    REQUIRE(fixture.run_until([&] { return caller->has(event(1)); }));
    REQUIRE(fixture.logged("first_event_held"));
    if (!whole)
        endpoint.send(chunk(event(2)) + "0\r\n\r\n");
    REQUIRE(fixture.run_until([&] { return caller->has("0\r\n\r\n"); }));
    REQUIRE(caller->has(event(2)) == !whole);
}

// Guards against refusals of all who take up a stream while the store is away.
TEST_CASE("a stream is taken up without the store", "[streams][relay]")
{
    bool const alike = GENERATE(true, false);
    CAPTURE(alike);
    version_fixture fixture({{"one", "v1"}, {"two", alike ? "v1" : "v2"}});
    fixture.start_gateway();
    REQUIRE(fixture.run_until([&] { return fixture.streams.listings >= 2; }));
    fixture.streams.available = false;
    auto const caller = fixture.connect_caller(fixture.take_up("r1"));
    if (alike)
        REQUIRE(fixture.run_until(
            [&] { return fixture.endpoints[first]->request_count() == 1; }));
    else
        REQUIRE(fixture.run_until([&] { return caller->has("503"); }));
    // The next caller does not wait for a call to a store that just failed.
    auto const calls = fixture.streams.listings;
    fixture.clock.stop();
    auto const next = fixture.connect_caller(fixture.take_up("r3", "r4"));
    if (alike)
        REQUIRE(fixture.take_request("Request-Id: r4"));
    else
        REQUIRE(fixture.run_until([&] { return next->has("503"); }));
    REQUIRE(fixture.streams.listings <= calls + 1);
}

// Guards against calls that grow with the requests while one version serves.
TEST_CASE("one version costs no records", "[streams][relay]")
{
    version_fixture fixture({{"one", "v1"}, {"two", "v1"}});
    fixture.start_gateway();
    auto const rows = fixture.streams.rows.size();
    for (int i = 0; i < 5; ++i)
    {
        auto const id = "q" + std::to_string(i);
        auto const caller =
            fixture.connect_caller(fixture.request("/stream/x", id));
        auto const got = fixture.take_request("Request-Id: " + id);
        REQUIRE(got);
        got->send(stream_head(id) + chunk(event(1)) + "0\r\n\r\n");
        REQUIRE(fixture.run_until([&] { return caller->has("0\r\n\r\n"); }));
    }
    REQUIRE(fixture.streams.rows.size() == rows);
    REQUIRE(fixture.streams.calls == 0); // conditional writes
}
