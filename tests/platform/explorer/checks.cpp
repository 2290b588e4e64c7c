// Index: helpers; ends of requests; contents of answers; runs; keys and routes;
// departures; retry budget; process.
#include "checks.hpp"

#include <algorithm>
#include <map>

namespace dotterellock::testing::explorer
{

namespace
{

// Times are checked every 20 ms, on a loopback without delay.
constexpr milliseconds tolerance{100};

// The gateway ends what is left this long before the end of its grace period.
constexpr milliseconds exit_margin{400};

// Changes of the list are read within this time.
constexpr milliseconds reading_time{1000};

// A copy of the configuration that is older says nothing about keys and routes.
constexpr milliseconds refusal_age{3200};

milliseconds route_limit(route_kind route)
{
    bool const stream = route == route_kind::stream ||
                        route == route_kind::stream_once ||
                        route == route_kind::prompt;
    return milliseconds(stream ? 8000 : 5000);
}

bool may_repeat(route_kind route)
{
    return route != route_kind::unsafe && route != route_kind::stream_once;
}

bool means_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

std::string text_of(steady_time t)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(
                              t.time_since_epoch() - std::chrono::hours(1))
                              .count());
}

class checker
{
public:
    checker(observations const& seen, platform_bounds const& bounds)
        : seen_(seen), bounds_(bounds)
    {
        for (auto const& r : seen.runs)
            runs_[r.id].push_back(&r);
    }

    std::vector<violation> run()
    {
        for (auto const& c : seen_.connections)
            check_connection(c);
        for (auto const& r : seen_.requests)
        {
            check_answer(r);
            check_runs(r);
        }
        for (auto const& r : seen_.runs)
            check_forwarded(r);
        check_key();
        check_departures();
        check_budget();
        check_process();
        check_calm();
        return std::move(found_);
    }

private:
    using run_list = std::vector<endpoint_run const*>;

    // Helpers ---------------------------------------------------------------

    void fail(char const* rule, std::string detail)
    {
        found_.push_back({rule, std::move(detail)});
    }

    run_list const& runs_of(caller_request const& r) const
    {
        static run_list const none;
        auto const found = runs_.find(r.id);
        return found == runs_.end() ? none : found->second;
    }

    std::vector<key_change> const& changes_of(std::string const& key) const
    {
        static std::vector<key_change> const none;
        auto const found = seen_.keys.find(key);
        return found == seen_.keys.end() ? none : found->second;
    }

    /// The time, put off by pauses of the process that reach into it.
    steady_time after_pauses(steady_time t) const
    {
        for (auto const& j : seen_.jumps)
        {
            if (j.from <= t && j.to + tolerance > t)
                t = j.to + tolerance;
        }
        return t;
    }

    bool grace_over(steady_time t) const
    {
        return seen_.stopped &&
               t >= *seen_.stopped + platform_bounds::grace - exit_margin;
    }

    bool store_well(steady_time from, steady_time to) const
    {
        return std::none_of(
            seen_.store_faults.begin(), seen_.store_faults.end(),
            [&](interval const& f) { return f.from <= to && f.to >= from; });
    }

    bool running(steady_time from, steady_time to) const
    {
        return std::none_of(
            seen_.jumps.begin(), seen_.jumps.end(),
            [&](interval const& j)
            { return j.from <= to && j.to + tolerance >= from; });
    }

    /// A run for which no proof that it did not run has arrived by `t`.
    static bool may_have_run(endpoint_run const& r, steady_time t)
    {
        return r.whole && *r.whole <= t &&
               !(r.proves_not_run && r.sent && *r.sent <= t);
    }

    // Ends of requests ------------------------------------------------------

