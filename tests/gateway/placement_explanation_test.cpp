// Index: agreement with the selection; agreement with the queue; outcomes; size
// of the answer; rate limit.
#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "gateway/placement_explanation.hpp"
#include "gateway/request_rate_limit.hpp"
#include "gateway_fixture.hpp"
#include "manual_scheduler.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::seconds;

namespace
{

std::string const zones[] = {"a1", "a2", "b1"};

/// Endpoints in random states: busy, paused, suspended, refusing, leaving,
/// gone.
struct random_fleet
{
    explicit random_fleet(unsigned seed) : random(seed)
    {
        auto const count = 1 + draw(12);
        for (std::size_t i = 0; i < count; ++i)
            add("e" + std::to_string(i));
        if (draw(4) == 0)
            fail_zone();
        if (draw(6) == 0)
            occupy_all();
    }

    std::size_t draw(std::size_t limit) { return random() % limit; }

    void add(std::string const& id)
    {
        table.put(endpoint(id, zones[draw(3)]), at(0));
        auto const e = table.find(endpoint_id(id));
        switch (draw(10))
        {
        case 0:
            e->pause(milliseconds(draw(2000)), at(0));
            break;
        case 1:
            e->record_outcome(attempt_outcome::lost, at(0));
            break;
        case 2:
            e->set_leaving(at(int(draw(3000))));
            break;
        case 3:
            e->load.requests = std::uint32_t(draw(10));
            e->load.memory_tokens = draw(100000);
            break;
        case 4:
            e->load.requests = 1;
            e->load.prefill_tokens = 8000;
            break;
        case 5:
            report(*e);
            break;
        case 6:
            share(id);
            break;
        case 7:
            e->load.requests = std::uint32_t(draw(4));
            e->record_outcome(attempt_outcome::refused, at(int(draw(1000))));
            break;
        default:
            break;
        }
    }

    void report(endpoint_state& e)
    {
        endpoint_report r;
        r.running = std::uint32_t(draw(10));
        r.waiting = std::uint32_t(draw(2));
        r.used_tokens = draw(100000);
        r.total_tokens = 88000;
        e.record_report(r, at(int(draw(900))));
    }

    void share(std::string const& id)
    {
        load_share s;
        s.gateway = host_id("g" + id);
        s.incarnation = s.sequence = 1;
        s.loads = {
            {endpoint_id(id),
             {std::uint32_t(draw(9)), draw(90000), draw(2) * 8000}}};
        peers.put(s, at(500));
    }

    /// Each endpoint processes a prompt.
    void occupy_all()
    {
        for (auto const& e : table.of_service(service_name("llm")))
            e->load.prefill_tokens = 4000 + draw(8000);
    }

    void fail_zone()
    {
        for (auto const* id : {"x", "y", "z"})
            detector.record_failure(endpoint(id, "a1"), at(800));
    }

    std::mt19937 random;
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector detector;
    peer_loads peers;
    endpoint_selector selection{table, detector, peers, test_location()};
};

endpoint_requirements random_request(random_fleet& fleet)
{
    auto work = prompt(std::to_string(fleet.draw(1000)));
    work.prompt_tokens = fleet.draw(20000);
    work.connection_limit = std::uint32_t(fleet.draw(2) * 4);
    work.resuming = fleet.draw(4) == 0;
    if (fleet.draw(3) == 0)
        work.cached_endpoint = endpoint_id("e" + std::to_string(fleet.draw(9)));
    if (fleet.draw(3) == 0)
        work.excluded.insert("e" + std::to_string(fleet.draw(9)));
    work.capacity_short = fleet.draw(2) == 0;
    if (fleet.draw(2) == 0)
        work.unseen_choices = double(fleet.draw(20));
    return work;
}

} // namespace

// Agreement with the selection ----------------------------------------------

