// Which version a stream goes on at, for gateways that begin it, take it up,
// are started again, or move a service's base version.
#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include <rapidcheck.h>

#include <dotterellock/error.hpp>

#include "gateway/stream_versions.hpp"
#include "gateway_fixture.hpp"
#include "relay/stream_table_codec.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::seconds;

namespace
{

service_name const llm("llm");

using listed = std::map<std::string, std::size_t>;

/// Gateways that share a table, without delays.
struct version_fleet
{
    explicit version_fleet(int size)
    {
        for (int i = 0; i < size; ++i)
            gateways.emplace_back(host_id("g" + std::to_string(i)));
    }

    void start_again(std::size_t i)
    {
        gateways[i] = stream_versions(host_id("g" + std::to_string(i)));
        observe(versions);
        read(i);
    }

    void observe(listed const& now_listed)
    {
        versions = now_listed;
        for (auto& g : gateways)
            g.observe(llm, versions, at(now));
    }

    void read(std::size_t i)
    {
        gateways[i].on_read(table(), at(now));
        last_read[i] = now;
    }

    /// As each gateway reads the table from time to time.
    void read_if_due()
    {
        for (std::size_t i = 0; i < gateways.size(); ++i)
        {
            if (now - last_read[i] >= 20000)
                read(i);
        }
    }

    void read_all()
    {
        for (std::size_t i = 0; i < gateways.size(); ++i)
            read(i);
    }

    /// Writes what gateway `i` has to write.
    void write(std::size_t i)
    {
        if (gateways[i].unwritten().empty())
            return;
        auto const records = gateways[i].to_write(llm, at(now));
        rows[records.gateway] = records;
        gateways[i].on_written(llm);
    }

    /// Writes the base version as gateway `i` wants it.
    bool write_base(std::size_t i)
    {
        auto next = gateways[i].base_to_write(llm, at(now));
        if (!next)
            return false;
        if (next->revision == (base ? base->revision : 0))
        {
            next->revision = ++revision;
            base = next;
            gateways[i].on_base(*next, at(now));
            return true;
        }
        read(i);
        return false;
    }

    stream_table table() const
    {
        stream_table t;
        if (base)
            t.bases = {*base};
        for (auto const& [host, records] : rows)
            t.records.push_back(records);
        return t;
    }

    /// The version at which gateway `i` goes on with a stream.
    std::optional<std::string> origin(std::size_t i, request_id const& id)
    {
        if (auto const known = gateways[i].recorded(llm, id))
            return known;
        read(i);
        auto const known = gateways[i].recorded(llm, id);
        return known ? known : gateways[i].base(llm);
    }

    std::vector<stream_versions> gateways;
    std::map<host_id, stream_records> rows;
    std::optional<base_version> base;
    std::uint64_t revision = 0;
    listed versions;
    std::map<std::size_t, int> last_read;
    int now = 0;
};

steady_time until(int ms)
{
    return at(ms + 25000);
}

/// Both versions are listed; v1 is the base.
version_fleet mixed_fleet()
{
    version_fleet fleet(3);
    fleet.observe({{"v1", 10}});
    fleet.read_all();
    fleet.write_base(0);
    fleet.read_all();
    fleet.observe({{"v1", 10}, {"v2", 1}});
    return fleet;
}

} // namespace

// Guards against the price of records while one version serves.
TEST_CASE("streams of the base version are not recorded", "[streams]")
{
    auto fleet = mixed_fleet();
    auto& g = fleet.gateways[1];
    REQUIRE(g.base(llm) == "v1");
    g.on_attempt(llm, request_id("r"), "v1", until(0), at(0));
    REQUIRE(g.may_begin(llm, request_id("r"), at(0)));
    REQUIRE(g.unwritten().empty());
    REQUIRE(fleet.origin(2, request_id("r")) == "v1");
}

