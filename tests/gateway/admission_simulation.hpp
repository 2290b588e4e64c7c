// Plays the load of callers on the request queues of several gateways that
// share endpoints, without a network. An endpoint processes one prompt at a
// time and has memory for some; callers give up without a first event and
// return once after a refusal.
#ifndef DOTTERELLOCK_TESTS_GATEWAY_ADMISSION_SIMULATION_HPP
#define DOTTERELLOCK_TESTS_GATEWAY_ADMISSION_SIMULATION_HPP

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gateway/request_queue.hpp"
#include "gateway_fixture.hpp"
#include "manual_scheduler.hpp"

namespace dotterellock::testing
{

/// What the callers of one rank or organisation got.
struct caller_results
{
    int sent = 0;
    int in_time = 0; // first event within its target, and a whole answer
    int late = 0;    // a whole answer
    int refused = 0;
    int refused_again = 0; // after returning; counted in refused
    int gave_up = 0;       // without a first event
    int cut_off = 0;       // at the deadline
    int not_honoured = 0;  // refusals with a retry time beyond what they honour

    void add(caller_results const& other)
    {
        sent += other.sent;
        in_time += other.in_time;
        late += other.late;
        refused += other.refused;
        refused_again += other.refused_again;
        gave_up += other.gave_up;
        cut_off += other.cut_off;
        not_honoured += other.not_honoured;
    }

    double share(int n) const { return sent > 0 ? double(n) / sent : 1; }
    double in_time_share() const { return share(in_time); }
    double answered_share() const { return share(in_time + late); }
};

struct admission_load
{
    std::string name;
    std::uint64_t seed = 1;
    double load = 0.7;         // of the capacity, outside of bursts
    double burst = 1;          // multiple of the load
    double burst_of_large = 1; // of the organisation "large"
    int burst_begin_ms = 10000;
    int burst_end_ms = 15000;
    bool half_lost = false; // half of the endpoints, for 4 s
    int end_ms = 40000;
};

struct admission_results
{
    std::map<std::uint32_t, caller_results> by_rank;
    caller_results large;  // the organisation of that name
    caller_results others; // the other organisations
    caller_results large_prompts;
    caller_results all;
    int refused_alone = 0; // by prediction, with nothing waiting
    int refused_begun = 0;
    std::vector<int> returns_per_second; // of refused callers, of one run

    void add(admission_results const& other)
    {
        for (auto const& [rank, results] : other.by_rank)
            by_rank[rank].add(results);
        large.add(other.large);
        others.add(other.others);
        large_prompts.add(other.large_prompts);
        all.add(other.all);
        refused_alone += other.refused_alone;
        refused_begun += other.refused_begun;
    }
};

/// The queue of one gateway as gateway::wait_for_capacity uses it.
class simulated_queue
{
public:
    // A new request does not overtake those that wait already.
    static constexpr bool newcomers_wait = true;

    simulated_queue(policy_source const& policy, random_source& random)
        : queue_(policy, random)
    {
    }

    static queued_request make_entry(
        queued_request entry, answer_limits const& limits,
        answer_duration const& answer)
    {
        entry.received = limits.received;
        entry.target_start = target_start(limits, answer);
        entry.start_deadline = latest_start(limits, answer);
        entry.deadline = limits.deadline;
        return entry;
    }

    /// Whether it was refused by prediction, not because its answer would come
    /// too late even if it started at once.
    static bool predicted(queue_refusal const& refusal)
    {
        return refusal.predicted_wait != duration(0);
    }

    std::vector<queue_refusal> refusals(steady_time now)
    {
        auto refused = queue_.remove_expired(now);
        for (auto const& r : queue_.remove_unservable(now))
            refused.push_back(r);
        return refused;
    }

    void requeue(queued_request const& entry, steady_time)
    {
        queue_.requeue(entry);
    }

    request_queue& queue() { return queue_; }

private:
    request_queue queue_;
};

template<typename Queue>
class admission_simulation
{
public:
    static constexpr int gateway_count = 6;
    static constexpr int endpoint_count = 24;
    static constexpr int step_ms = 10;
    static constexpr int sweep_ms = 200;
    static constexpr std::uint64_t endpoint_memory = 88000;
    static constexpr double tokens_per_ms = 6.5;

    explicit admission_simulation(admission_load load)
        : load_(std::move(load)), arrivals_(load_.seed),
          random_(load_.seed + 1000)
    {
        for (int g = 0; g < gateway_count; ++g)
            gateways_.push_back(std::make_unique<Queue>(policy_, random_));
        endpoints_.resize(endpoint_count);
    }

    admission_results run()
    {
        for (now_ = 0; now_ < load_.end_ms + 40000; now_ += step_ms)
        {
            lose_endpoints();
            if (now_ < load_.end_ms)
                arrive();
            come_back();
            finish_work();
            give_up();
            for (std::size_t g = 0; g < gateways_.size(); ++g)
                dispatch((g + std::size_t(now_ / step_ms)) % gateways_.size());
        }
        return results_;
    }

private:
    enum class phase
    {
        away, // refused, returns later
        waiting,
        prefill,
        streaming,
        ended
    };