// Guards against an explanation that names another reason than the selection
// has: an endpoint is shown as excluded and chosen, or as usable and never
// chosen.
TEST_CASE("exclusions agree with the selection", "[placement]")
{
    auto const spec = engine();
    auto const now = at(1000);
    std::size_t chosen_count = 0;
    std::size_t none_count = 0;
    std::size_t lost_draw_count = 0;
    std::size_t full_count = 0;
    std::size_t backlog_count = 0; // usable in spite of another prefill
    for (unsigned seed = 1; seed <= 3000; ++seed)
    {
        INFO("seed " << seed);
        random_fleet fleet(seed);
        auto const* const engine = fleet.draw(3) == 0 ? nullptr : &spec;
        auto const work = random_request(fleet);
        std::set<std::string> usable;
        for (auto const& e : fleet.selection.examine(work, engine, now))
        {
            full_count += e.excluded_by == endpoint_exclusion::full ? 1 : 0;
            if (e.excluded_by != endpoint_exclusion::none)
                continue;
            usable.insert(e.endpoint->record().id.value());
            bool const behind_prefill =
                engine != nullptr && !work.resuming &&
                e.endpoint->record().id != work.cached_endpoint &&
                e.load.prefill_tokens > 0;
            backlog_count += behind_prefill ? 1 : 0;
        }
        auto const choice = fleet.selection.select(work, engine, now);
        auto const chosen = choice.endpoint;
        REQUIRE(fleet.selection.choose(work, engine, now) == chosen);
        REQUIRE(
            (chosen == nullptr) == (usable.empty() || choice.waits_for_room));
        if (choice.waits_for_room)
        {
            REQUIRE(!usable.empty());
            REQUIRE(engine != nullptr);
            REQUIRE(work.unseen_choices > 0);
            ++lost_draw_count;
        }
        ++(chosen ? chosen_count : none_count);
        if (chosen)
            REQUIRE(usable.count(chosen->record().id.value()) == 1);
        for (auto const& id : usable)
        {
            auto alone = work;
            alone.excluded.insert(usable.begin(), usable.end());
            alone.excluded.erase(id);
            auto const drawn = fleet.selection.select(alone, engine, now);
            REQUIRE((drawn.endpoint == nullptr) == drawn.waits_for_room);
            alone.unseen_choices = 0; // without a draw
            auto const only = fleet.selection.choose(alone, engine, now);
            REQUIRE(only != nullptr);
            REQUIRE(only->record().id.value() == id);
        }
    }
    REQUIRE(chosen_count > 1000);
    REQUIRE(none_count > 100);
    REQUIRE(lost_draw_count > 100);
    REQUIRE(full_count > 100);
    REQUIRE(backlog_count > 30);
}

// Agreement with the queue --------------------------------------------------

// Guards against a predicted wait or a refusal that the queue itself would not
// give, also when it is full or was empty for a while, or the request is too
// late already.
TEST_CASE("a forecast agrees with the queue", "[placement]")
{
    struct : policy_source
    {
        policy_settings settings;
        policy_settings const& current() const override { return settings; }
    } policy;
    std::map<refusal_reason, std::size_t> refused_count;
    std::size_t predicted_count = 0;
    for (unsigned seed = 1; seed <= 300; ++seed)
    {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        seeded_random retry_times(seed);
        policy.settings.queue.max_reservations = seed % 2 == 0 ? 3 : 8;
        request_queue queue(policy, retry_times);
        int ms = 0;
        for (queue_entry_id id = 1; id <= 60; ++id)
        {
            ms += int(random() % 400);
            queued_request entry;
            entry.id = id;
            entry.organisation =
                organisation_id("o" + std::to_string(random() % 3));
            entry.rank = random() % 3;
            entry.tokens = 1 + random() % 9000;
            entry.received = at(ms - int(random() % 500));
            entry.target_start = at(ms + int(random() % 2000));
            entry.start_deadline = at(ms - 200 + int(random() % 6000));
            entry.deadline = entry.start_deadline + seconds(random() % 20);
            entry.begun = random() % 10 == 0;
            auto const size = queue.size();
            auto const forecast = queue.forecast(entry, at(ms));
            REQUIRE(forecast.waiting == size);
            auto const refusal = queue.enqueue(entry, at(ms));
            std::optional<refusal_reason> refused;
            if (refusal && refusal->id == id)
            {
                refused = refusal->reason;
                REQUIRE(refusal->predicted_wait == forecast.wait);
                REQUIRE(
                    refusal->retry_after >=
                    std::chrono::duration_cast<milliseconds>(
                        forecast.retry_after.first));
                REQUIRE(refusal->retry_after <= forecast.retry_after.last);
            }
            else if (!refusal && entry.target_start > at(ms))
            {
                REQUIRE(queue.predicted_wait(entry, at(ms)) == forecast.wait);
                predicted_count += forecast.wait ? 1 : 0;
            }
            for (auto const& expired : queue.remove_expired(at(ms)))
            {
                if (expired.id == id)
                    refused = expired.reason;
            }
            REQUIRE(forecast.refused == refused);
            if (refused)
                ++refused_count[*refused];
            if (random() % 2 == 0)
                queue.pop(at(ms));
            if (random() % 20 == 0)
                while (queue.pop(at(ms)))
                    continue;
        }
    }
    CAPTURE(
        refused_count[refusal_reason::late_start],
        refused_count[refusal_reason::not_started],
        refused_count[refusal_reason::queue_full], predicted_count);
    for (auto const reason :
         {refusal_reason::late_start, refusal_reason::queue_full})
        REQUIRE(refused_count[reason] > 100);
    // What is too late on arrival is refused then, not once it waits.
    REQUIRE(refused_count[refusal_reason::not_started] == 0);
    REQUIRE(predicted_count > 500);
}

