// How a gateway follows a table with a large row that changes often, over links
// that carry the row slowly.
#include <catch2/catch.hpp>

#include "gateway/announced_revisions.hpp"
#include "gateway/transfer_watch.hpp"
#include "gateway_fixture.hpp"
#include "relay/catch_up_reader.hpp"
#include "table_fleet.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

constexpr std::size_t large = 200u << 10;

/// A large value of which some bytes differ by version.
std::string value_of(int version)
{
    std::string text;
    for (int i = 0; text.size() < large; ++i)
        text += "entry " + std::to_string(i * 7919) + ' ' +
                std::to_string(i == 500 ? version : 0) + ';';
    return text;
}

/// A copy of a table that holds one large row.
struct copy_with_large_row
{
    copy_with_large_row()
    {
        scheduler.advance(std::chrono::hours(1));
        shared.on_listing({}, {});
        shared.on_current({scheduler.now(), 10});
    }

    /// Revision 10 + version.
    void change(int version)
    {
        auto const revision = std::uint64_t(10 + version);
        shared.on_change({"row", value_of(version), revision, false}, {});
        shared.on_current({scheduler.now(), revision});
    }

    row_read_result
    ask(std::uint64_t after, large_row_form form = large_row_form::whole)
    {
        row_read_result got;
        shared.changes(
            after, milliseconds(0),
            [&](row_read_result answer) { got = std::move(answer); }, form);
        return got;
    }

    manual_scheduler scheduler;
    silent_table_listener listener;
    shared_table shared{
        listener, scheduler, milliseconds(2500), milliseconds(4000)};
};

std::size_t bytes_of(row_read_result const& answer)
{
    std::size_t bytes = 0;
    for (auto const& row : answer.rows)
        bytes += row.value.size();
    for (auto const& update : answer.updates)
    {
        for (auto const& step : update.steps)
            bytes += step.size();
    }
    return bytes;
}

/// Answers from a script; holds calls until then.
struct scripted_reader : row_reader, peer_table_reader
{
    void list(std::string const&, std::string const&, handler) override {}

    void changes(
        std::string const&, std::uint64_t, milliseconds, handler done) override
    {
        ++calls;
        pending = std::move(done);
    }

    void changes(
        std::string const& to, std::string const&, std::uint64_t, milliseconds,
        row_reader::handler done) override
    {
        ++calls;
        asked.push_back(to);
        pending = std::move(done);
    }

    std::size_t receiving() const override { return pending ? size : 0; }
    void cancel() override { pending = nullptr; }

    void answer(row_read_result result)
    {
        auto const done = std::exchange(pending, nullptr);
        done(std::move(result));
    }

    row_reader::handler pending;
    std::size_t size = 0; // of the answer on the way
    int calls = 0;
    std::vector<std::string> asked;
};

row_read_result answer_at(std::uint64_t revision)
{
    row_read_result result;
    result.status = row_read_status::ok;
    result.revision = revision;
    result.rows = {{"row", "v", revision, false}};
    return result;
}

} // namespace

// Guards against an answer that grows with each change that its reader missed.
TEST_CASE("an answer holds each row once", "[tables][large]")
{
    copy_with_large_row copy;
    int const missed = GENERATE(1, 5, 60);
    for (int version = 1; version <= missed; ++version)
        copy.change(version);
    auto const got = copy.ask(10);
    REQUIRE(got.rows.size() == 1);
    REQUIRE(got.rows[0].revision == std::uint64_t(10 + missed));
    REQUIRE(got.rows[0].value == value_of(missed));
    REQUIRE(bytes_of(got) < large + 100);
}

// Guards against a follower that loads the row whole for each change of it.
TEST_CASE(
    "a change of a large row is passed on as a difference", "[tables][large]")
{
    copy_with_large_row copy;
    copy.change(1);
    for (int version = 2; version <= 9; ++version)
    {
        copy.change(version);
        copy.ask(std::uint64_t(10 + version - 1), large_row_form::updates);
    }
    std::uint64_t const after = GENERATE(11, 15, 18);
    CAPTURE(after);
    auto const got = copy.ask(after, large_row_form::updates);
    REQUIRE(got.rows.empty());
    REQUIRE(got.updates.size() == 1);
    REQUIRE(got.updates[0].base == after);
    REQUIRE(got.updates[0].revision == 19);
    REQUIRE(bytes_of(got) < 16384);
    auto value = value_of(int(after) - 10);
    for (auto const& step : got.updates[0].steps)
        value = *apply_value_delta(value, step, 8u << 20);
    REQUIRE(value == value_of(9));
    // Gateways of earlier versions do not ask for differences.
    REQUIRE(copy.ask(after).rows.size() == 1);
}