// Guards against a stream that another gateway joins from two versions.
TEST_CASE("a stream of another version begins with its record", "[streams]")
{
    auto fleet = mixed_fleet();
    auto& g = fleet.gateways[1];
    request_id const r("r");
    g.on_attempt(llm, r, "v2", until(0), at(0));
    REQUIRE_FALSE(g.may_begin(llm, r, at(0)));
    fleet.write(1);
    REQUIRE(g.may_begin(llm, r, at(0)));
    REQUIRE(fleet.origin(2, r) == "v2");
    // All gateways are lost together.
    for (std::size_t i = 0; i < fleet.gateways.size(); ++i)
        fleet.start_again(i);
    REQUIRE(fleet.origin(0, r) == "v2");
    // The gateway that began it does not overwrite what it wrote before.
    fleet.gateways[1].on_attempt(llm, request_id("s"), "v2", until(0), at(0));
    fleet.write(1);
    REQUIRE(fleet.origin(2, r) == "v2");
    REQUIRE(fleet.origin(2, request_id("s")) == "v2");
}

// Guards against a record of the version of an attempt that brought no event.
TEST_CASE("a record follows the attempt that begins the stream", "[streams]")
{
    auto fleet = mixed_fleet();
    auto& g = fleet.gateways[1];
    request_id const r("r");
    bool const written = GENERATE(true, false);
    g.on_attempt(llm, r, "v2", until(0), at(0));
    if (written)
        fleet.write(1);
    g.on_attempt(llm, r, "v1", until(0), at(0));
    REQUIRE_FALSE(g.may_begin(llm, r, at(0)));
    REQUIRE(g.recorded(llm, r) == "v1");
    fleet.write(1);
    REQUIRE(g.may_begin(llm, r, at(0)));
    REQUIRE(fleet.origin(2, r) == "v1");
}

// Guards against a record that was changed while it was written.
TEST_CASE(
    "a record that changes while it is written is not written", "[streams]")
{
    auto fleet = mixed_fleet();
    auto& g = fleet.gateways[1];
    request_id const r("r");
    g.on_attempt(llm, r, "v2", until(0), at(0));
    g.to_write(llm, at(0));
    g.on_attempt(llm, r, "v1", until(0), at(0));
    g.on_written(llm);
    REQUIRE_FALSE(g.may_begin(llm, r, at(0)));
    REQUIRE(g.unwritten().size() == 1);
}

// Guards against first events that wait although nobody would join the stream.
TEST_CASE(
    "a first event waits only where another version is assumed", "[streams]")
{
    struct row
    {
        char const* name;
        std::optional<std::string> base; // empty text: it is about to move
        listed versions;
        int longest_wait_ms; // while the store does not answer; -1: no end
    };
    auto const r = GENERATE(
        row{"the base version serves too", "v1", {{"v1", 1}, {"v2", 9}}, -1},
        row{"the base version has left", "v1", {{"v2", 9}}, 1000},
        row{"the base moves", "", {{"v1", 1}, {"v2", 9}}, 0},
        row{"no base is known, one version", std::nullopt, {{"v2", 9}}, 0},
        row{"no base is known, two versions",
            std::nullopt,
            {{"v1", 1}, {"v2", 9}},
            0});
    CAPTURE(r.name);
    stream_versions g(host_id("g0"));
    stream_table table;
    if (r.base)
        table.bases = {{llm, *r.base, 1}};
    g.observe(llm, r.versions, at(0));
    g.on_read(table, at(0));
    request_id const id("r");
    g.on_attempt(llm, id, "v2", until(0), at(0));
    bool const waits = r.longest_wait_ms != 0;
    REQUIRE(g.may_begin(llm, id, at(0)) == !waits);
    REQUIRE(g.may_begin(llm, id, at(999)) == !waits);
    REQUIRE(g.may_begin(llm, id, at(1000)) == (r.longest_wait_ms >= 0));
}

// Guards against a base that moves while streams of the old one can go on, or
// gateways still assume it.
TEST_CASE("the base moves in two steps", "[streams]")
{
    auto fleet = mixed_fleet();
    REQUIRE_FALSE(fleet.write_base(0));
    fleet.observe({{"v2", 11}});
    fleet.now = 59999;
    REQUIRE_FALSE(fleet.write_base(0));
    SECTION("it stays if the old version returns")
    {
        fleet.observe({{"v1", 1}, {"v2", 11}});
        fleet.observe({{"v2", 11}});
        fleet.now = 119998;
        REQUIRE_FALSE(fleet.write_base(0));
    }
    SECTION("it moves after the pause")
    {
        fleet.now = 60000;
        REQUIRE(fleet.write_base(0));
        REQUIRE(fleet.base->version.empty());
        REQUIRE_FALSE(fleet.origin(1, request_id("r")));
        fleet.now = 60000 + 44999;
        REQUIRE_FALSE(fleet.write_base(0));
        fleet.now = 60000 + 45000;
        REQUIRE(fleet.write_base(0));
        REQUIRE(fleet.base->version == "v2");
        REQUIRE(fleet.origin(1, request_id("r")) == "v2");
    }
    REQUIRE(
        stream_versions::base_pause > 2 * stream_versions::reading_interval);
}

