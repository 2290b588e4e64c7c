// Measures the scheduling policy. Runs the production dispatchers and
// reservation queues of 6 routers and 24 endpoints in two regions in virtual
// time. The baseline is round robin over first-come-first-served queues.
// Prints one JSON document. The model covers only what these classes need; it
// is not a general cluster simulator.
//
// Index
//   model       : workload, request, engine
//   experiment  : one run of one workload under one policy
//   figures     : results computed from a run
//   experiments : the runs and the records they print
//   cost        : real time and memory of scheduling decisions
//
// Usage: bench_policy [PREFIX]   runs the experiments whose name has the prefix
#include <algorithm>
#include <cmath>
#include <deque>
#include <future>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <random>

#include <nlohmann/json.hpp>

#include "choice/late_binding_dispatcher.hpp"
#include "fake_network.hpp"
#include "queueing/admission.hpp"
#include "queueing/reservation_queue.hpp"
#include "records.hpp"

namespace dotterellock::bench
{

using namespace dotterellock::testing;
using nlohmann::json;
using std::chrono::seconds;

// ---- model ----------------------------------------------------------------

constexpr unsigned main_endpoints = 16; // in two zones of the main region
constexpr unsigned endpoint_count = 24;
constexpr unsigned router_count = 6;       // 4 of them in the main region
constexpr std::uint32_t engine_slots = 16; // concurrent streams per engine
constexpr double stream_tokens_per_second = 40;
constexpr double prefill_tokens_per_second = 20000;
constexpr std::uint32_t block_tokens = 512;
constexpr std::size_t cache_blocks = 400; // per engine
constexpr std::uint32_t expected_output = 256;
constexpr double long_share = 0.04; // of generations, which run for a minute
constexpr std::uint32_t long_output = 2400;
constexpr std::uint32_t mean_output = 120; // of the other generations
constexpr std::uint32_t mean_prompt = 4000;
constexpr unsigned experiment_threads = 3;
constexpr unsigned shared_prefixes = 300;
constexpr std::uint32_t shared_prefix_blocks = 12;

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration duration_of(double s)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(s));
}

/// Slot seconds of a mean request, from which load 1.0 is derived.
double mean_service_slot_seconds()
{
    double const output =
        long_share * long_output + (1 - long_share) * mean_output;
    return mean_prompt / prefill_tokens_per_second +
           output / stream_tokens_per_second;
}

double capacity_per_second()
{
    return endpoint_count * engine_slots / mean_service_slot_seconds();
}

/// Additional load for a limited time.
struct flood
{
    rank request_rank = rank::urgent;
    double load = 0; // additional, as a multiple of capacity
    double from = 0;
    double until = 0;
    std::uint32_t output = 0; // tokens per request; 0: like other requests
};

struct workload
{
    double load = 1;
    std::array<double, rank_count> mix = {0.3, 0.4, 0.3};
    double warm_up = 40;
    double end = 160;
    std::vector<double> organisations = {8, 8, 4, 2, 1, 1, 1, 1, 1, 1};
    std::optional<flood> extra;
    bool with_shared_prefixes = false;
    double main_share = 2.0 / 3; // of requests that arrive in the main region
    unsigned slow_endpoints = 0;
    unsigned silent_endpoints = 0;
    std::uint64_t seed = 1;
};

enum class prefix_hint_mode
{
    none,
    lagging, // 500 ms late, 10% lost
    perfect
};

/// Differences of a policy variant from the default policy.
struct variant
{
    bool baseline = false; // first come first served, round robin
    bool merge_organisations = false;
    bool preemption = true;
    bool early_refusal = true;
    prefix_hint_mode prefix = prefix_hint_mode::lagging;
    std::function<void(policy_settings&)> change = [](policy_settings&) {};
};

struct request
{
    request_id id;
    organisation_id organisation;
    unsigned organisation_index = 0;
    rank request_rank = rank::standard;
    unsigned router = 0;
    double arrived = 0;
    std::uint32_t prompt = 0;
    std::uint32_t output = 0;
    std::vector<std::uint64_t> blocks;
    attempt_number attempt = 0;
    double first_token = -1;
    double finished = -1;
    double useful_slot_seconds = 0;
    std::uint32_t cached = 0;
    std::uint32_t produced = 0; // tokens delivered to the caller
    bool refused = false;
    double refused_at = 0;
};

/// Engine with serial prefill, parallel decoding and an LRU cache of prompt
/// blocks.
struct engine_model
{
    double prefill_free_at = 0;
    double tokens_per_second = stream_tokens_per_second;
    std::list<std::uint64_t> recent;
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> cache;

    std::uint32_t cached_tokens(std::vector<std::uint64_t> const& blocks) const
    {
        std::uint32_t n = 0;
        while (n < blocks.size() && cache.count(blocks[n]) != 0)
            ++n;
        return n * block_tokens;
    }

    /// Returns the evicted blocks.
    std::vector<std::uint64_t> insert(std::vector<std::uint64_t> const& blocks)
    {
        std::vector<std::uint64_t> dropped;
        for (auto b = blocks.rbegin(); b != blocks.rend(); ++b)
        {
            auto const found = cache.find(*b);
            if (found != cache.end())
                recent.erase(found->second);
            recent.push_front(*b);
            cache[*b] = recent.begin();
            if (cache.size() <= cache_blocks)
                continue;
            dropped.push_back(recent.back());
            cache.erase(recent.back());
            recent.pop_back();
        }
        return dropped;
    }
};

class null_decision_log : public decision_log
{
public:
    void record(decision const&) override {}
};

// ---- experiment -----------------------------------------------------------