    struct caller
    {
        std::uint32_t rank = 0;
        std::string organisation;
        std::uint64_t tokens = 0;
        int first_sent = 0;
        int sent = 0; // of this request
        int deadline = 0;
        int stream_ms = 0;
        phase state = phase::away;
        bool returned = false;
        bool begun = false;
        std::size_t gateway = 0;
        std::size_t endpoint = 0;
        int phase_end = 0;
        int first_event = 0;
    };

    struct endpoint
    {
        bool lost = false;
        bool prefill = false;
        std::uint64_t used = 0;
    };

    struct route
    {
        int target;
        int gap;
        int deadline;
    };

    static route route_of(std::uint32_t rank)
    {
        static constexpr route routes[] = {
            {1800, 400, 15000}, {3000, 800, 25000}, {4000, 2000, 40000}};
        return routes[rank];
    }

    static int patience(std::uint32_t rank)
    {
        auto const r = route_of(rank);
        return std::max({2000, 4 * r.target, 8 * r.gap});
    }

    template<typename Change>
    void count(caller const& c, Change const& change)
    {
        change(results_.by_rank[c.rank]);
        change(c.organisation == "large" ? results_.large : results_.others);
        change(results_.all);
        if (c.tokens >= 24000)
            change(results_.large_prompts);
    }

    void end(caller& c, int caller_results::*result)
    {
        c.state = phase::ended;
        count(c, [&](caller_results& r) { ++(r.*result); });
    }

    void arrive()
    {
        bool const burst =
            now_ >= load_.burst_begin_ms && now_ < load_.burst_end_ms;
        // Prompts of 8,000 tokens on average.
        double const capacity = endpoint_count * tokens_per_ms / 8000;
        for (int organisation = 0; organisation < 10; ++organisation)
        {
            bool const large = organisation == 0;
            double rate = capacity * load_.load / 10;
            if (burst)
                rate *=
                    large ? load_.burst * load_.burst_of_large : load_.burst;
            double expected = rate * step_ms;
            for (; expected > 0; expected -= 1)
            {
                if (arrivals_.uniform() >= std::min(expected, 1.0))
                    continue;
                caller c;
                c.organisation =
                    large ? "large" : "o" + std::to_string(organisation);
                double const draw = arrivals_.uniform();
                c.rank = draw < 0.3 ? 0 : draw < 0.8 ? 1 : 2;
                c.tokens = arrivals_.uniform() < 0.05
                               ? 24000 + arrivals_.below(16000)
                               : 4000 + arrivals_.below(5260);
                c.first_sent = now_;
                c.deadline = now_ + route_of(c.rank).deadline;
                c.stream_ms = 3500 + int(arrivals_.below(2000));
                count(c, [](caller_results& r) { ++r.sent; });
                callers_.push_back(c);
                send(callers_.size() - 1);
            }
        }
    }

    void send(std::size_t i)
    {
        auto& c = callers_[i];
        c.sent = now_;
        c.gateway = random_.below(gateways_.size());
        bool const others_wait = gateways_[c.gateway]->queue().size() > 0;
        if ((!others_wait || !Queue::newcomers_wait) && start(i))
            return;
        wait(i);
    }

    answer_duration expected_answer(caller const& c) const
    {
        return {
            milliseconds(int(double(c.tokens) / tokens_per_ms)),
            milliseconds(4500)};
    }

    void wait(std::size_t i)
    {
        auto& c = callers_[i];
        auto const r = route_of(c.rank);
        answer_limits limits;
        limits.received = at(c.sent);
        limits.deadline = at(c.deadline);
        limits.first_byte_target = milliseconds(r.target);
        limits.event_gap_target = milliseconds(r.gap);
        limits.event_stream = true;
        queued_request e;
        e.id = ++last_id_;
        e.organisation = organisation_id(c.organisation);
        e.rank = c.begun ? 0 : c.rank;
        e.tokens = c.tokens;
        e.begun = c.begun;
        e = Queue::make_entry(e, limits, expected_answer(c));
        c.state = phase::waiting;
        waiting_[e.id] = i;
        auto& queue = gateways_[c.gateway]->queue();
        bool const alone = queue.size() == 0;
        if (auto const refusal = queue.enqueue(e, at(now_)))
        {
            results_.refused_alone +=
                alone && Queue::predicted(*refusal) ? 1 : 0;
            refuse(*refusal);
        }
    }

    void refuse(queue_refusal const& refusal)
    {
        auto& c = callers_[waiting_.at(refusal.id)];
        waiting_.erase(refusal.id);
        if (c.begun)
            ++results_.refused_begun;
        // Sent in tenths of a second, rounded up.
        int const after = int((refusal.retry_after.count() + 99) / 100) * 100;
        bool const honoured = after * 3 <= c.deadline - now_;
        if (!honoured)
            count(c, [](caller_results& r) { ++r.not_honoured; });
        if (c.returned || !honoured)
        {
            if (c.returned)
                count(c, [](caller_results& r) { ++r.refused_again; });
            end(c, &caller_results::refused);
            return;
        }
        c.returned = true;
        c.state = phase::away;
        c.phase_end = now_ + after;
    }