// Outcomes ------------------------------------------------------------------

namespace
{

gateway_configuration test_configuration()
{
    gateway_configuration c;
    c.version = 7;
    gateway_route llm;
    llm.name = "llm";
    llm.host = "h";
    llm.prefix = "/llm/";
    llm.targets = {{service_name("llm"), 9}, {service_name("llm-new"), 1}};
    llm.event_stream = llm.resumable = llm.engine_prompt = true;
    llm.rank = 1;
    llm.timeout = seconds(20);
    llm.first_byte_target = seconds(9);
    gateway_route calls;
    calls.name = "calls";
    calls.host = "h";
    calls.prefix = "/calls/";
    calls.targets = {{service_name("app"), 1}};
    calls.idempotent = true;
    calls.anonymous = true;
    gateway_route lost = calls;
    lost.name = "lost";
    lost.prefix = "/lost/";
    lost.targets = {{service_name("nowhere"), 1}};
    c.routes = {llm, calls, lost, lost};
    c.routes.back().prefix = "/lost-too/";
    service_spec llm_service;
    llm_service.name = service_name("llm");
    llm_service.engine = engine();
    service_spec app;
    app.name = service_name("app");
    c.services = {llm_service, app};
    c.organisations = std::vector<organisation_spec>{
        {organisation_id("acme"), {"SECRET"}, 0u},
        {organisation_id("keyless"), {}, std::nullopt}};
    return c;
}

struct explained_gateway
{
    explained_gateway()
    {
        for (auto const* id : {"one", "two"})
            table.put(endpoint(id, "a1"), at(0));
        table.put(endpoint("three", "b1"), at(0));
        table.put(endpoint("call", "a1", "app"), at(0));
        lease.renew(at(900));
        state.endpoints_listed = true;
        state.has_endpoints = [this](service_name const& s)
        { return !table.of_service(s).empty(); };
        state.service = [this](service_name const&) { return view; };
        state.cache = [this](auto const&, auto const&) { return cache; };
        state.quarantined_for = [this](std::vector<std::string> const& parts)
        {
            bool const bad = parts.size() > 1 && parts.front() == "bad";
            return bad ? std::optional(milliseconds(4000)) : std::nullopt;
        };
        query.route = "llm";
        query.organisation = organisation_id("acme");
        query.prompt_tokens = 8000;
        query.output_tokens = 650;
        query.last_prompt_part = "p";
        view.retry_available = true;
    }

    placement_explanation explain(int ms = 1000) const
    {
        return explain_placement(query, state, at(ms));
    }

    endpoint_ptr find(char const* id) const
    {
        return table.find(endpoint_id(id));
    }

    void occupy_all()
    {
        for (auto const* id : {"one", "two", "three"})
            find(id)->load = {1, 8650, 8000};
    }

    explained_candidate candidate(char const* id) const
    {
        auto const e = explain();
        auto const found = std::find_if(
            e.candidates.begin(), e.candidates.end(),
            [id](explained_candidate const& c)
            { return c.endpoint.value() == id; });
        REQUIRE(found != e.candidates.end());
        return *found;
    }