    void check_connection(caller_connection const& c)
    {
        if (!c.surplus.empty())
            fail(
                "a request has one answer",
                "surplus: " + c.surplus.substr(0, 80));
        std::optional<steady_time> previous_end;
        for (auto const index : c.requests)
        {
            auto const& r = seen_.requests[index];
            if (!r.whole_readable)
            {
                check_partial(r);
                break;
            }
            if (r.told_of_close || (c.left && !r.ended))
                break;
            check_end(c, r, previous_end);
            if (!r.ended)
                break; // those behind it end with their connection
            if (r.answer.header("connection") == "close" &&
                r.answer.header("response-seal").empty() &&
                r.answer.status() != 503 && r.answer.status() < 500)
                break; // what follows a request in error is not read
            previous_end = r.ended;
        }
    }

    void check_partial(caller_request const& r)
    {
        auto const status = r.answer.status();
        if (r.ended && status != 408 && status != 413 && status != 503)
            fail(
                "only whole requests are served",
                r.id + ": status " + std::to_string(status));
    }

    milliseconds limit_of(caller_request const& r) const
    {
        return std::min(r.deadline, route_limit(r.route));
    }

    void check_end(
        caller_connection const& c, caller_request const& r,
        std::optional<steady_time> previous_end)
    {
        auto const began = *r.began_readable;
        auto const begins = std::max(began, previous_end.value_or(began));
        auto const due = std::max(begins + limit_of(r), *r.whole_readable);
        auto const limit = after_pauses(due + tolerance);
        auto const ended = r.ended ? r.ended : c.closed;
        if (!r.limited_by_reading && ended.value_or(seen_.ended) > limit)
            fail(
                "every request ends in time",
                r.id + ": due " + text_of(due) + ", ended " +
                    (ended ? text_of(*ended) : "never"));
        if (r.limited_by_reading && !ended)
            fail("every request ends", r.id);
        auto const& runs = runs_of(r);
        bool const cut_by_stop =
            seen_.stopped && *r.whole_readable > *seen_.stopped && ended &&
            grace_over(*ended) && r.answer.header("response-seal").empty();
        if (cut_by_stop && !may_repeat(r.route) && !runs.empty() &&
            running(*seen_.stopped, *ended))
            fail("a stop takes nothing that may run once and be cut", r.id);
        if (r.ended || !c.closed)
            return;
        bool const faulty =
            std::any_of(
                runs.begin(), runs.end(),
                [](endpoint_run const* run) { return run->faulty; }) &&
            !refused_after_suspicion(runs);
        // The gateway may have written the answer before it long ago.
        auto const earliest = r.limited_by_reading ? began + limit_of(r) : due;
        bool const explained = r.begun && (faulty || *c.closed >= earliest);
        // A caller that does not read may send when the connection has been
        // closed or the close announced.
        bool const crossed = !r.begun && r.sent_unread;
        if (!explained && !crossed && !grace_over(*c.closed))
            fail(
                r.begun ? "an answer is not broken off without a fault"
                        : "a request that was read is answered or refused",
                r.id + ": closed " + text_of(*c.closed));
    }

    /// Whether an attempt was abandoned for a silence of less than two seconds
    /// and the next endpoint refused, once. A further retry is held back then.
    bool refused_after_suspicion(run_list const& runs) const
    {
        constexpr milliseconds longest_sound_silence{2000};
        constexpr milliseconds refusal_wait{1000};
        if (runs.size() != 2 || seen_.refused_connections)
            return false;
        auto const& first = *runs[0];
        auto const& second = *runs[1];
        return !first.faulty && first.cut && first.last_byte &&
               *first.cut - *first.last_byte < longest_sound_silence &&
               running(first.began, *first.cut) && second.proves_not_run &&
               second.sent && *second.sent - second.began < refusal_wait &&
               running(second.began, *second.sent);
    }

    // Contents of answers ---------------------------------------------------