    void come_back()
    {
        for (std::size_t i = 0; i < callers_.size(); ++i)
        {
            auto const& c = callers_[i];
            if (c.state != phase::away || !c.returned || now_ < c.phase_end)
                continue;
            auto const second = std::size_t(now_ / 1000);
            results_.returns_per_second.resize(
                std::max(results_.returns_per_second.size(), second + 1));
            ++results_.returns_per_second[second];
            send(i);
        }
    }

    bool start(std::size_t i)
    {
        auto& c = callers_[i];
        std::size_t const first = random_.below(endpoints_.size());
        for (std::size_t n = 0; n < endpoints_.size(); ++n)
        {
            auto const at_endpoint = (first + n) % endpoints_.size();
            auto& e = endpoints_[at_endpoint];
            auto const memory = c.tokens + 650;
            if (e.lost || e.prefill ||
                (e.used > 0 &&
                 double(e.used + memory) > 0.85 * double(endpoint_memory)))
                continue;
            e.prefill = true;
            e.used += memory;
            c.endpoint = at_endpoint;
            c.state = phase::prefill;
            c.phase_end = now_ + int(double(c.tokens) / tokens_per_ms);
            return true;
        }
        return false;
    }

    void leave_endpoint(caller const& c)
    {
        auto& e = endpoints_[c.endpoint];
        if (c.state == phase::prefill)
            e.prefill = false;
        e.used -= c.tokens + 650;
    }

    void finish_work()
    {
        for (auto& c : callers_)
        {
            bool const active =
                c.state == phase::prefill || c.state == phase::streaming;
            if (!active || now_ < c.phase_end)
                continue;
            if (c.state == phase::prefill)
            {
                endpoints_[c.endpoint].prefill = false;
                c.state = phase::streaming;
                if (!c.begun)
                    c.first_event = now_;
                c.begun = true;
                c.phase_end = now_ + c.stream_ms;
                continue;
            }
            leave_endpoint(c);
            bool const in_time =
                c.first_event - c.sent <= route_of(c.rank).target;
            end(c, in_time ? &caller_results::in_time : &caller_results::late);
        }
    }

    void give_up()
    {
        for (std::size_t i = 0; i < callers_.size(); ++i)
        {
            auto& c = callers_[i];
            if (c.state == phase::ended || c.state == phase::away)
                continue;
            bool const too_long = !c.begun && now_ - c.sent > patience(c.rank);
            bool const over = now_ >= c.deadline;
            if (!too_long && !over)
                continue;
            if (c.state == phase::waiting)
                leave_queue(i);
            else
                leave_endpoint(c);
            end(c, over ? &caller_results::cut_off : &caller_results::gave_up);
        }
    }

    void leave_queue(std::size_t i)
    {
        for (auto const& [id, caller] : waiting_)
        {
            if (caller != i)
                continue;
            gateways_[callers_[i].gateway]->queue().erase(id);
            waiting_.erase(id);
            return;
        }
    }

    void lose_endpoints()
    {
        if (!load_.half_lost)
            return;
        bool const lost = now_ >= 10000 && now_ < 14000;
        for (std::size_t e = 0; e < endpoints_.size() / 2; ++e)
            endpoints_[e].lost = lost;
        if (now_ != 10000)
            return;
        for (std::size_t i = 0; i < callers_.size(); ++i)
        {
            auto& c = callers_[i];
            bool const active =
                c.state == phase::prefill || c.state == phase::streaming;
            if (!active || c.endpoint >= endpoints_.size() / 2)
                continue;
            leave_endpoint(c);
            if (!start(i))
                wait(i);
        }
    }

    void dispatch(std::size_t g)
    {
        // A gateway learns of freed endpoints from its own requests and from
        // the shares of others, many times a second.
        if (now_ % (4 * step_ms) != 0)
            return;
        auto& gateway = *gateways_[g];
        for (auto const& refusal : gateway.refusals(at(now_)))
            refuse(refusal);
        auto& queue = gateway.queue();
        while (auto const next = queue.pop(at(now_)))
        {
            if (!start(waiting_.at(next->id)))
            {
                gateway.requeue(*next, at(now_));
                return;
            }
            waiting_.erase(next->id);
        }
    }

    admission_load const load_;
    seeded_random arrivals_; // the same for each implementation of the queue
    seeded_random random_;
    fixed_policy const policy_;
    std::vector<std::unique_ptr<Queue>> gateways_;
    std::vector<endpoint> endpoints_;
    std::vector<caller> callers_;
    std::map<queue_entry_id, std::size_t> waiting_;
    queue_entry_id last_id_ = 0;
    int now_ = 0;
    admission_results results_;
};

} // namespace dotterellock::testing

#endif