class experiment
{
public:
    experiment(workload w, variant v)
        : load_(std::move(w)), variant_(std::move(v))
    {
        policy_.settings.organisation.requests_per_second = 0;
        variant_.change(policy_.settings);
        network_.set_delivery_rule(
            [](peer_id const& from, peer_id const& to, message const&) {
                return fake_network::delivery_plan{1, distance(from, to)};
            });
        std::vector<endpoint_info> infos;
        for (unsigned i = 0; i < endpoint_count; ++i)
            infos.push_back(make_info(i));
        for (unsigned i = 0; i < endpoint_count; ++i)
            agents_.push_back(std::make_unique<agent>(*this, infos[i], i));
        for (unsigned i = 0; i < router_count; ++i)
            routers_.push_back(std::make_unique<router>(*this, i, infos));
    }

    void run()
    {
        schedule_arrival();
        scheduler_.advance(duration_of(load_.end));
    }

    std::vector<std::unique_ptr<request>> const& requests() const
    {
        return requests_;
    }
    workload const& load() const { return load_; }
    std::uint64_t counter(char const* name)
    {
        return counters_.counter(name).value();
    }
    policy_settings const& policy() const { return policy_.settings; }
    double link_bytes = 0;
    // Slot time of useful work within the measurement window.
    double busy_slot_seconds = 0;

private:
    struct agent : message_handler
    {
        agent(experiment& t, endpoint_info const& i, unsigned n)
            : run(t), info(i),
              queue(
                  i.endpoint, 1, engine_slots, t.scheduler_, t.scheduler_,
                  t.network_.transport_of(i.agent), t.policy_, t.log_,
                  t.counters_)
        {
            t.network_.attach(i.agent, *this);
            if (t.variant_.preemption)
                queue.set_suspend_callback([this](permit_id p) { suspend(p); });
            if (n < t.load_.slow_endpoints)
                engine.tokens_per_second /= 4;
            silent = n < t.load_.silent_endpoints;
        }
        void on_message(peer_id const& from, message const& m) override
        {
            if (silent)
                return;
            if (auto const* d = std::get_if<dispatch_generation>(&m))
                run.on_dispatch(*this, from, *d);
            else
                queue.on_message(from, m);
        }
        void on_disconnected(peer_id const&) override {}
        void suspend(permit_id p) { run.on_suspend(*this, p); }

        struct stream
        {
            request* current_request = nullptr;
            double began = 0;
            double first = 0;
            std::uint32_t resumed_at = 0;
            timer_id timer = 0;
            timer_id first_timer = 0;
        };

        experiment& run;
        endpoint_info info;
        reservation_queue queue;
        engine_model engine;
        bool silent = false; // drops all received messages
        std::map<permit_id, stream> streams;
        // Used by the baseline only.
        std::deque<request*> fifo;
        permit_id last_stream = 0;
    };

    struct router : message_handler
    {
        router(experiment& t, unsigned i, std::vector<endpoint_info> infos)
            : run(t), self("router/" + std::to_string(i)),
              region(i < 4 ? "r1" : "r2"), random(t.load_.seed * 100 + i),
              link(t.scheduler_, t.policy_, i < 4 ? 0.25 : 0.5),
              retries(t.scheduler_, t.policy_),
              directory(t.scheduler_, t.policy_),
              admission(t.scheduler_, t.policy_, directory, t.counters_),
              dispatcher(
                  self,
                  node_location{
                      region_id(region),
                      zone_id(i < 4 ? (i % 2 == 0 ? "z1" : "z2") : "z9"),
                      {}},
                  directory, t.scheduler_, t.scheduler_, random,
                  t.network_.transport_of(self), t.policy_, link, retries,
                  t.log_, t.counters_)
        {
            directory.set_endpoints(std::move(infos));
            t.network_.attach(self, *this);
        }
        void on_message(peer_id const& from, message const& m) override
        {
            if (auto const* f = std::get_if<generation_failed>(&m))
                run.on_failed(*f);
            else if (auto const* e = std::get_if<generation_finished>(&m))
                dispatcher.finished(e->request, e->attempt, true);
            else
                dispatcher.on_message(from, m);
        }
        void on_disconnected(peer_id const&) override {}

        experiment& run;
        peer_id self;
        std::string region;
        seeded_random random;
        cross_region_budget link;
        retry_budget retries;
        endpoint_directory directory;
        token_bucket_admission admission;
        late_binding_dispatcher dispatcher;
        unsigned next_endpoint = 0; // round robin, baseline only
    };

    static endpoint_info make_info(unsigned i)
    {
        endpoint_info info;
        info.endpoint = endpoint_id("e" + std::to_string(i));
        info.agent = peer_id("agent/e" + std::to_string(i));
        bool const in_main = i < main_endpoints;
        info.region = region_id(in_main ? "r1" : "r2");
        info.zone = zone_id(in_main ? (i % 2 == 0 ? "z1" : "z2") : "z9");
        info.models = {{"m", "", "1"}};
        return info;
    }

    static bool in_main(peer_id const& p)
    {
        auto const& name = p.value();
        if (name.rfind("router/", 0) == 0)
            return std::stoul(name.substr(7)) < 4;
        return std::stoul(name.substr(7)) < main_endpoints;
    }

    static duration distance(peer_id const& from, peer_id const& to)
    {
        return in_main(from) == in_main(to) ? duration{} : milliseconds(19);
    }

    double now() const { return seconds_of(scheduler_.now() - start_); }

    // ---- arrivals ---------------------------------------------------------