TEST_CASE("the first base is the version of most endpoints", "[streams]")
{
    stream_versions g(host_id("g0"));
    g.observe(llm, {{"v1", 2}, {"v2", 3}}, at(0));
    REQUIRE_FALSE(g.base_to_write(llm, at(0)));
    g.on_read({}, at(0));
    auto const base = g.base_to_write(llm, at(0));
    REQUIRE(base->version == "v2");
    REQUIRE(base->revision == 0);
    g.observe(llm, {}, at(0));
    REQUIRE_FALSE(g.base_to_write(llm, at(0)));
}

// Guards against refusals of all who take up a stream while the store is away,
// and against a guess where two versions serve.
TEST_CASE("without the table the only version is assumed", "[streams]")
{
    struct row
    {
        char const* name;
        listed before; // when the table was read
        listed after;  // and since
        bool other_record;
        bool assumed;
    };
    auto const r = GENERATE(
        row{"one version", {{"v1", 9}}, {{"v1", 9}}, false, true},
        row{"a stream of another one", {{"v1", 9}}, {{"v1", 9}}, true, false},
        row{"another one came",
            {{"v1", 9}},
            {{"v1", 9}, {"v2", 1}},
            false,
            false},
        row{"another one left",
            {{"v1", 9}, {"v2", 1}},
            {{"v1", 9}},
            false,
            false},
        row{"another one alone", {{"v2", 9}}, {{"v2", 9}}, false, false});
    CAPTURE(r.name);
    stream_versions g(host_id("g0"));
    stream_table table;
    table.bases = {{llm, "v1", 1}};
    if (r.other_record)
        table.records = {{llm, host_id("g1"), {{"v2", {7}}}}};
    g.observe(llm, r.before, at(0));
    g.on_read(table, at(0));
    g.observe(llm, r.after, at(1));
    REQUIRE(g.base_without_reading(llm).has_value() == r.assumed);
}

// Guards against records that the store lost when it was restored.
TEST_CASE("records are written again to a restored store", "[streams]")
{
    auto fleet = mixed_fleet();
    auto& g = fleet.gateways[1];
    g.on_attempt(llm, request_id("r"), "v2", until(0), at(0));
    fleet.write(1);
    fleet.rows.clear();
    g.on_store_restored();
    fleet.write(1);
    REQUIRE(fleet.origin(2, request_id("r")) == "v2");
}

// Guards against rows that grow for good.
TEST_CASE("records end with the time of their callers", "[streams]")
{
    auto fleet = mixed_fleet();
    auto& g = fleet.gateways[1];
    g.on_attempt(llm, request_id("r"), "v2", at(25000), at(0));
    fleet.write(1);
    g.on_attempt(llm, request_id("s"), "v2", at(90000), at(0));
    REQUIRE(g.to_write(llm, at(29999)).streams["v2"].size() == 2);
    REQUIRE(g.to_write(llm, at(30000)).streams["v2"].size() == 1);
}