    routing_table const configuration{test_configuration()};
    endpoint_table table{milliseconds(2000)};
    zone_failure_detector zones;
    peer_loads peers;
    endpoint_selector selection{table, zones, peers, test_location()};
    freshness_lease lease{milliseconds(5000)};
    service_view view;
    cache_view cache;
    placement_query query;
    placement_state state{
        &configuration, lease, selection, true, {}, {}, {}, {}, {}};
};

} // namespace

// Guards against an explanation that differs from the answer that the request
// itself would get.
TEST_CASE("requests that would be refused", "[placement]")
{
    struct row
    {
        char const* why;
        std::function<void(explained_gateway&)> change;
        unsigned status;
        char const* reason;
    };
    auto const r = GENERATE(values<row>({
        {"no configuration", [](auto& g) { g.state.table = nullptr; }, 503,
         "no_configuration"},
        {"no route",
         [](auto& g)
         {
             g.query.route.clear();
             g.query.host = "h";
             g.query.path = "/other/x";
         },
         404, "no_route"},
        {"no route by an old copy",
         [](auto& g)
         {
             g.query.route.clear();
             g.query.host = "h";
             g.query.path = "/other/x";
             g.lease = freshness_lease(milliseconds(9000));
             g.lease.renew(at(-2300));
         },
         503, "stale_configuration"},
        {"unknown organisation",
         [](auto& g) { g.query.organisation = organisation_id("who"); }, 401,
         "unknown_key"},
        {"organisation without a key",
         [](auto& g) { g.query.organisation = organisation_id("keyless"); },
         401, "unknown_key"},
        {"lease over",
         [](auto& g) { g.lease = freshness_lease(milliseconds(300)); }, 503,
         "stale_configuration"},
        {"unknown service",
         [](auto& g)
         {
             g.query.route.clear();
             g.query.host = "h";
             g.query.path = "/lost/x";
         },
         503, "unknown_service"},
        {"stopping",
         [](auto& g)
         {
             g.state.accepts_while_stopping = [](auto const&, auto, auto)
             { return false; };
         },
         503, "shutting_down"},
        {"quarantined", [](auto& g) { g.query.shared_parts = {"bad"}; }, 503,
         "quarantined_prompt"},
        {"all paused for too long",
         [](auto& g)
         {
             for (auto const* id : {"one", "two", "three"})
                 g.find(id)->pause(seconds(30), at(1000));
         },
         503, "endpoints_paused"},
        {"too late already",
         [](auto& g)
         {
             g.occupy_all();
             g.query.deadline = milliseconds(100);
         },
         503, "late_start"},
    }));
    INFO(r.why);
    explained_gateway g;
    REQUIRE(g.explain().outcome == placement_outcome::placed);
    r.change(g);
    auto const e = g.explain();
    REQUIRE(e.outcome == placement_outcome::refused);
    REQUIRE(e.refusal.has_value());
    REQUIRE(e.refusal->status == r.status);
    REQUIRE(e.refusal->reason == r.reason);
    REQUIRE(e.choices.empty());
}

// Guards against a wrong Retry-After in the explanation.
TEST_CASE("refusals tell when to come back", "[placement]")
{
    explained_gateway g;
    g.query.shared_parts = {"bad"};
    REQUIRE(g.explain().refusal->retry_after == milliseconds(4000));
    g.query.shared_parts.clear();
    for (auto const* id : {"one", "two", "three"})
        g.find(id)->pause(seconds(30), at(1000));
    REQUIRE(g.explain().refusal->retry_after == milliseconds(30000));
    REQUIRE(!g.explain().refusal->max_retry_after);

    explained_gateway late;
    late.occupy_all();
    late.query.deadline = milliseconds(3000); // less than the answer takes
    auto const refusal = *late.explain().refusal;
    // From the minimum to 0.2 s more, by which its time is too short.
    REQUIRE(refusal.retry_after == milliseconds(300));
    REQUIRE(refusal.max_retry_after == milliseconds(500));
}