    void schedule_arrival()
    {
        double rate = load_.load * capacity_per_second();
        double extra_rate = 0;
        if (load_.extra && now() >= load_.extra->from &&
            now() < load_.extra->until)
            extra_rate = load_.extra->load * capacity_per_second();
        std::exponential_distribution<double> gap(rate + extra_rate);
        bool const from_flood = uniform() * (rate + extra_rate) < extra_rate;
        scheduler_.schedule(
            duration_of(gap(random_)),
            [this, from_flood]
            {
                arrive(from_flood);
                schedule_arrival();
            });
    }

    double uniform() { return std::uniform_real_distribution<>()(random_); }

    template<typename Weights>
    unsigned pick(Weights const& weights)
    {
        return static_cast<unsigned>(std::discrete_distribution<unsigned>(
            weights.begin(), weights.end())(random_));
    }

    void arrive(bool from_flood)
    {
        requests_.push_back(std::make_unique<request>());
        request& r = *requests_.back();
        r.id = request_id("q" + std::to_string(requests_.size() - 1));
        r.organisation_index = pick(load_.organisations);
        r.organisation =
            organisation_id("org" + std::to_string(r.organisation_index));
        r.request_rank =
            from_flood ? load_.extra->request_rank : all_ranks[pick(load_.mix)];
        r.router =
            uniform() < load_.main_share ? random_() % 4 : 4 + random_() % 2;
        r.arrived = now();
        r.prompt = static_cast<std::uint32_t>(mean_prompt * (0.5 + uniform()));
        r.output = uniform() < long_share
                       ? long_output
                       : static_cast<std::uint32_t>(
                             mean_output * (0.25 + 1.5 * uniform()));
        if (from_flood && load_.extra->output != 0)
            r.output = load_.extra->output;
        if (load_.with_shared_prefixes)
        {
            // The popularity of prefix n falls as 1/n.
            auto const d = static_cast<std::uint64_t>(
                std::pow(double(shared_prefixes), uniform()));
            for (std::uint64_t b = 0; b < shared_prefix_blocks; ++b)
                r.blocks.push_back(d * 1000 + b);
            r.prompt = shared_prefix_blocks * block_tokens + 300;
        }
        if (variant_.baseline)
            enqueue(r);
        else
            admit(r);
    }

    void admit(request& r)
    {
        try
        {
            if (variant_.early_refusal)
                routers_[r.router]->admission.admit(
                    r.organisation, r.request_rank, {"m", "", "1"});
            place(r, false);
        }
        catch (error const&)
        {
            refuse(r);
        }
    }

    void refuse(request& r)
    {
        r.refused = r.first_token < 0;
        r.refused_at = now();
    }

    void place(request& r, bool retry)
    {
        place_request p;
        p.request = r.id;
        p.attempt = ++r.attempt;
        p.epoch = 1;
        p.organisation = variant_.merge_organisations ? organisation_id("all")
                                                      : r.organisation;
        p.rank = r.request_rank;
        p.model = {"m", "", "1"};
        p.estimated_tokens = r.prompt + expected_output;
        p.payload_bytes = r.prompt * 4ull;
        if (variant_.prefix != prefix_hint_mode::none)
            p.prefix_blocks = r.blocks;
        p.is_retry = retry;
        auto& from = *routers_[r.router];
        from.dispatcher.place(
            p,
            [this, &r, &from](placement const& where)
            {
                dispatch_generation d;
                d.request = r.id;
                d.attempt = r.attempt;
                d.permit = where.permit;
                d.incarnation = where.incarnation;
                if (in_main(from.self) != in_main(where.agent))
                    link_bytes += r.prompt * 4.0 + r.output * 16.0;
                network_.transport_of(from.self).send(where.agent, d);
            },
            [this, &r](error const&) { refuse(r); });
    }

    // ---- engines ----------------------------------------------------------

    request& request_named(request_id const& id)
    {
        return *requests_[std::stoul(id.value().substr(1))];
    }

    void
    on_dispatch(agent& at, peer_id const& from, dispatch_generation const& d)
    {
        if (at.queue.redeem(d.permit, d.request, d.attempt, d.incarnation))
        {
            generation_failed f;
            f.request = d.request;
            f.attempt = d.attempt;
            network_.transport_of(at.info.agent).send(from, f);
            return;
        }
        start(at, d.permit, request_named(d.request));
    }

    void on_failed(generation_failed const& f)
    {
        request& r = request_named(f.request);
        routers_[r.router]->dispatcher.finished(f.request, f.attempt, false);
        place(r, true);
    }

    void start(agent& at, permit_id permit, request& r)
    {
        auto& s = at.streams[permit];
        s.current_request = &r;
        s.began = now();
        s.resumed_at = r.produced;
        std::uint32_t const cached = at.engine.cached_tokens(r.blocks);
        if (r.attempt <= 1)
            r.cached = cached;
        publish(at, r.blocks, at.engine.insert(r.blocks));
        double const prefill_seconds =
            (r.prompt + r.produced - cached) / prefill_tokens_per_second;
        at.engine.prefill_free_at =
            std::max(now(), at.engine.prefill_free_at) + prefill_seconds;
        s.first = at.engine.prefill_free_at + 1 / at.engine.tokens_per_second;
        double const decode_seconds =
            (r.output - r.produced - 1) / at.engine.tokens_per_second;
        double const first = s.first;
        s.first_timer = scheduler_.schedule(
            duration_of(first - now()),
            [this, &r]
            {
                if (r.first_token < 0)
                    r.first_token = now();
            });
        s.timer = scheduler_.schedule(
            duration_of(first + std::max(decode_seconds, 0.0) - now()),
            [this, &at, permit] { finish(at, permit); });
    }

