// A fleet of rollout coordinators on a manual clock, with a store, links and
// endpoints that a test can disturb. Counts what reaches the candidate.
#ifndef DOTTERELLOCK_TESTS_ROLLOUT_FLEET_HPP
#define DOTTERELLOCK_TESTS_ROLLOUT_FLEET_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "gateway/rollout_coordinator.hpp"
#include "gateway_fixture.hpp"
#include "silent_listeners.hpp"

namespace dotterellock::testing
{

struct rollout_case
{
    int length_ms = 20000;
    double per_second = 200;
    double background = 0.03; // share of failed answers of both versions
    double failing = 0;       // of the candidate, beyond the background
    double slower = 1;
    int bad_from_ms = 0;
    bool one_route = false;
    int latency_ms = 40;
    std::size_t old_endpoints = 6;

    // Return true while the fault lasts, for a gateway and a time since the
    // order. Linked: whether datagrams pass between two gateways.
    std::function<bool(int, int, int)> linked = [](int, int, int)
    { return true; };
    std::function<bool(int, int)> store_down = [](int, int) { return false; };
    std::function<bool(int, int)> frozen = [](int, int) { return false; };
    std::function<bool(int, int)> restarts = [](int, int) { return false; };
    std::function<std::size_t(int)> candidates = [](int)
    { return std::size_t(6); };
    int store_delay_ms = 5;
    double lost_responses = 0;
};

class rollout_fleet
{
public:
    static constexpr int size = 21;
    static constexpr int step_ms = 10;

    rollout_fleet(rollout_case c, unsigned seed)
        : case_(std::move(c)), random_(seed), gateways_(size)
    {
        for (int g = 0; g < size; ++g)
            start(g, -5000);
    }

    // Results, until 3 s after the deadline.
    int requests = 0;
    int exposed = 0;
    int exposed_late = 0;      // more than 5 s after the 50th bad answer
    int exposed_after_end = 0; // more than 3 s after the row showed it
    int unserved = 0;          // attempts without an endpoint that may be used
    int bad_answers = 0;
    std::optional<rollout_status> row;
    int ended_ms = -1; // when the row showed the end

    void run()
    {
        for (now_ = -2000; now_ < case_.length_ms + 3000; now_ += step_ms)
        {
            while (!events_.empty() && events_.begin()->first <= now_)
            {
                auto const event = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                event();
            }
            std::poisson_distribution<int> arrivals(
                case_.per_second * step_ms / 1000);
            for (int n = arrivals(random_); n > 0; --n)
                request();
            for (int g = 0; g < size; ++g)
                step(g);
        }
    }

    bool within_share() const
    {
        rollout_settings const s;
        return exposed <= s.exposure_share * requests + s.exposure_slack;
    }

private:
    struct gateway
    {
        std::unique_ptr<rollout_coordinator> coordinator;
        int incarnation = 0;
        int order_at_ms = 0;
        int call_until_ms = -10000; // one call to the store at a time
        std::map<std::string, std::uint32_t> in_flight;
    };

    void start(int g, int order_ms)
    {
        auto& x = gateways_[std::size_t(g)];
        rollout_settings settings;
        settings.enabled = true;
        x.coordinator = std::make_unique<rollout_coordinator>(settings, log_);
        x.coordinator->set_fleet_size(size);
        x.in_flight.clear();
        ++x.incarnation;
        x.call_until_ms = now_;
        x.order_at_ms = order_ms < 0 ? int(random_() % 60) * step_ms : order_ms;
    }

    endpoints_by_version endpoints(gateway& x)
    {
        endpoints_by_version result;
        if (!completed_)
            result["v1"] = {case_.old_endpoints, x.in_flight["v1"]};
        if (auto const n = case_.candidates(now_))
            result["v2"] = {n, x.in_flight["v2"]};
        return result;
    }

    void step(int g)
    {
        auto& x = gateways_[std::size_t(g)];
        if (case_.frozen(g, now_))
            return;
        if (case_.restarts(g, now_))
            start(g, now_ + 300);
        auto& c = *x.coordinator;
        if (now_ >= 0 && now_ == x.order_at_ms)
        {
            rollout_order o{
                service, "v2", milliseconds(case_.length_ms), 7,
                x.incarnation > 1 ? steady_time{} : at(-400)};
            c.on_order(o, at(now_));
        }
        if ((now_ / step_ms + g) % 10 == 0) // every 100 ms
            c.update({{service, endpoints(x)}}, at(now_));
        bool const urgent = c.take_urgent();
        if (urgent || (now_ / step_ms + g) % 25 == 0) // every 250 ms
            for (auto const& e : c.evidence(at(now_)))
                for (int to = 0; to < size; ++to)
                    if (to != g && case_.linked(g, to, now_))
                        send(g, to, e);
        if (now_ >= x.call_until_ms)
            call_store(g, x);
    }