// Guards against a difference to a row that the caller does not have.
TEST_CASE("a caller without the row gets it whole", "[tables][large]")
{
    copy_with_large_row copy;
    copy.change(1);
    copy.change(2);
    auto const got = copy.ask(10, large_row_form::updates);
    REQUIRE(got.updates.empty());
    REQUIRE(got.rows.size() == 1);
    REQUIRE(
        copy.ask(10, large_row_form::only_updates).status ==
        row_read_status::refused);
}

// Guards against followers that turn to the store for the answer that their
// reader is loading already.
TEST_CASE("a copy whose answer is on the way is not stale", "[tables][large]")
{
    copy_with_large_row copy;
    copy.scheduler.advance(milliseconds(2600));
    REQUIRE(copy.ask(10).status == row_read_status::refused);
    copy.shared.set_receiving(true);
    REQUIRE(copy.ask(10).status == row_read_status::ok);
    copy.scheduler.advance(milliseconds(1500));
    REQUIRE(copy.ask(10).status == row_read_status::refused);
}

// Guards against a time limit that a slow link can never keep, and against a
// source that stops or trickles.
TEST_CASE(
    "an answer may take as long as its bytes keep coming", "[tables][large]")
{
    struct row
    {
        char const* name;
        int interval_ms; // between parts
        std::size_t part;
        int parts;
        bool ends_in_time;
    };
    auto const r = GENERATE(
        row{"a megabyte at 400 KB a second", 40, 16384, 64, true},
        row{"eight megabytes at 400 KB a second", 40, 16384, 512, true},
        row{"all at once", 1, 1 << 20, 1, true},
        row{"parts with pauses of 0.9 s", 900, 65536, 16, true},
        row{"a pause of 1.1 s", 1100, 65536, 2, false},
        row{"a byte at a time", 40, 1, 100, false},
        row{"20 KB a second", 50, 1000, 100, false});
    CAPTURE(r.name);
    transfer_watch watch;
    watch.start(at(0), milliseconds(300));
    bool expired = false;
    int now = 200;
    watch.on_bytes(at(now), 0); // the head
    for (int i = 0; i < r.parts; ++i)
    {
        now += r.interval_ms;
        expired = expired || watch.expired(at(now - 1));
        watch.on_bytes(at(now), r.part);
    }
    REQUIRE(expired == !r.ends_in_time);
}

TEST_CASE(
    "an answer that does not begin in time is given up", "[tables][large]")
{
    transfer_watch watch;
    watch.start(at(0), milliseconds(300));
    REQUIRE_FALSE(watch.expired(at(299)));
    REQUIRE(watch.expired(at(300)));
}

// Guards against all gateways of a region loading a large row over its link.
TEST_CASE("two hosts with the fastest links load large rows", "[tables][large]")
{
    struct host
    {
        std::string name;
        int zone;
        std::uint32_t link_mbps;
    };
    std::vector<host> hosts;
    for (int i = 0; i < 30; ++i)
        hosts.push_back(
            {"g" + std::to_string(i), i % 6, i % 5 == 0 ? 200u : 10u});
    bool const told = GENERATE(true, false);
    auto const speed = [told](host const& h) { return told ? h.link_mbps : 0; };
    std::map<int, int> readers; // by region
    for (auto const& self : hosts)
    {
        table_source_selector selector(host_id(self.name), speed(self));
        std::vector<table_peer> peers;
        for (auto const& h : hosts)
        {
            if (h.name != self.name)
                peers.push_back(
                    {host_id(h.name), h.name, h.zone == self.zone,
                     h.zone / 3 == self.zone / 3, speed(h)});
        }
        selector.set_peers(peers);
        auto const sources = selector.sources(at(0), true);
        REQUIRE(sources.size() <= table_source_selector::max_sources);
        REQUIRE(sources[0].is_store() == selector.reads_for_region());
        REQUIRE(std::any_of(
            sources.begin(), sources.end(),
            [](table_source const& s) { return s.is_store(); }));
        if (selector.reads_for_region())
        {
            ++readers[self.zone / 3];
            REQUIRE((!told || self.link_mbps == 200));
        }
        // Where rows are small, the readers of each zone are as before.
        REQUIRE(
            selector.sources(at(0))[0].is_store() == selector.reads_store());
    }
    REQUIRE(readers == std::map<int, int>{{0, 2}, {1, 2}});
}