    void finish(agent& at, permit_id permit)
    {
        auto const s = at.streams.at(permit);
        at.streams.erase(permit);
        request& r = *s.current_request;
        r.finished = now();
        account(s, now());
        if (variant_.baseline)
        {
            start_next(at);
            return;
        }
        at.queue.observe_token_rate(at.engine.tokens_per_second);
        at.queue.release(permit, r.prompt + r.output - s.resumed_at);
        generation_finished f;
        f.request = r.id;
        f.attempt = r.attempt;
        network_.transport_of(at.info.agent).send(routers_[r.router]->self, f);
    }

    /// Adds the slot time of the stream within the measurement window to the
    /// useful work. A repeated prefill does not count as useful.
    void account(agent::stream const& s, double until)
    {
        double const from = s.resumed_at > 0 ? s.first : s.began;
        double const inside =
            std::min(until, load_.end) - std::max(from, load_.warm_up);
        busy_slot_seconds += std::max(inside, 0.0);
        s.current_request->useful_slot_seconds += std::max(until - from, 0.0);
    }

    void on_suspend(agent& at, permit_id permit)
    {
        auto const s = at.streams.at(permit);
        at.streams.erase(permit);
        scheduler_.cancel(s.timer);
        scheduler_.cancel(s.first_timer);
        request& r = *s.current_request;
        if (now() > s.first)
        {
            r.produced = std::min(
                r.output - 1, r.produced + static_cast<std::uint32_t>(
                                               (now() - s.first) *
                                               at.engine.tokens_per_second));
            account(s, now());
        }
        at.queue.release(permit, r.prompt + r.produced - s.resumed_at);
        generation_failed f;
        f.request = r.id;
        f.attempt = r.attempt;
        scheduler_.schedule(
            milliseconds(1),
            [this, &r]
            {
                routers_[r.router]->dispatcher.finished(r.id, r.attempt, true);
                place(r, false);
            });
    }

    void publish(
        agent& at, std::vector<std::uint64_t> const& added,
        std::vector<std::uint64_t> const& removed)
    {
        if (added.empty() || variant_.prefix == prefix_hint_mode::none)
            return;
        prefix_hint const hint{at.info.endpoint, added, removed};
        auto const deliver = [this, hint]
        {
            for (auto& r : routers_)
                r->directory.on_prefix_hint(hint);
        };
        if (variant_.prefix == prefix_hint_mode::perfect)
            deliver();
        else if (uniform() < 0.9)
            scheduler_.schedule(milliseconds(500), deliver);
    }

    // ---- baseline ---------------------------------------------------------

    void enqueue(request& r)
    {
        auto& from = *routers_[r.router];
        bool const in_r1 = r.router < 4;
        unsigned const n =
            in_r1 ? main_endpoints : endpoint_count - main_endpoints;
        unsigned const i = from.next_endpoint++ % n;
        agent& at = *agents_[in_r1 ? i : main_endpoints + i];
        scheduler_.schedule(
            milliseconds(1),
            [this, &at, &r]
            {
                if (at.fifo.size() >= policy_.settings.queue.max_reservations)
                {
                    r.refused = true;
                    return;
                }
                at.fifo.push_back(&r);
                start_next(at);
            });
    }

    void start_next(agent& at)
    {
        while (!at.fifo.empty() && at.streams.size() < engine_slots)
        {
            request& r = *at.fifo.front();
            at.fifo.pop_front();
            auto const& limits =
                policy_.settings.ranks[index_of(r.request_rank)];
            if (duration_of(now() - r.arrived) > limits.waiting_limit)
            {
                r.refused = true;
                continue;
            }
            start(at, ++at.last_stream, r);
        }
    }

public:
    /// Adds the work of streams that still run at the end.
    void account_unfinished()
    {
        for (auto& a : agents_)
        {
            for (auto const& [permit, s] : a->streams)
                account(s, now());
        }
    }

private:
    workload load_;
    variant variant_;
    manual_scheduler scheduler_;
    steady_time start_ = scheduler_.now();
    fake_network network_{scheduler_};
    fixed_policy policy_;
    null_decision_log log_;
    counter_registry counters_;
    std::mt19937_64 random_{load_.seed};
    std::vector<std::unique_ptr<request>> requests_;
    std::vector<std::unique_ptr<agent>> agents_;
    std::vector<std::unique_ptr<router>> routers_;
};

// ---- figures --------------------------------------------------------------

struct window
{
    double from = 0;
    double until = 0;
};

using filter = std::function<bool(request const&)>;

/// Returns the requests that arrived in the window and match the filter.
std::vector<request const*>
select(experiment const& e, window w, filter const& f)
{
    std::vector<request const*> chosen;
    for (auto const& r : e.requests())
    {
        if (r->arrived >= w.from && r->arrived < w.until && f(*r))
            chosen.push_back(r.get());
    }
    return chosen;
}

filter of_rank(rank of)
{
    return [of](request const& r) { return r.request_rank == of; };
}

/// Quantile of the seconds to the first token, over the requests that received
/// one; -1 if none did.
double ttft(std::vector<request const*> const& requests, double quantile)
{
    std::vector<double> times;
    for (auto const* r : requests)
    {
        if (r->first_token >= 0)
            times.push_back(r->first_token - r->arrived);
    }
    if (times.empty())
        return -1;
    auto const at = static_cast<std::size_t>(quantile * (times.size() - 1));
    std::nth_element(
        times.begin(), times.begin() + std::ptrdiff_t(at), times.end());
    return times[at];
}

/// Share of all requests, including refused ones, whose first token met the
/// target of their rank.
double
within_target(experiment const& e, std::vector<request const*> const& requests)
{
    double met = 0;
    for (auto const* r : requests)
    {
        auto const& target =
            e.policy().ranks[index_of(r->request_rank)].first_token_target;
        met += r->first_token >= 0 &&
               duration_of(r->first_token - r->arrived) <= target;
    }
    return requests.empty() ? 1 : met / double(requests.size());
}