// Guards against wrong names, ages and reasons in the list of candidates.
TEST_CASE("candidates show load, age and what excludes them", "[placement]")
{
    explained_gateway g;
    endpoint_report report;
    report.running = 3;
    report.waiting = 1;
    report.used_tokens = 30000;
    report.total_tokens = 88000;
    g.find("one")->record_report(report, at(700));
    load_share share;
    share.gateway = host_id("g2");
    share.incarnation = share.sequence = 1;
    share.loads = {{endpoint_id("two"), {2, 17300, 8000}}};
    g.peers.put(share, at(850));

    auto const one = g.candidate("one");
    REQUIRE(one.excluded_by == endpoint_exclusion::waiting);
    REQUIRE(one.report_age == milliseconds(300));
    REQUIRE(!one.peer_share_age);
    REQUIRE(one.load.requests == 3);
    REQUIRE(one.load.memory_tokens == 30000);
    REQUIRE(one.own_load.requests == 0);
    auto const two = g.candidate("two");
    REQUIRE(two.excluded_by == endpoint_exclusion::prefill);
    REQUIRE(two.peer_share_age == milliseconds(150));
    REQUIRE(!two.report_age);
    REQUIRE(two.load.requests == 2);
    auto const e = g.explain();
    REQUIRE(e.choices == std::vector<endpoint_id>{endpoint_id("three")});
    REQUIRE(e.candidates.front().endpoint.value() == "three");
    REQUIRE(e.candidates.front().distance == topology::distance::other_region);
    REQUIRE(e.expected_start == duration::zero());
    REQUIRE(e.rank == 0); // of the organisation, not of the route
    REQUIRE(e.counts.at(endpoint_exclusion::none) == 1);

    g.find("three")->pause(milliseconds(700), at(1000));
    auto const three = g.candidate("three");
    REQUIRE(three.excluded_by == endpoint_exclusion::paused);
    REQUIRE(three.excluded_for == milliseconds(700));
}

// Guards against an expected start that ignores the queue or the pauses.
TEST_CASE("a request without room is queued", "[placement]")
{
    struct : policy_source
    {
        policy_settings settings;
        policy_settings const& current() const override { return settings; }
    } policy;
    for (auto& rank : policy.settings.ranks)
        rank.floor_share = 0; // each start is one of the most urgent rank
    seeded_random random(1);
    request_queue queue(policy, random);
    explained_gateway g;
    g.occupy_all();
    SECTION("nothing waits")
    {
        auto const e = g.explain();
        REQUIRE(e.outcome == placement_outcome::queued);
        REQUIRE(!e.expected_start);
        REQUIRE(e.waits_for == wait_cause::endpoint);
        REQUIRE(e.queue.waiting == 0);
        REQUIRE(e.latest_start > milliseconds(10000));
    }
    SECTION("others wait")
    {
        for (queue_entry_id id = 1; id <= 10; ++id)
        {
            queued_request entry;
            entry.id = id;
            entry.rank = id > 8 ? 2 : 0;
            entry.target_start = entry.start_deadline = at(60000);
            queue.enqueue(entry, at(0));
        }
        for (int ms : {200, 400, 500, 600, 800})
            queue.pop(at(ms));
        g.view.queue = &queue;
        auto const e = g.explain();
        REQUIRE(e.outcome == placement_outcome::queued);
        REQUIRE(e.queue.waiting == 5);
        REQUIRE(e.waits_for == wait_cause::others);
        REQUIRE(e.queue.ahead == 3);
        // 3 tokens ahead at (5 + 1) tokens in a second
        REQUIRE(e.expected_start == milliseconds(500));
    }
    SECTION("others wait, and the request would start too late")
    {
        for (queue_entry_id id = 1; id <= 10; ++id)
        {
            queued_request entry;
            entry.id = id;
            entry.tokens = id > 5 ? 100 : 1;
            entry.target_start = entry.start_deadline = at(60000);
            queue.enqueue(entry, at(0));
        }
        for (int ms : {200, 400, 500, 600, 800})
            queue.pop(at(ms));
        g.view.queue = &queue;
        auto const e = g.explain();
        REQUIRE(e.outcome == placement_outcome::refused);
        REQUIRE(e.refusal->reason == "late_start");
        REQUIRE(e.waits_for == wait_cause::none);
        REQUIRE(e.refusal->retry_after <= e.refusal->max_retry_after);
        REQUIRE(!e.expected_start);
    }
    SECTION("all are paused")
    {
        for (auto const* id : {"one", "two", "three"})
            g.find(id)->pause(milliseconds(900), at(1000));
        auto const e = g.explain();
        REQUIRE(e.outcome == placement_outcome::queued);
        REQUIRE(e.expected_start == milliseconds(900));
    }
}

