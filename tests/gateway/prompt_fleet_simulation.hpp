// A fleet of gateways and endpoints in simulated time, in which one prompt part
// crashes every endpoint that processes it, next to unrelated failures. Only
// prompt_quarantine and suspected_crashes are real.
#ifndef DOTTERELLOCK_TESTS_PROMPT_FLEET_SIMULATION_HPP
#define DOTTERELLOCK_TESTS_PROMPT_FLEET_SIMULATION_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/prompt_quarantine.hpp"
#include "gateway/suspected_crashes.hpp"

namespace dotterellock::testing
{

struct fleet_case
{
    std::uint32_t seed = 1;
    int gateways = 5;
    bool ring = false; // gateways exchange with two neighbours only
    int endpoints = 12;
    double rate = 2;        // requests a second
    double bad_share = 0.2; // of the requests
    int parts = 4;          // shared ones
    int bad_position = 2;
    int variants = 2; // sound parts at each other position
    int attempts = 3;
    bool after_first_event = false;    // when the bad part crashes
    double zone_loss_interval = 0;     // mean, s; 0: never
    double endpoint_loss_interval = 0; // mean, s; 0: never
    double reset_share = 0;            // of the attempts
    double bad_from = 0;               // first request with the bad part, s
    bool sound_before = false; // the bad part is in use before, and sound
    int bad_requests = std::numeric_limits<int>::max();
    double restart_min = 1.5; // of an endpoint, s
    double restart_max = 4;
    double reused_share = 0;        // of the attempts, on reused connections
    double quick_share = 0;         // of the crashes, within reuse_race_window
    double late_evidence_share = 0; // of the datagrams, by some seconds
    double power_loss_after = 0;    // of all gateways, after the fifth crash, s
    double observed = 120;          // after the fifth crash, s
    double give_up = 600;           // s; run without a fifth crash

    std::string describe() const
    {
        std::ostringstream s;
        s << "seed " << seed << " gateways " << gateways
          << (ring ? " ring" : "") << " endpoints " << endpoints << " rate "
          << rate << " bad share " << bad_share << " parts " << parts
          << " position " << bad_position << " variants " << variants
          << " attempts " << attempts
          << (after_first_event ? " after" : " before")
          << " first event; zone loss " << zone_loss_interval
          << " s, endpoint loss " << endpoint_loss_interval << " s, resets "
          << reset_share << ", bad from " << bad_from << " s"
          << (sound_before ? " (sound before)" : "") << " in at most "
          << bad_requests << " requests, restart " << restart_min << " to "
          << restart_max << " s, reused " << reused_share << ", quick "
          << quick_share << ", late evidence " << late_evidence_share
          << ", power loss " << power_loss_after << " s, observed " << observed
          << " s";
        return s.str();
    }
};

struct fleet_result
{
    int crashes = 0;    // caused by the bad part
    int late_bad = 0;   // bad requests dispatched from 4 s after the fifth
    int late_sound = 0; // sound requests from 8 s after the fifth or the last
    int refused_sound = 0;    // of these
    int refused_any = 0;      // sound requests refused at any time
    double longest_sound = 0; // longest time of refusals only, s
};

class fleet_simulation
{
public:
    explicit fleet_simulation(fleet_case const& c)
        : c_(c), random_(c.seed), gateways_(std::size_t(c.gateways)),
          suspicions_(std::size_t(c.gateways)),
          endpoints_(std::size_t(c.endpoints))
    {
        for (std::size_t i = 0; i < endpoints_.size(); ++i)
            register_incarnation(i);
    }

    fleet_result run()
    {
        schedule(0, [this] { arrive(); });
        schedule(0.25, [this] { exchange_all(); });
        if (c_.zone_loss_interval > 0)
            schedule(
                exponential(c_.zone_loss_interval), [this] { lose_zone(); });
        if (c_.endpoint_loss_interval > 0)
            schedule(
                exponential(c_.endpoint_loss_interval),
                [this] { lose_endpoint(); });
        while (!events_.empty())
        {
            auto const first = events_.begin();
            time_ = first->first;
            if (time_ > end())
                break;
            auto const run_event = std::move(first->second);
            events_.erase(first);
            run_event();
        }
        return result_;
    }

private:
    struct request
    {
        prompt_part_keys parts;
        bool bad = false;
        std::size_t gateway = 0;
        int attempts = 0;
        bool counted = false;
    };