/// Tokens per second delivered in the window.
double throughput(experiment const& e, window w, filter const& f)
{
    double tokens = 0;
    for (auto const& r : e.requests())
    {
        if (r->first_token < 0 || !f(*r))
            continue;
        double const end = r->finished < 0
                               ? std::max(w.until, r->first_token + 1)
                               : std::max(r->finished, r->first_token + 1e-3);
        double const inside =
            std::min(end, w.until) - std::max(r->first_token, w.from);
        if (inside > 0)
            tokens += r->output * inside / (end - r->first_token);
    }
    return tokens / (w.until - w.from);
}

double goodput(experiment const& e)
{
    auto const& w = e.load();
    return e.busy_slot_seconds /
           ((w.end - w.warm_up) * endpoint_count * engine_slots);
}

double jain_index(std::vector<double> const& x)
{
    double sum = 0;
    double squares = 0;
    for (double const v : x)
    {
        sum += v;
        squares += v * v;
    }
    return squares > 0 ? sum * sum / (double(x.size()) * squares) : 0;
}

std::unique_ptr<experiment> run_experiment(workload const& w, variant const& v)
{
    auto e = std::make_unique<experiment>(w, v);
    e->run();
    e->account_unfinished();
    return e;
}

variant baseline()
{
    variant v;
    v.baseline = true;
    v.prefix = prefix_hint_mode::none;
    return v;
}

// ---- experiments ----------------------------------------------------------

void load_level(record_list& out, double load)
{
    workload w;
    w.load = load;
    auto const policy_run = run_experiment(w, {});
    auto const baseline_run = run_experiment(w, baseline());
    window const all{w.warm_up, w.end - 35};
    std::string const at = "load" + std::to_string(load).substr(0, 3) + "/";
    for (auto const r : all_ranks)
    {
        auto const policy_requests = select(*policy_run, all, of_rank(r));
        auto const baseline_requests = select(*baseline_run, all, of_rank(r));
        std::string const name = at + to_string(r) + "/";
        for (auto const& [label, q] :
             {std::pair{"ttft_p50", 0.5},
              {"ttft_p95", 0.95},
              {"ttft_p99", 0.99}})
            out.add(
                name + label, "s", ttft(policy_requests, q),
                ttft(baseline_requests, q));
        out.add(
            name + "within_target", "share",
            within_target(*policy_run, policy_requests),
            within_target(*baseline_run, baseline_requests));
        out.add(
            name + "throughput", "tokens/s",
            throughput(*policy_run, all, of_rank(r)),
            throughput(*baseline_run, all, of_rank(r)));
    }
    out.add(
        at + "goodput", "share", goodput(*policy_run), goodput(*baseline_run));
    out.add(
        at + "suspensions", "count",
        double(policy_run->counter("queue_suspensions_total")));
    out.add(
        at + "link_bytes_per_request", "B",
        policy_run->link_bytes / double(policy_run->requests().size()));
}

workload flood_of(rank of)
{
    workload w;
    w.load = 0.7;
    w.extra = flood{of, 2.0, 80, 120, 0};
    w.end = 220;
    return w;
}

/// Seconds after the flood until the share of a rank's requests within their
/// target is back at 95% of its value before the flood, and stays there.
double settle_time(experiment const& e, rank r)
{
    auto const& f = *e.load().extra;
    auto const share = [&](double from, double until) {
        return within_target(e, select(e, {from, until}, of_rank(r)));
    };
    double const before = share(e.load().warm_up, f.from);
    double settled = f.until;
    for (double t = f.until; t + 5 <= e.load().end - 35; t += 5)
    {
        if (share(t, t + 5) < 0.95 * before)
            settled = t + 5;
    }
    return settled - f.until;
}

void floods(record_list& out, rank of)
{
    workload const w = flood_of(of);
    auto const policy_run = run_experiment(w, {});
    auto const baseline_run = run_experiment(w, baseline());
    std::string const at = std::string("flood_of_") + to_string(of) + "/";
    std::vector<std::pair<std::string, window>> const phases = {
        {"before", {w.warm_up, w.extra->from}},
        {"during", {w.extra->from, w.extra->until}},
        {"after", {w.extra->until, w.end - 35}}};
    for (auto const r : all_ranks)
    {
        std::string const name = at + to_string(r) + "/";
        for (auto const& [label, when] : phases)
        {
            out.add(
                name + label + "/throughput", "tokens/s",
                throughput(*policy_run, when, of_rank(r)),
                throughput(*baseline_run, when, of_rank(r)));
            out.add(
                name + label + "/within_target", "share",
                within_target(
                    *policy_run, select(*policy_run, when, of_rank(r))),
                within_target(
                    *baseline_run, select(*baseline_run, when, of_rank(r))));
        }
        out.add(
            name + "settle", "s", settle_time(*policy_run, r),
            settle_time(*baseline_run, r));
    }
    double const total = throughput(
        *policy_run, phases[1].second, [](request const&) { return true; });
    for (auto const r : {rank::standard, rank::background})
    {
        out.add(
            at + to_string(r) + "/during/token_share", "share",
            throughput(*policy_run, phases[1].second, of_rank(r)) / total);
    }
}

/// One small organisation, alone or beside one that sends 50 times the load.
workload small_and_large(bool alone)
{
    workload w;
    double const small = 0.03; // of capacity
    w.load = alone ? small : 51 * small;
    w.organisations =
        alone ? std::vector<double>{1} : std::vector<double>{1, 50};
    w.mix = {0, 1, 0};
    w.end = 260;
    return w;
}