    void check_answer(caller_request const& r)
    {
        auto const& a = r.answer;
        if (!r.begun)
            return;
        if (a.malformed)
            fail("answers are well formed", r.id);
        auto const id = a.header("request-id");
        if (!id.empty() && id != r.id)
            fail("an answer is that of its request", r.id + ": " + id);
        auto const seal = a.header("response-seal");
        if (seal.empty())
        {
            check_own_answer(r);
            return;
        }
        auto const& runs = runs_of(r);
        auto const run = std::find_if(
            runs.begin(), runs.end(),
            [&seal](endpoint_run const* x) { return x->tag == seal; });
        if (run == runs.end())
        {
            fail("an answer is that of its request", r.id + ": " + seal);
            return;
        }
        if (means_not_run(a.status()))
            check_refusal(r);
        if (a.status() != (*run)->status)
            fail("answers are unchanged", r.id + ": status");
        if ((*run)->streaming)
            check_events(r, runs);
        else
            check_whole_answer(r, **run);
    }

    void check_whole_answer(caller_request const& r, endpoint_run const& run)
    {
        auto const& body = r.answer.body;
        if (run.body.compare(0, body.size(), body) != 0)
            fail("an answer comes from one endpoint", r.id);
        else if (
            r.ended && body.size() != run.body.size() && !run.end_looks_whole)
            fail(
                "answers are whole", r.id + ": " + std::to_string(body.size()) +
                                         " of " +
                                         std::to_string(run.body.size()));
    }

    /// Events are "data: TAG-N" with N from 1 on.
    void check_events(caller_request const& r, run_list const& runs)
    {
        std::uint64_t next = 1;
        std::string last_tag;
        std::size_t at = 0;
        auto const& body = r.answer.body;
        for (;;)
        {
            auto const end = body.find("\n\n", at);
            if (end == std::string::npos)
                break;
            auto const text = body.substr(at, end - at);
            at = end + 2;
            auto const data = text.find("data: ");
            auto const dash = text.rfind('-');
            if (data == std::string::npos || dash == std::string::npos)
            {
                fail("events are unchanged", r.id + ": " + text);
                return;
            }
            auto const tag = text.substr(data + 6, dash - data - 6);
            auto const number =
                std::strtoull(text.c_str() + dash + 1, nullptr, 10);
            if (number != next)
            {
                fail(
                    "events come once and in order",
                    r.id + ": " + text + " instead of " + std::to_string(next));
                return;
            }
            ++next;
            if (!last_tag.empty() && tag != last_tag &&
                r.route == route_kind::stream_once)
                fail("an answer comes from one endpoint", r.id);
            last_tag = tag;
        }
        if (r.ended && at != body.size())
            fail("events are whole", r.id + ": " + body.substr(at));
        bool const ended = std::any_of(
            runs.begin(), runs.end(),
            [next](endpoint_run const* run)
            {
                return run->streaming &&
                       ((run->ended_in_order && run->next_event == next) ||
                        (run->end_looks_whole && run->next_event >= next));
            });
        if (r.ended && !ended)
            fail(
                "streams end with their last event",
                r.id + ": ended after " + std::to_string(next - 1));
    }

    void check_refusal(caller_request const& r)
    {
        for (auto const* run : runs_of(r))
        {
            if (may_have_run(*run, *r.begun))
                fail(
                    "refused means not run",
                    r.id + ": status " + std::to_string(r.answer.status()) +
                        ", ran as " + run->tag);
        }
    }

    /// An answer that the gateway made itself.
    void check_own_answer(caller_request const& r)
    {
        auto const status = r.answer.status();
        if (means_not_run(status))
            check_refusal(r);
        bool allowed = false;
        switch (status)
        {
        case 503:
        case 502:
            allowed = true;
            break;
        case 504:
            allowed = *r.begun >= *r.began + limit_of(r);
            break;
        case 408:
            allowed = !r.whole || r.limited_by_reading || *r.whole >= *r.begun;
            break;
        case 413:
            allowed = seen_.small_body_limit && r.body.size() > 1000;
            break;
        case 401:
            allowed = r.route != route_kind::open &&
                      was_absent(changes_of(r.key), *r.begun);
            break;
        case 404:
            allowed = r.route == route_kind::safe &&
                      was_absent(seen_.safe_routes, *r.begun);
            break;
        default:
            break;
        }
        if (!allowed)
            fail(
                "the gateway's own answers have a reason",
                r.id + ": " + r.answer.start_line);
    }