// Guards against a gateway that keeps loading a large answer over a link that
// others of its region load it over as well.
TEST_CASE("a large answer is left to the region's readers", "[tables][large]")
{
    bool const fastest = GENERATE(true, false);
    std::size_t const limit = shared_row_reader::large_answer_bytes;
    auto const size = GENERATE_COPY(limit, limit - 1);
    CAPTURE(fastest, size);
    manual_scheduler scheduler;
    silent_log log;
    counter_registry counters;
    table_source_selector selector(host_id("g0"), fastest ? 200 : 10);
    selector.set_peers(
        {{host_id("g1"), "g1", false, true, 100},
         {host_id("g2"), "g2", false, true, 100}});
    REQUIRE(selector.reads_store());
    scripted_reader store;
    scripted_reader peers;
    shared_row_reader reader(
        store, peers, milliseconds(700), selector, scheduler, log, counters);
    bool done = false;
    reader.changes(
        "t", 5, milliseconds(700),
        [&](row_read_result const&) { done = true; });
    REQUIRE(store.calls == 1);
    store.size = size;
    reader.poll();
    bool const left = !fastest && size >= limit;
    REQUIRE(peers.calls == (left ? 1 : 0));
    REQUIRE((store.pending == nullptr) == left);
    (left ? peers : store).answer(answer_at(6));
    REQUIRE(done);
}

// Guards against a gateway that waits for a slow source while others know the
// change.
TEST_CASE(
    "an overdue change is asked of a gateway that has it", "[tables][large]")
{
    manual_scheduler scheduler;
    scheduler.advance(std::chrono::hours(1));
    silent_log log;
    table_source_selector selector(host_id("g0"));
    selector.set_peers(
        {{host_id("g1"), "g1", true, true}, {host_id("g2"), "g2", true, true}});
    announced_revisions announced;
    scripted_reader usual;
    scripted_reader peers;
    catch_up_reader reader(usual, peers, selector, announced, scheduler, log);
    std::vector<std::uint64_t> got;
    reader.changes(
        "t", 5, milliseconds(700),
        [&](row_read_result const& answer) { got.push_back(answer.revision); });
    reader.poll();
    REQUIRE(peers.calls == 0);
    announced.record(host_id("g2"), 6, scheduler.now());
    scheduler.advance(milliseconds(299));
    reader.poll();
    REQUIRE(peers.calls == 0);
    scheduler.advance(milliseconds(1));
    reader.poll();
    reader.poll();
    REQUIRE(peers.asked == std::vector<std::string>{"g2"});
    SECTION("it has the difference")
    {
        auto const late = usual.pending;
        peers.answer(answer_at(6));
        REQUIRE(got == std::vector<std::uint64_t>{6});
        late(answer_at(6));
        REQUIRE(got.size() == 1);
    }
    SECTION("it has none, so the usual source is awaited")
    {
        row_read_result refused;
        refused.status = row_read_status::refused;
        peers.answer(refused);
        REQUIRE(got.empty());
        scheduler.advance(milliseconds(999));
        reader.poll();
        REQUIRE(peers.calls == 1);
        announced.record(host_id("g1"), 6, scheduler.now());
        reader.poll();
        REQUIRE(peers.asked.back() == "g1");
        usual.answer(answer_at(7));
        REQUIRE(got == std::vector<std::uint64_t>{7});
        peers.answer(answer_at(6));
        REQUIRE(got.size() == 1);
    }
}

TEST_CASE("a change is overdue only where it is unknown", "[tables][large]")
{
    struct row
    {
        std::uint64_t own;
        int age_ms; // of the announcement of revision 6
        bool overdue;
    };
    auto const r = GENERATE(
        row{5, 299, false}, row{5, 300, true}, row{6, 300, false},
        row{7, 300, false});
    announced_revisions announced;
    announced.record(host_id("g1"), 6, at(0));
    announced.record(host_id("g2"), 6, at(200));
    REQUIRE(announced.overdue(r.own, at(r.age_ms)) == r.overdue);
    REQUIRE(announced.ahead(host_id("g1"), r.own) == (r.own < 6));
    announced.keep_only({host_id("g2")});
    REQUIRE_FALSE(announced.ahead(host_id("g1"), r.own));
}