double small_organisation_ttft(experiment const& e, double quantile)
{
    return ttft(
        select(
            e, {e.load().warm_up, e.load().end - 35},
            [](request const& r) { return r.organisation_index == 0; }),
        quantile);
}

void fairness(record_list& out)
{
    auto const alone = run_experiment(small_and_large(true), {});
    auto const with_large = run_experiment(small_and_large(false), {});
    auto const baseline_run =
        run_experiment(small_and_large(false), baseline());
    for (auto const& [label, q] :
         {std::pair{"ttft_p50", 0.5}, {"ttft_p95", 0.95}})
    {
        double const reference = small_organisation_ttft(*alone, q);
        std::string const name = std::string("fairness/small/") + label;
        out.add(name + "_alone", "s", reference);
        out.add(
            name, "s", small_organisation_ttft(*with_large, q),
            small_organisation_ttft(*baseline_run, q));
        out.add(
            name + "_ratio", "ratio",
            small_organisation_ttft(*with_large, q) / reference,
            small_organisation_ttft(*baseline_run, q) / reference);
    }
    // Each of the ten organisations demands more than a tenth of the capacity,
    // some of them five times as much.
    workload w;
    w.load = 3;
    w.mix = {0, 1, 0};
    w.organisations = {5, 5, 3, 3, 2, 2, 2, 1.2, 1.2, 1.2};
    auto const index = [&](variant const& v)
    {
        auto const e = run_experiment(w, v);
        std::vector<double> tokens;
        for (unsigned o = 0; o < w.organisations.size(); ++o)
        {
            double sum = 0;
            for (auto const& r : e->requests())
            {
                if (r->organisation_index == o && r->finished > w.warm_up)
                    sum += r->prompt + r->output;
            }
            tokens.push_back(sum);
        }
        return jain_index(tokens);
    };
    out.add("fairness/jain_index", "index", index({}), index(baseline()));
}

double hit_share(experiment const& e)
{
    double cached = 0;
    double total = 0;
    for (auto const& r : e.requests())
    {
        if (r->first_token < 0 || r->arrived < e.load().warm_up)
            continue;
        cached += r->cached;
        total += r->prompt;
    }
    return cached / total;
}

void prefixes(record_list& out)
{
    for (double const load : {0.7, 1.0})
    {
        workload w;
        w.load = load;
        w.with_shared_prefixes = true;
        variant without_hints;
        without_hints.prefix = prefix_hint_mode::none;
        variant perfect;
        perfect.prefix = prefix_hint_mode::perfect;
        auto const policy_run = run_experiment(w, {});
        auto const without_hints_run = run_experiment(w, without_hints);
        std::string const at =
            "prefix/load" + std::to_string(load).substr(0, 3) + "/";
        out.add(
            at + "hits", "share", hit_share(*policy_run),
            hit_share(*without_hints_run));
        out.add(
            at + "hits_perfect_view", "share",
            hit_share(*run_experiment(w, perfect)));
        filter const any = [](request const&) { return true; };
        window const all{w.warm_up, w.end - 35};
        out.add(
            at + "ttft_p50", "s", ttft(select(*policy_run, all, any), 0.5),
            ttft(select(*without_hints_run, all, any), 0.5));
    }
}

void link_use(record_list& out)
{
    workload w;
    w.load = 0.8;
    w.main_share = 0.4; // the other region is loaded to 1.44 of its capacity
    auto const policy_run = run_experiment(w, {});
    auto const baseline_run = run_experiment(w, baseline());
    filter const any = [](request const&) { return true; };
    window const all{w.warm_up, w.end - 35};
    out.add(
        "link/bytes_per_request", "B",
        policy_run->link_bytes / double(policy_run->requests().size()), 0);
    out.add("link/bytes_per_second", "B/s", policy_run->link_bytes / w.end, 0);
    out.add(
        "link/within_target", "share",
        within_target(*policy_run, select(*policy_run, all, any)),
        within_target(*baseline_run, select(*baseline_run, all, any)));
}

/// Measures the effect of each rule of the policy: the value is with the rule,
/// the baseline without it.
class ablation
{
public:
    explicit ablation(record_list& out) : out_(out) {}

    void floors()
    {
        auto const without = with_change(
            [](policy_settings& s)
            {
                for (auto& r : s.ranks)
                    r.floor_share = 0;
            });
        compare(
            "floors/standard_tokens_in_urgent_flood", "tokens/s",
            flood_of(rank::urgent), without,
            [](experiment const& e)
            {
                auto const& f = *e.load().extra;
                return throughput(
                    e, {f.from, f.until}, of_rank(rank::standard));
            });
    }

    void drr()
    {
        variant merged;
        merged.merge_organisations = true;
        compare(
            "drr/small_ttft_p95", "s", small_and_large(false), merged,
            [](experiment const& e)
            { return small_organisation_ttft(e, 0.95); });
    }

    void late_binding()
    {
        auto const single = with_change(
            [](policy_settings& s)
            {
                s.dispatch.reservations = 1;
                s.dispatch.max_reservations = 1;
            });
        for (double const load : {0.7, 1.0})
        {
            workload w;
            w.load = load;
            std::string const at = "_load" + std::to_string(load).substr(0, 3);
            compare(
                "late_binding/urgent_ttft_p95" + at, "s", w, single,
                [](experiment const& e) { return p95(e, rank::urgent); });
        }
    }