    void send(int from, int to, rollout_evidence const& e)
    {
        events_.emplace(
            now_ + 3 + int(random_() % 40),
            [this, from, to, e]
            {
                auto& x = gateways_[std::size_t(to)];
                if (!case_.frozen(to, now_))
                    x.coordinator->on_evidence(
                        host_id(std::to_string(from)), e, at(now_));
            });
    }

    void call_store(int g, gateway& x)
    {
        auto const unread = !x.coordinator->unread_status().empty();
        auto const write =
            x.coordinator->due_write(service, std::size_t(g), at(now_));
        if (!unread && !write)
            return;
        x.call_until_ms = now_ + 500; // time-out
        if (case_.store_down(g, now_))
            return;
        if (write && write->expected_revision == row_revision_)
        {
            row = write->status;
            row_revision_ += 3;
            completed_ = completed_ || row->state == rollout_state::completed;
            if (row->state != rollout_state::running && ended_ms < 0)
                ended_ms = now_;
        }
        if (uniform() < case_.lost_responses)
            return;
        events_.emplace(
            now_ + case_.store_delay_ms,
            [this, &x, i = x.incarnation, r = row, v = row_revision_]
            {
                if (i != x.incarnation)
                    return;
                x.call_until_ms = now_;
                x.coordinator->on_status_row(service, r, v, at(now_));
            });
    }

    void request()
    {
        int const g = int(random_() % size);
        if (case_.frozen(g, now_))
            return;
        if (now_ >= 0 && now_ < case_.length_ms)
            ++requests;
        gateways_[std::size_t(g)].coordinator->on_request(service, at(now_));
        attempt(g, int(random_() % 5), 2);
    }

    void attempt(int g, int route, int attempts)
    {
        auto& x = gateways_[std::size_t(g)];
        auto const listed = endpoints(x);
        auto const choice = x.coordinator->choose(service, listed, at(now_));
        auto version = choice.version;
        if (choice.kind == version_choice::rule::any)
            version = listed.begin()->first;
        if (listed.count(version) == 0)
        {
            ++unserved;
            return;
        }
        x.coordinator->on_attempt(service, version, at(now_));
        bool const candidate = version == "v2";
        bool const ended = ended_ms >= 0;
        if (candidate && ended && now_ > ended_ms + 3000)
            ++exposed_after_end;
        if (candidate && !(ended && row->state == rollout_state::completed))
        {
            ++exposed;
            bool const late =
                fiftieth_bad_ms_ && now_ > *fiftieth_bad_ms_ + 5000;
            exposed_late += late ? 1 : 0;
        }
        bool const affected = candidate && now_ >= case_.bad_from_ms &&
                              (!case_.one_route || route == 2);
        bool const injected = affected && uniform() < case_.failing;
        bool const failed = injected || uniform() < case_.background;
        double const factor = affected ? case_.slower : 1;
        int const latency = int(
            factor * case_.latency_ms * (0.5 + uniform()) * (1 + 0.3 * route));
        ++x.in_flight[version];
        events_.emplace(
            now_ + latency,
            [=, &x, i = x.incarnation]
            {
                if (injected || factor > 1)
                    if (++bad_answers == 50)
                        fiftieth_bad_ms_ = now_;
                if (i != x.incarnation)
                    return;
                --x.in_flight[version];
                x.coordinator->on_answer(
                    service,
                    {"/" + std::to_string(route), version, failed, false,
                     milliseconds(latency)},
                    at(now_));
                if (failed && attempts > 1)
                    attempt(g, route, attempts - 1);
            });
    }

    double uniform() { return double(random_()) / 4294967296.0; }

    service_name const service{"api"};
    rollout_case case_;
    std::mt19937 random_;
    silent_log log_;
    int now_ = -2000;
    std::vector<gateway> gateways_;
    std::multimap<int, std::function<void()>> events_;
    std::uint64_t row_revision_ = 0;
    bool completed_ = false; // the old endpoints stop at once
    std::optional<int> fiftieth_bad_ms_;
};

} // namespace dotterellock::testing

#endif