    struct attempt
    {
        std::shared_ptr<request> of;
        std::size_t endpoint = 0;
        double sent = 0;
        std::shared_ptr<endpoint_state> known_as;
        bool reused_connection = false;
        double first_event = -1; // not yet
        bool proven = false;
        bool ended = false;
    };

    struct endpoint_model
    {
        double up_from = 0;
        std::vector<std::shared_ptr<attempt>> running;
        std::shared_ptr<endpoint_state> registered; // incarnation
    };

    static constexpr std::uint64_t bad_key = 666;

    // As in relay_exchange.
    static constexpr double reuse_race_window = 0.06;

    // Of one endpoint, as in gateway.
    static constexpr double check_interval = 0.25;

    double end() const
    {
        return fifth_ < 0 ? c_.give_up : fifth_ + c_.observed;
    }

    steady_time now() const
    {
        return steady_time{} + std::chrono::hours(2) +
               std::chrono::duration_cast<duration>(
                   std::chrono::duration<double>(time_));
    }

    steady_time at(double t) const
    {
        return now() - std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>(time_ - t));
    }

    double uniform(double low, double high)
    {
        return low + (high - low) * (double(random_()) / 4294967296.0);
    }

    double exponential(double mean)
    {
        return -mean * std::log(1 - uniform(0, 1));
    }

    bool happens(double probability)
    {
        return probability > 0 && uniform(0, 1) < probability;
    }

    std::size_t below(std::size_t n) { return random_() % n; }

    void schedule(double delay, std::function<void()> f)
    {
        events_.emplace(time_ + delay, std::move(f));
    }

    void arrive()
    {
        schedule(exponential(1 / c_.rate), [this] { arrive(); });
        auto r = std::make_shared<request>();
        bool const chosen = uniform(0, 1) < c_.bad_share;
        r->bad =
            chosen && time_ >= c_.bad_from && bad_requests_ < c_.bad_requests;
        bad_requests_ += r->bad ? 1 : 0;
        bool const has_part =
            r->bad || (chosen && c_.sound_before && time_ < c_.bad_from);
        r->gateway = below(gateways_.size());
        for (int i = 0; i < c_.parts; ++i)
        {
            auto const variant = below(std::size_t(c_.variants));
            bool const bad = has_part && i == c_.bad_position;
            r->parts.push_back(
                bad ? bad_key : 1000 + std::uint64_t(i) * 100 + variant);
        }
        dispatch(r);
    }