// Guards against any order of events that joins two versions: versions come and
// go, gateways are killed one by one and together, and callers take streams up.
TEST_CASE("no schedule joins a stream from two versions", "[streams]")
{
    auto const seed = GENERATE(range(1, 200));
    CAPTURE(seed);
    std::mt19937 random{unsigned(seed)};
    auto const below = [&random](int n) { return int(random() % unsigned(n)); };
    version_fleet fleet(4);
    fleet.observe({{"v0", 10}});
    fleet.read_all();
    fleet.write_base(0);
    fleet.read_all();
    std::map<std::string, std::string> begun; // request to version
    int taken_up = 0;
    int refused = 0;
    for (int step = 0; step < 300; ++step)
    {
        fleet.now += below(3000);
        fleet.read_if_due();
        auto const i = std::size_t(below(4));
        auto& g = fleet.gateways[i];
        auto version = fleet.versions.begin();
        std::advance(version, below(int(fleet.versions.size())));
        switch (below(12))
        {
        case 0:
            fleet.observe({{"v" + std::to_string(below(4)), 9}});
            break;
        case 1:
            fleet.observe(
                {{"v" + std::to_string(below(4)), 9},
                 {"v" + std::to_string(below(4)), 3}});
            break;
        case 2:
            fleet.start_again(i);
            break;
        case 3:
            for (std::size_t all = 0; all < 4; ++all)
                fleet.start_again(all);
            break;
        case 4:
            fleet.read_all();
            break;
        case 5:
            fleet.write_base(i);
            break;
        case 6:
        case 7:
        case 8:
        {
            std::string const id = "r" + std::to_string(step);
            auto const attempt = [&](std::string const& at_version)
            {
                g.on_attempt(
                    llm, request_id(id), at_version, until(fleet.now),
                    at(fleet.now));
            };
            attempt(version->first);
            if (below(3) == 0)
            {
                // No event comes, and the next endpoint is tried.
                if (below(2) == 0)
                    fleet.write(i);
                attempt(fleet.versions.rbegin()->first);
            }
            if (below(2) == 0)
                fleet.write(i);
            if (g.may_begin(llm, request_id(id), at(fleet.now)))
            {
                auto const recorded = g.recorded(llm, request_id(id));
                begun[id] = recorded ? *recorded : *g.base(llm);
            }
            break;
        }
        default:
            if (begun.empty())
                break;
            auto stream = begun.begin();
            std::advance(stream, below(int(begun.size())));
            auto const origin = fleet.origin(i, request_id(stream->first));
            ++taken_up;
            bool const served = origin && fleet.versions.count(*origin) != 0;
            refused += served ? 0 : 1;
            if (served)
                REQUIRE(*origin == stream->second);
        }
        // Callers give up.
        for (auto at = begun.begin(); at != begun.end();)
        {
            bool const old = std::stoi(at->first.substr(1)) < step - 10;
            at = old ? begun.erase(at) : std::next(at);
        }
    }
    CAPTURE(taken_up, refused);
    REQUIRE(taken_up > 0);
}

// Encoding -------------------------------------------------------------------

TEST_CASE("stream rows round trip through their encoding", "[streams]")
{
    std::string const name =
        GENERATE(as<std::string>{}, "llm", "a/b", std::string(500, 's'));
    base_version const base{service_name(name), "v1.2", 7};
    stream_records const records{
        service_name(name),
        host_id("front-1"),
        {{"v1.2", {1, 1ull << 63}}, {"", {3}}}};
    stream_table table;
    decode_stream_row(
        {base_version_key(base.service), encode_base_version(base), 7, false},
        table);
    auto const key = stream_records_key(records.service, records.gateway);
    decode_stream_row({key, encode_stream_records(records), 8, false}, table);
    REQUIRE(key.size() <= 200);
    REQUIRE(table.bases.size() == 1);
    REQUIRE(table.bases[0].service == base.service);
    REQUIRE(table.bases[0].version == "v1.2");
    REQUIRE(table.bases[0].revision == 7);
    REQUIRE(table.records.size() == 1);
    REQUIRE(table.records[0].gateway == records.gateway);
    REQUIRE(table.records[0].streams == records.streams);
}

TEST_CASE(
    "decoding damaged stream rows throws only dotterellock::error",
    "[streams][fuzz]")
{
    REQUIRE(rc::check(
        "damaged stream rows",
        [](std::string const& junk, std::size_t at, bool is_base)
        {
            service_name const service("llm");
            auto bytes = is_base ? encode_base_version({service, "v1", 1})
                                 : encode_stream_records(
                                       {service, host_id("g"), {{"v", {1}}}});
            at %= bytes.size();
            bytes.replace(at, std::min(junk.size(), bytes.size() - at), junk);
            auto const key = is_base
                                 ? base_version_key(service)
                                 : stream_records_key(service, host_id("g"));
            for (auto const& text : {bytes, junk})
            {
                stream_table table;
                try
                {
                    decode_stream_row({key, text, 1, false}, table);
                }
                catch (error const&)
                {
                    // the only exception type allowed
                }
            }
        }));
}
