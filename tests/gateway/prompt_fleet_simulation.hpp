// A fleet of gateways and endpoints in simulated time, in which one prompt part
// crashes every endpoint that processes it, next to unrelated failures. Only
// prompt_quarantine is real.
#ifndef DOTTERELLOCK_TESTS_PROMPT_FLEET_SIMULATION_HPP
#define DOTTERELLOCK_TESTS_PROMPT_FLEET_SIMULATION_HPP

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include "gateway/prompt_quarantine.hpp"

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
    double observed = 120;             // after the fifth crash, s
    double give_up = 600;              // s; run without a fifth crash

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
          << reset_share;
        return s.str();
    }
};

struct fleet_result
{
    int crashes = 0;       // caused by the bad part
    int late_bad = 0;      // bad requests dispatched from 4 s after the fifth
    int late_sound = 0;    // sound requests from 8 s after the fifth
    int refused_sound = 0; // of these
    int refused_any = 0;   // sound requests refused at any time
    double longest_sound = 0; // longest time of refusals only, s
};

class fleet_simulation
{
public:
    explicit fleet_simulation(fleet_case const& c)
        : c_(c), random_(c.seed), gateways_(std::size_t(c.gateways)),
          endpoints_(std::size_t(c.endpoints))
    {
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
        double first_event = -1; // not yet
        bool proven = false;
        bool ended = false;
    };

    struct endpoint_model
    {
        double up_from = 0;
        std::vector<std::shared_ptr<attempt>> running;
    };

    static constexpr std::uint64_t bad_key = 666;

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

    std::size_t below(std::size_t n) { return random_() % n; }

    void schedule(double delay, std::function<void()> f)
    {
        events_.emplace(time_ + delay, std::move(f));
    }

    void arrive()
    {
        schedule(exponential(1 / c_.rate), [this] { arrive(); });
        auto r = std::make_shared<request>();
        r->bad = uniform(0, 1) < c_.bad_share && time_ >= c_.bad_from;
        r->gateway = below(gateways_.size());
        for (int i = 0; i < c_.parts; ++i)
        {
            auto const variant = below(std::size_t(c_.variants));
            bool const bad = r->bad && i == c_.bad_position;
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
            double const crash = c_.after_first_event ? first + uniform(0, 0.9)
                                                      : uniform(0.05, first);
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
        if (!a->proven)
        {
            gateways_[r->gateway].record_crash(
                endpoint_id("e" + std::to_string(a->endpoint)), r->parts,
                now());
            send(r->gateway);
        }
        if (r->attempts < c_.attempts)
            schedule(uniform(0.01, 0.1), [this, r] { dispatch(r); });
    }

    void crash(std::size_t endpoint)
    {
        auto& e = endpoints_[endpoint];
        if (e.up_from > time_)
            return;
        e.up_from = time_ + uniform(1.5, 4);
        auto const running = e.running;
        for (auto const& a : running)
            lose(a);
    }

    void crash_by_bad_part(std::size_t endpoint)
    {
        if (++result_.crashes == 5)
            fifth_ = time_;
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
        if (fifth_ < 0 || time_ < fifth_ + 8)
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
                    uniform(0.001, 0.2),
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
    std::vector<endpoint_model> endpoints_;
    std::multimap<double, std::function<void()>> events_;
    double time_ = 0;
    double fifth_ = -1;
    double refusing_since_ = -1;
    fleet_result result_;
};

} // namespace dotterellock::testing

#endif