    /// Whether it did not exist at some time within the age up to which a copy
    /// may be used for a refusal.
    bool was_absent(std::vector<key_change> const& changes, steady_time t) const
    {
        bool valid = true;
        bool absent = false;
        for (auto const& change : changes)
        {
            if (change.at > t)
                break;
            if (change.at > t - refusal_age - tolerance)
                absent = absent || !valid;
            valid = change.valid;
        }
        return absent || !valid;
    }

    // Runs ------------------------------------------------------------------

    void check_runs(caller_request const& r)
    {
        auto const& runs = runs_of(r);
        std::size_t ran = 0;
        for (std::size_t i = 0; i < runs.size(); ++i)
        {
            if (!runs[i]->whole)
                continue;
            for (std::size_t k = 0; k < i && !may_repeat(r.route); ++k)
            {
                if (may_have_run(*runs[k], *runs[i]->whole))
                    fail(
                        "at most one run",
                        r.id + ": " + runs[k]->tag + " and " + runs[i]->tag);
            }
            ran += may_have_run(*runs[i], seen_.ended) ? 1 : 0;
        }
        if (may_repeat(r.route) && ran > seen_.max_attempts)
            fail(
                "no more attempts than the route allows",
                r.id + ": " + std::to_string(ran));
    }

    void check_forwarded(endpoint_run const& run)
    {
        auto const request = std::find_if(
            seen_.requests.begin(), seen_.requests.end(),
            [&run](caller_request const& r) { return r.id == run.id; });
        if (request == seen_.requests.end())
        {
            fail("only callers' requests run", run.id);
            return;
        }
        if (!run.whole)
            return;
        if (!request->whole || *request->whole > *run.whole)
            fail("only whole requests are served", run.id);
        auto const target =
            run.request.start_line.find(' ' + request->target + ' ');
        bool const keyless = run.request.header("authorization").empty();
        auto const organisation = run.request.header("tenant-id");
        bool const named =
            organisation == (request->route == route_kind::open ? "" : "acme");
        if (run.request.body != request->body || target == std::string::npos ||
            !keyless || !named)
            fail("requests are unchanged", run.id);
        auto const left = milliseconds(std::strtoll(
            run.request.header("deadline-ms").c_str(), nullptr, 10));
        if (left > limit_of(*request))
            fail(
                "endpoints are handed the time left",
                run.id + ": " + std::to_string(left.count()));
    }

    // Keys and routes -------------------------------------------------------

    void check_key()
    {
        for (auto const& run : seen_.runs)
        {
            auto const request = std::find_if(
                seen_.requests.begin(), seen_.requests.end(),
                [&run](caller_request const& r) { return r.id == run.id; });
            if (request == seen_.requests.end() ||
                request->route == route_kind::open || !request->whole)
                continue;
            auto const sent = *request->whole;
            bool valid = true;
            steady_time since{};
            bool changed_later = false;
            for (auto const& k : changes_of(request->key))
            {
                if (k.at <= sent)
                {
                    since = valid != k.valid ? k.at : since;
                    valid = k.valid;
                }
                else if (k.valid && k.at <= run.began)
                {
                    changed_later = true;
                }
            }
            if (!valid && !changed_later &&
                sent > since + platform_bounds::key_withdrawal)
                fail("withdrawn keys are refused", run.id);
        }
    }

    // Departures ------------------------------------------------------------