    /// Some agents neither answer nor fail, as behind a connection that drops
    /// all packets.
    void extra_reservation()
    {
        auto const without = with_change(
            [](policy_settings& s)
            { s.dispatch.extra_reservation_after = milliseconds(3600000); });
        for (unsigned const silent : {0u, 4u})
        {
            workload w;
            w.load = 0.7;
            w.silent_endpoints = silent;
            auto const name = "extra_reservation/within_target_" +
                              std::to_string(silent) + "_silent";
            compare(
                name, "share", w, without,
                [](experiment const& e)
                { return within_target(e, select(e, inside(e), any)); });
        }
    }

    void affinity()
    {
        workload w;
        w.load = 0.8;
        w.with_shared_prefixes = true;
        variant without_hints;
        without_hints.prefix = prefix_hint_mode::none;
        compare(
            "affinity/ttft_p50", "s", w, without_hints,
            [](experiment const& e)
            { return ttft(select(e, inside(e), any), 0.5); });
    }

    void stragglers()
    {
        workload w;
        w.load = 0.7;
        w.slow_endpoints = 3;
        auto const without = with_change([](policy_settings& s)
                                         { s.dispatch.straggler_pace = 0; });
        compare(
            "stragglers/completion_p95", "s", w, without,
            [](experiment const& e)
            {
                std::vector<double> times;
                for (auto const* r : select(e, inside(e), any))
                {
                    if (r->finished >= 0 && r->output < 300)
                        times.push_back(r->finished - r->arrived);
                }
                std::sort(times.begin(), times.end());
                return times[times.size() * 95 / 100];
            });
    }

    void preemption()
    {
        variant without;
        without.preemption = false;
        auto w = flood_of(rank::background);
        w.extra->output = long_output;
        w.extra->load = 0.4; // in requests; 11 times as much in slot time
        auto const a = run_experiment(w, {});
        auto const b = run_experiment(w, without);
        for (auto const r : all_ranks)
        {
            auto const met = [r](experiment const& e)
            {
                auto const& f = *e.load().extra;
                return within_target(
                    e, select(e, {f.from, f.until}, of_rank(r)));
            };
            out_.add(
                std::string("ablation/preemption/") + to_string(r) +
                    "_within_target_in_long_flood",
                "share", met(*a), met(*b));
        }
        out_.add(
            "ablation/preemption/goodput_in_long_flood", "share", goodput(*a),
            goodput(*b));
    }

    void early_refusal()
    {
        variant without;
        without.early_refusal = false;
        workload w;
        w.load = 3;
        auto const a = run_experiment(w, {});
        auto const b = run_experiment(w, without);
        for (auto const r : all_ranks)
        {
            auto const met = [r](experiment const& e)
            { return within_target(e, select(e, inside(e), of_rank(r))); };
            out_.add(
                std::string("ablation/early_refusal/") + to_string(r) +
                    "_within_target_load3.0",
                "share", met(*a), met(*b));
            auto const refusal_time = [r](experiment const& e)
            { return time_to_refusal(select(e, inside(e), of_rank(r))); };
            out_.add(
                std::string("ablation/early_refusal/") + to_string(r) +
                    "_time_to_refusal_load3.0",
                "s", refusal_time(*a), refusal_time(*b));
        }
    }

private:
    static bool any(request const&) { return true; }
    static window inside(experiment const& e)
    {
        return {e.load().warm_up, e.load().end - 35};
    }
    /// Mean seconds until a request was refused, over the refused requests.
    static double time_to_refusal(std::vector<request const*> const& requests)
    {
        double sum = 0;
        double n = 0;
        for (auto const* r : requests)
        {
            sum += r->refused ? r->refused_at - r->arrived : 0;
            n += r->refused;
        }
        return n > 0 ? sum / n : 0;
    }
    static double p95(experiment const& e, rank r)
    {
        return ttft(select(e, inside(e), of_rank(r)), 0.95);
    }
    static variant with_change(std::function<void(policy_settings&)> change)
    {
        variant v;
        v.change = std::move(change);
        return v;
    }
    void compare(
        std::string const& name, std::string const& unit, workload const& w,
        variant const& without,
        std::function<double(experiment const&)> const& figure)
    {
        out_.add(
            "ablation/" + name, unit, figure(*run_experiment(w, {})),
            figure(*run_experiment(w, without)));
    }

    record_list& out_;
};

// ---- cost -----------------------------------------------------------------

/// Discards messages, so that only the decision itself is timed.
class null_transport : public peer_transport
{
public:
    void send(peer_id const&, message m) override { last = std::move(m); }
    void reconnect(peer_id const&) override {}
    message last;
};

std::size_t heap_bytes()
{
    return ::mallinfo2().uordblks;
}

double microseconds_each(unsigned n, std::function<void(unsigned)> const& f)
{
    auto const begin = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < n; ++i)
        f(i);
    std::chrono::duration<double, std::micro> const all =
        std::chrono::steady_clock::now() - begin;
    return all.count() / n;
}