// Guards against a request shown as placed that would wait behind others, and a
// cached prompt shown as waiting, which need not wait.
TEST_CASE("a request is queued behind others", "[placement]")
{
    fixed_policy const policy;
    seeded_random random(1);
    request_queue queue(policy, random);
    queued_request entry;
    entry.id = 1;
    entry.target_start = entry.start_deadline = at(60000);
    queue.enqueue(entry, at(0));
    explained_gateway g;
    g.view.queue = &queue;
    auto const e = g.explain();
    REQUIRE(e.outcome == placement_outcome::queued);
    REQUIRE(e.waits_for == wait_cause::others);
    REQUIRE(e.choices.empty());
    REQUIRE(e.counts.at(endpoint_exclusion::none) == 3);
    g.cache = {cache_search::known, endpoint_id("three")};
    auto const cached = g.explain();
    REQUIRE(cached.outcome == placement_outcome::placed);
    REQUIRE(cached.waits_for == wait_cause::none);
    REQUIRE(cached.choices.front().value() == "three");
}

// Guards against an endpoint shown as excluded by a prefill that a request may
// follow while others wait.
TEST_CASE("a prompt may follow another one while requests wait", "[placement]")
{
    fixed_policy const policy;
    seeded_random random(1);
    request_queue queue(policy, random);
    queued_request entry;
    entry.id = 1;
    entry.target_start = entry.start_deadline = at(60000);
    queue.enqueue(entry, at(0));
    explained_gateway g;
    g.occupy_all();
    REQUIRE(g.explain().counts.at(endpoint_exclusion::prefill) == 3);
    g.view.queue = &queue;
    REQUIRE(g.explain().counts.at(endpoint_exclusion::none) == 3);
    g.query.prompt_tokens = 7999; // fewer than process there
    REQUIRE(g.explain().counts.at(endpoint_exclusion::prefill) == 3);
    g.query.prompt_tokens = 8000;
    g.find("two")->load = {}; // then the others are not needed
    REQUIRE(g.explain().counts.at(endpoint_exclusion::prefill) == 2);
}

// Guards against a request shown as placed that loses the draw for scarce room,
// and against another reason for its wait.
TEST_CASE("a request that loses the draw waits for room", "[placement]")
{
    explained_gateway g;
    for (auto const* id : {"two", "three"})
        g.find(id)->load = {1, 8650, 8000};
    g.view.unseen_choices = 3;
    std::size_t placed_count = 0;
    std::string lost;
    for (int i = 0; i < 200; ++i)
    {
        g.query.last_prompt_part = "p" + std::to_string(i);
        auto const e = g.explain();
        REQUIRE(e.counts.at(endpoint_exclusion::none) == 1);
        if (e.outcome == placement_outcome::placed)
        {
            ++placed_count;
            REQUIRE(e.waits_for == wait_cause::none);
            REQUIRE(e.choices.front().value() == "one");
            continue;
        }
        REQUIRE(e.outcome == placement_outcome::queued);
        REQUIRE(e.waits_for == wait_cause::room);
        REQUIRE(e.choices.empty());
        lost = g.query.last_prompt_part;
    }
    // One of four gets the room.
    REQUIRE(placed_count >= 30);
    REQUIRE(placed_count <= 70);
    // It is drawn anew, so it is placed before long.
    g.query.last_prompt_part = lost;
    bool placed = false;
    for (int ms = 1000; ms < 5000; ms += 100)
        placed = placed || g.explain(ms).outcome == placement_outcome::placed;
    REQUIRE(placed);
    g.view.unseen_choices = 0;
    REQUIRE(g.explain().outcome == placement_outcome::placed);
}