    void check_departures()
    {
        for (auto const& run : seen_.runs)
        {
            if (!run.whole)
                continue;
            bool left = false;
            auto last = row_form::ready;
            steady_time last_at{};
            steady_time since{};
            for (auto const& change : seen_.rows)
            {
                if (change.endpoint != run.endpoint || change.at > *run.whole)
                    continue;
                if (change.form == row_form::odd)
                {
                    // It says nothing, but may have hidden the row before it.
                    left = left && change.at - last_at > reading_time;
                    continue;
                }
                bool const leaves = change.form == row_form::draining ||
                                    change.form == row_form::removed;
                // A row that is removed and put again has changed again.
                bool const put_again = last == row_form::removed &&
                                       change.form == row_form::draining;
                if (leaves && (!left || put_again))
                    since = change.at;
                left = leaves;
                last = change.form;
                last_at = change.at;
            }
            if (left && *run.whole > since + platform_bounds::drain &&
                store_well(since - platform_bounds::drain, *run.whole) &&
                running(since, *run.whole))
                fail(
                    "leaving endpoints receive no work",
                    run.id + ": " + run.tag + " left " + text_of(since) +
                        ", arrived " + text_of(*run.whole));
        }
    }

    // Retry budget ----------------------------------------------------------

    void check_budget()
    {
        for (bool const prompts : {false, true})
        {
            std::vector<steady_time> sent;
            std::vector<steady_time> repeats;
            for (auto const& r : seen_.requests)
            {
                if ((r.route == route_kind::prompt) != prompts)
                    continue;
                if (r.whole)
                    sent.push_back(*r.whole);
                auto const& runs = runs_of(r);
                for (std::size_t i = 1; i < runs.size(); ++i)
                {
                    if (runs[i]->whole)
                        repeats.push_back(*runs[i]->whole);
                }
            }
            check_budget(sent, repeats);
        }
    }

    void check_budget(
        std::vector<steady_time> const& sent,
        std::vector<steady_time> const& repeats)
    {
        auto const window = platform_bounds::retry_window;
        for (auto const end : repeats)
        {
            auto const within =
                [&](std::vector<steady_time> const& times, milliseconds span)
            {
                return double(std::count_if(
                    times.begin(), times.end(),
                    [&](steady_time t) { return t > end - span && t <= end; }));
            };
            // A request may have been sent in the window before that in which
            // it started, behind others on its connection.
            auto const allowed =
                bounds_.retry_ratio * within(sent, 2 * window) +
                bounds_.retry_allowance;
            if (within(repeats, window) > allowed)
            {
                fail(
                    "repeats stay within the budget",
                    std::to_string(int(within(repeats, window))) + " of " +
                        std::to_string(allowed) + " at " + text_of(end));
                return;
            }
        }
    }

    // Process ---------------------------------------------------------------

    void check_process()
    {
        for (auto const& e : seen_.errors)
            fail("the gateway has no unexpected error", e);
        if (!seen_.stopped)
            return;
        auto limit = *seen_.stopped + platform_bounds::grace + tolerance;
        // What a pause left open is ended first, and then written.
        if (!running(limit, limit))
            limit = after_pauses(limit) + tolerance;
        if (!seen_.finished || *seen_.finished > limit)
            fail(
                "a stop ends within its grace time",
                seen_.finished ? text_of(*seen_.finished) : "never");
    }

    /// What is sent after the last fault is served.
    void check_calm()
    {
        for (std::size_t i = seen_.calm_from; i < seen_.requests.size(); ++i)
        {
            auto const& r = seen_.requests[i];
            if (!r.ended || r.answer.status() != 200)
                fail(
                    "all is served after the last fault",
                    r.id + ": " + r.answer.start_line);
        }
    }

    observations const& seen_;
    platform_bounds const& bounds_;
    std::map<std::string, run_list> runs_;
    std::vector<violation> found_;
};

} // namespace

std::vector<violation>
check(observations const& seen, platform_bounds const& bounds)
{
    return checker(seen, bounds).run();
}

} // namespace dotterellock::testing::explorer