    void dispatch(std::shared_ptr<request> const& r)
    {
        bool const refused =
            gateways_[r->gateway].quarantined_for(r->parts, now()).has_value();
        if (!r->bad && r->attempts == 0)
            count_sound(refused);
        if (refused)
            return;
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < endpoints_.size(); ++i)
            if (endpoints_[i].up_from <= time_)
                up.push_back(i);
        if (up.empty())
        {
            schedule(0.1, [this, r] { retry_later(r); });
            return;
        }
        if (r->bad && fifth_ >= 0 && time_ > fifth_ + 4 && !r->counted)
        {
            r->counted = true;
            ++result_.late_bad;
        }
        ++r->attempts;
        auto a = std::make_shared<attempt>();
        a->of = r;
        a->endpoint = up[below(up.size())];
        a->sent = time_;
        a->known_as = endpoints_[a->endpoint].registered;
        a->reused_connection = happens(c_.reused_share);
        endpoints_[a->endpoint].running.push_back(a);
        run_attempt(a);
    }

    // A request waits for an endpoint for some seconds.
    void retry_later(std::shared_ptr<request> const& r)
    {
        if (uniform(0, 1) < 0.98)
            dispatch_queued(r);
    }

    void dispatch_queued(std::shared_ptr<request> const& r)
    {
        bool const first = r->attempts == 0;
        r->attempts += first ? 100 : 0; // not counted as an arrival again
        dispatch(r);
        r->attempts -= first ? 100 : 0;
    }

    void run_attempt(std::shared_ptr<attempt> const& a)
    {
        double const first = uniform(0.1, 0.8);
        double const length = uniform(0.3, 6);
        if (a->of->bad)
        {
            double crash = c_.after_first_event ? first + uniform(0, 0.9)
                                                : uniform(0.05, first);
            if (happens(c_.quick_share))
                crash = uniform(0.01, reuse_race_window);
            if (crash >= first)
                schedule(first, [this, a] { a->first_event = time_; });
            schedule(
                crash,
                [this, a]
                {
                    if (!a->ended)
                        crash_by_bad_part(a->endpoint);
                });
            return;
        }
        if (uniform(0, 1) < c_.reset_share)
            schedule(uniform(0.01, first + length), [this, a] { lose(a); });
        schedule(first, [this, a] { a->first_event = time_; });
        schedule(first + std::min(length, 1.0), [this, a] { prove(a); });
        schedule(first + length, [this, a] { finish(a); });
    }

    void prove(std::shared_ptr<attempt> const& a)
    {
        if (a->ended)
            return;
        a->proven = true;
        gateways_[a->of->gateway].record_proof(
            a->of->parts, at(a->first_event), now());
    }

    void finish(std::shared_ptr<attempt> const& a)
    {
        if (a->ended)
            return;
        a->ended = true;
        forget(a);
    }

    void forget(std::shared_ptr<attempt> const& a)
    {
        auto& running = endpoints_[a->endpoint].running;
        running.erase(
            std::remove(running.begin(), running.end(), a), running.end());
    }

    void lose(std::shared_ptr<attempt> const& a)
    {
        if (a->ended)
            return;
        a->ended = true;
        forget(a);
        auto const& r = a->of;
        bool const suspected = a->reused_connection && a->first_event < 0 &&
                               time_ - a->sent < reuse_race_window;
        if (suspected)
            suspect(*a);
        else if (!a->proven)
            record_crash(r->gateway, a->endpoint, r->parts, now());
        if (r->attempts < c_.attempts)
            schedule(uniform(0.01, 0.1), [this, r] { dispatch(r); });
    }

    void record_crash(
        std::size_t gateway, std::size_t endpoint,
        prompt_part_keys const& parts, steady_time when)
    {
        gateways_[gateway].record_crash(
            endpoint_id("e" + std::to_string(endpoint)), parts, when, now());
        send(gateway);
    }

    void suspect(attempt const& a)
    {
        suspicions_[a.of->gateway].add(
            {request_id("r"), a.known_as, a.of->parts, now()});
        schedule(
            uniform(0, 0.02), [this, gateway = a.of->gateway, e = a.endpoint,
                               t = time_] { check_suspected(gateway, e, t); });
    }

    void
    check_suspected(std::size_t gateway, std::size_t endpoint, double suspected)
    {
        auto& suspicions = suspicions_[gateway];
        auto const& e = endpoints_[endpoint];
        suspicions.remove_expired(now());
        auto crashes = suspicions.confirm_replaced(
            [&](endpoint_state const& known)
            {
                return known.record().id == e.registered->record().id &&
                       &known != e.registered.get();
            });
        auto const undecided = suspicions.undecided();
        bool const check =
            std::find(undecided.begin(), undecided.end(), e.registered) !=
            undecided.end();
        if (check && e.up_from > time_)
            for (auto& c : suspicions.confirm(*e.registered))
                crashes.push_back(std::move(c));
        else if (check)
            suspicions.record_alive(*e.registered, now());
        for (auto const& c : crashes)
            record_crash(gateway, endpoint, c.parts, c.at);
        if (time_ < suspected + 10)
            schedule(
                check_interval, [this, gateway, endpoint, suspected]
                { check_suspected(gateway, endpoint, suspected); });
    }

    void register_incarnation(std::size_t endpoint)
    {
        endpoint_record record;
        record.id = endpoint_id("e" + std::to_string(endpoint));
        endpoints_[endpoint].registered =
            std::make_shared<endpoint_state>(std::move(record));
    }

    void crash(std::size_t endpoint)
    {
        auto& e = endpoints_[endpoint];
        if (e.up_from > time_)
            return;
        e.up_from = time_ + uniform(c_.restart_min, c_.restart_max);
        auto const running = e.running;
        for (auto const& a : running)
            lose(a);
        // A new incarnation is registered some time after its start.
        if (c_.reused_share > 0)
            schedule(
                e.up_from - time_ + uniform(0.1, 1),
                [this, endpoint] { register_incarnation(endpoint); });
    }

    void lose_power()
    {
        for (auto& gateway : gateways_)
            gateway = prompt_quarantine();
    }

    void crash_by_bad_part(std::size_t endpoint)
    {
        if (++result_.crashes == 5)
        {
            fifth_ = time_;
            if (c_.power_loss_after > 0)
                schedule(c_.power_loss_after, [this] { lose_power(); });
        }
        if (fifth_ < 0)
        {
            last_of_few_ = time_;
            result_.late_sound = 0;
            result_.refused_sound = 0;
        }
        crash(endpoint);
    }

    void lose_zone()
    {
        schedule(exponential(c_.zone_loss_interval), [this] { lose_zone(); });
        auto const zone = below(3);
        for (std::size_t i = zone; i < endpoints_.size(); i += 3)
            schedule(uniform(0, 0.3), [this, i] { crash(i); });
    }

    void lose_endpoint()
    {
        schedule(
            exponential(c_.endpoint_loss_interval),
            [this] { lose_endpoint(); });
        crash(below(endpoints_.size()));
    }

    void count_sound(bool refused)
    {
        if (refused)
        {
            ++result_.refused_any;
            if (refusing_since_ < 0)
                refusing_since_ = time_;
            result_.longest_sound =
                std::max(result_.longest_sound, time_ - refusing_since_);
        }
        else
            refusing_since_ = -1;
        double const since = fifth_ < 0 ? last_of_few_ : fifth_;
        if (since < 0 || time_ < since + 8)
            return;
        ++result_.late_sound;
        result_.refused_sound += refused ? 1 : 0;
    }

    void exchange_all()
    {
        schedule(0.25, [this] { exchange_all(); });
        for (std::size_t i = 0; i < gateways_.size(); ++i)
        {
            gateways_[i].remove_expired(now());
            send(i);
        }
    }

    void send(std::size_t from)
    {
        auto const evidence = gateways_[from].evidence(now());
        if (evidence.parts.empty())
            return;
        auto const n = gateways_.size();
        for (std::size_t to = 0; to < n; ++to)
        {
            bool const neighbour = to == (from + 1) % n || from == (to + 1) % n;
            if (to == from || (c_.ring && !neighbour))
                continue;
            double copies = uniform(0, 1);
            if (copies < 0.2) // lost
                continue;
            for (int i = 0; i < (copies > 0.9 ? 2 : 1); ++i)
                schedule(
                    happens(c_.late_evidence_share) ? uniform(1, 3)
                                                    : uniform(0.001, 0.2),
                    [this, to, evidence]
                    {
                        if (gateways_[to].merge(evidence, now()) && c_.ring)
                            send(to);
                    });
        }
    }

    fleet_case c_;
    std::mt19937 random_;
    std::vector<prompt_quarantine> gateways_;
    std::vector<suspected_crashes> suspicions_; // of the gateways
    std::vector<endpoint_model> endpoints_;
    std::multimap<double, std::function<void()>> events_;
    double time_ = 0;
    double fifth_ = -1;
    double last_of_few_ = -1; // the last crash before the fifth
    int bad_requests_ = 0;
    double refusing_since_ = -1;
    fleet_result result_;
};

} // namespace dotterellock::testing

#endif