// Guards against a call shown as placed at an endpoint that just refused one.
TEST_CASE("a call waits while all endpoints are full", "[placement]")
{
    explained_gateway g;
    g.query = {};
    g.query.route = "calls";
    REQUIRE(g.explain().outcome == placement_outcome::placed);
    g.find("call")->record_outcome(attempt_outcome::refused, at(995));
    auto const e = g.explain();
    REQUIRE(e.outcome == placement_outcome::queued);
    REQUIRE(e.waits_for == wait_cause::endpoint);
    REQUIRE(e.candidates.front().excluded_by == endpoint_exclusion::full);
    REQUIRE(e.counts.at(endpoint_exclusion::full) == 1);
}

// Guards against a cached prompt, a plain service or another target that is
// explained as a prompt of the heaviest target.
TEST_CASE("caches, plain services and targets are explained", "[placement]")
{
    explained_gateway g;
    g.find("three")->load = {1, 8650, 8000};
    g.cache = {cache_search::known, endpoint_id("three")};
    REQUIRE(g.explain().choices.front().value() == "three");
    g.cache = {};

    g.query.service = "llm-new";
    REQUIRE(!check_query(g.query, g.state));
    auto const split = g.explain();
    REQUIRE(split.service.value() == "llm-new");
    REQUIRE(split.targets.size() == 2);
    REQUIRE(split.candidates.empty());

    placement_query call;
    call.host = "h";
    call.path = "/calls/x";
    g.query = call;
    REQUIRE(!check_query(g.query, g.state));
    auto const e = g.explain();
    REQUIRE(e.choices.front().value() == "call");
    REQUIRE(!e.expected_first_event);
    REQUIRE(!e.engine_prompt);
}

// Guards against a question that is answered for another route, target or
// organisation than it names.
TEST_CASE("names that the configuration lacks are faults", "[placement]")
{
    struct row
    {
        std::function<void(placement_query&)> change;
        char const* parameter;
    };
    auto const r = GENERATE(values<row>({
        {[](auto& q) { q.route = "nosuch"; }, "route"},
        {[](auto& q) { q.route = "lost"; }, "route"}, // two have the name
        {[](auto& q) { q.service = "app"; }, "service"},
        {[](auto& q) { q.organisation = organisation_id(); }, "organisation"},
    }));
    explained_gateway g;
    REQUIRE(!check_query(g.query, g.state));
    r.change(g.query);
    auto const fault = check_query(g.query, g.state);
    REQUIRE(fault.has_value());
    REQUIRE(fault->parameter == r.parameter);
}

// Guards against a long list in a large fleet, and one without the choice.
TEST_CASE("only the best candidates are listed", "[placement]")
{
    explained_gateway g;
    for (int i = 0; i < 600; ++i)
    {
        auto const id = "x" + std::to_string(i);
        auto record = endpoint(id, "a1");
        record.address = "10.1." + std::to_string(i / 200) + "." +
                         std::to_string(i % 200) + ":8000";
        g.table.put(record, at(0));
        if (i % 2 == 0)
            g.find(id.c_str())->load = {1, 8650, 8000};
    }
    auto const e = g.explain();
    REQUIRE(e.candidates.size() == placement_explanation::max_candidates);
    REQUIRE(e.candidates_left_out == 603 - e.candidates.size());
    REQUIRE(e.counts.at(endpoint_exclusion::none) == 303);
    REQUIRE(e.counts.at(endpoint_exclusion::prefill) == 300);
    REQUIRE(e.choices.size() == placement_explanation::max_choices);
    for (std::size_t i = 0; i < e.choices.size(); ++i)
        REQUIRE(e.candidates[i].endpoint == e.choices[i]);
    for (auto const& c : e.candidates)
        REQUIRE(c.excluded_by == endpoint_exclusion::none);
}

// Rate limit ----------------------------------------------------------------

// Guards against more answers than the limit in a period that begins anywhere,
// and against refused questions that delay the next answer.
TEST_CASE("at most so many requests are taken in any period", "[placement]")
{
    request_rate_limit limit(5, milliseconds(1000));
    std::vector<int> taken;
    for (int ms = 0; ms < 5000; ms += 7)
    {
        if (limit.try_take(at(ms)))
            taken.push_back(ms);
    }
    REQUIRE(taken.size() >= 24);
    for (std::size_t i = 5; i < taken.size(); ++i)
        REQUIRE(taken[i] - taken[i - 5] >= 1000);
}