void dispatch_cost(record_list& out, unsigned endpoints)
{
    manual_scheduler scheduler;
    fixed_policy policy;
    null_decision_log log;
    counter_registry counters;
    null_transport transport;
    seeded_random random(1);
    cross_region_budget link(scheduler, policy);
    retry_budget retries(scheduler, policy);
    std::size_t const before = heap_bytes();
    endpoint_directory directory(scheduler, policy);
    std::vector<endpoint_info> infos;
    for (unsigned i = 0; i < endpoints; ++i)
    {
        endpoint_info info;
        info.endpoint = endpoint_id("endpoint-" + std::to_string(i));
        info.agent = peer_id("agent/endpoint-" + std::to_string(i));
        info.zone = zone_id("zone-" + std::to_string(i % 7));
        info.region = region_id(i % 7 < 4 ? "main" : "other");
        info.models = {{"m" + std::to_string(i % 5), "", "1"}};
        infos.push_back(info);
    }
    directory.set_endpoints(infos);
    late_binding_dispatcher dispatcher(
        peer_id("router"), {region_id("main"), zone_id("zone-0"), {}},
        directory, scheduler, scheduler, random, transport, policy, link,
        retries, log, counters);
    std::size_t const after = heap_bytes();
    place_request work;
    work.organisation = organisation_id("org");
    work.estimated_tokens = 4000;
    work.payload_bytes = 16000;
    work.attempt = 1;
    double const us = microseconds_each(
        20000,
        [&](unsigned i)
        {
            work.request = request_id("org/request-" + std::to_string(i));
            work.model = {"m" + std::to_string(i % 5), "", "1"};
            dispatcher.place(
                work, [](placement const&) {}, [](error const&) {});
            dispatcher.withdraw(work.request, 1);
        });
    std::string const at = "cost/endpoints" + std::to_string(endpoints) + "/";
    out.add(at + "place_and_withdraw", "us", us);
    out.add(at + "directory", "B", double(after - before));
}

void queue_cost(record_list& out, unsigned organisations)
{
    fixed_policy policy;
    policy.settings.queue.max_reservations = 2 * 5200;
    std::size_t const before = heap_bytes();
    fair_queue queue(policy);
    for (unsigned i = 0; i < 5200; ++i)
    {
        queue.push(
            {i + 1, organisation_id("org-" + std::to_string(i % organisations)),
             all_ranks[i % 3], 2000 + i % 4000});
    }
    std::size_t const after = heap_bytes();
    double const us = microseconds_each(
        50000,
        [&](unsigned i)
        {
            auto served = *queue.pop({});
            queue.correct_cost(served, 3000);
            served.entry.id = 10000 + i;
            queue.push(served.entry);
        });
    std::string const at =
        "cost/organisations" + std::to_string(organisations) + "/";
    out.add(at + "pop_correct_push", "us", us);
    out.add(at + "queue_of_5200", "B", double(after - before));
}

void admission_cost(record_list& out, unsigned organisations)
{
    manual_scheduler scheduler;
    fixed_policy policy;
    // High enough to refuse no request.
    policy.settings.organisation.burst_requests = 1e6;
    counter_registry counters;
    std::size_t const before = heap_bytes();
    endpoint_directory directory(scheduler, policy);
    token_bucket_admission admission(scheduler, policy, directory, counters);
    double const us = microseconds_each(
        100000,
        [&](unsigned i)
        {
            scheduler.jump(milliseconds(1));
            admission.admit(
                organisation_id("org-" + std::to_string(i % organisations)),
                rank::standard, {"m", "", "1"});
        });
    std::string const at =
        "cost/organisations" + std::to_string(organisations) + "/";
    out.add(at + "admit", "us", us);
    out.add(at + "buckets", "B", double(heap_bytes() - before));
}

void costs(record_list& out)
{
    for (unsigned const n : {10u, 100u, 600u})
        dispatch_cost(out, n);
    for (unsigned const n : {10u, 500u, 5200u})
    {
        queue_cost(out, n);
        admission_cost(out, n);
    }
}

/// Runs the selected experiments on several threads. The cost benchmarks run
/// afterwards on their own, so that other work does not affect their times.
int run(std::string const& prefix)
{
    using experiment_function = std::function<void(record_list&)>;
    std::vector<std::pair<std::string, experiment_function>> const all = {
        {"load0.7", [](record_list& r) { load_level(r, 0.7); }},
        {"load1.0", [](record_list& r) { load_level(r, 1.0); }},
        {"load1.5", [](record_list& r) { load_level(r, 1.5); }},
        {"load3.0", [](record_list& r) { load_level(r, 3.0); }},
        {"flood_background",
         [](record_list& r) { floods(r, rank::background); }},
        {"flood_urgent", [](record_list& r) { floods(r, rank::urgent); }},
        {"fairness", fairness},
        {"prefix", prefixes},
        {"link", link_use},
        {"ablation_floors", [](record_list& r) { ablation(r).floors(); }},
        {"ablation_drr", [](record_list& r) { ablation(r).drr(); }},
        {"ablation_late", [](record_list& r) { ablation(r).late_binding(); }},
        {"ablation_extra",
         [](record_list& r) { ablation(r).extra_reservation(); }},
        {"ablation_affinity", [](record_list& r) { ablation(r).affinity(); }},
        {"ablation_stragglers",
         [](record_list& r) { ablation(r).stragglers(); }},
        {"ablation_preemption",
         [](record_list& r) { ablation(r).preemption(); }},
        {"ablation_refusal",
         [](record_list& r) { ablation(r).early_refusal(); }}};
    std::vector<record_list> parts(all.size() + 1);
    std::atomic<std::size_t> next{0};
    auto const work = [&]
    {
        for (std::size_t i = next++; i < all.size(); i = next++)
        {
            if (all[i].first.compare(0, prefix.size(), prefix) == 0)
                all[i].second(parts[i]);
        }
    };
    std::vector<std::future<void>> threads;
    for (unsigned i = 0; i < experiment_threads; ++i)
        threads.push_back(std::async(std::launch::async, work));
    for (auto& t : threads)
        t.get();
    if (std::string("cost").compare(0, prefix.size(), prefix) == 0)
        costs(parts.back());
    record_list records;
    for (auto const& part : parts)
        records.append(part);
    records.print();
    return 0;
}

} // namespace dotterellock::bench

int main(int argc, char** argv)
{
    try
    {
        return dotterellock::bench::run(argc > 1 ? argv[1] : "");
    }
    catch (std::exception const& e)
    {
        std::cerr << "bench_policy: " << e.what() << "\n";
        return 1;
    }
}
