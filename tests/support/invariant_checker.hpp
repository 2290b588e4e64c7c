// Checks the guarantees against what callers, engines and services observe,
// independently of the implementation. Every token that an engine produces must
// have a unique text, so that each token a caller receives can be traced to one
// run.
#ifndef DOTTERELLOCK_TESTS_INVARIANT_CHECKER_HPP
#define DOTTERELLOCK_TESTS_INVARIANT_CHECKER_HPP

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <dotterellock/types.hpp>

namespace dotterellock::testing
{

enum class violation
{
    missing_token,
    repeated_token,
    spliced_version,
    spliced_generation,
    wrong_request,
    unknown_token,
    run_twice,
    run_after_not_run,
    cut_by_planned_stop
};

class invariant_checker
{
public:
    using run_number = std::size_t;
    using connection_number = std::size_t; // per request

    // ---- engines ----------------------------------------------------------
    run_number engine_started(
        request_id const& request, model_ref const& model,
        std::vector<std::string> const& resume_tokens)
    {
        runs_.push_back(run{request, model, resume_tokens, 0, false});
        return runs_.size() - 1;
    }

    /// A unique text for the run's next token.
    std::string engine_produces(run_number number)
    {
        run& r = runs_[number];
        auto const index =
            static_cast<token_index>(r.resume_tokens.size() + r.produced++);
        std::string const text =
            'r' + std::to_string(number) + '#' + std::to_string(index) + ' ';
        tokens_[text] = token{number, index};
        return text;
    }

    void engine_finished(run_number number) { runs_[number].finished = true; }

    // ---- callers ----------------------------------------------------------
    /// The caller keeps its tokens below `from` and requests the rest over a
    /// new connection, which becomes the current one.
    connection_number connected(request_id const& request, token_index from)
    {
        auto& all = answers_[request];
        all.push_back(all.empty() ? answer{} : all.back());
        all.back().tokens.resize(from);
        return all.size() - 1;
    }

    void delivered(
        request_id const& request, connection_number connection,
        token_index first, std::vector<std::string> const& tokens)
    {
        answer& a = answers_[request].at(connection);
        if (first > a.tokens.size())
            report(violation::missing_token, request);
        if (first < a.tokens.size())
            report(violation::repeated_token, request);
        for (auto const& text : tokens)
        {
            check_token(request, a, text);
            a.tokens.push_back(text);
        }
    }

    void finished(
        request_id const& request, connection_number connection,
        token_index total)
    {
        answer& a = answers_[request].at(connection);
        a.complete = true;
        if (a.tokens.size() != total)
            report(violation::missing_token, request);
        auto const last =
            a.tokens.empty() ? tokens_.end() : tokens_.find(a.tokens.back());
        bool const ended =
            last != tokens_.end() && runs_[last->second.run].finished &&
            last->second.index + 1 == end_of(runs_[last->second.run]);
        // A run that resumes after the last token may produce no token.
        bool const ended_by_other = std::any_of(
            runs_.begin(), runs_.end(),
            [&](run const& r)
            {
                return r.finished && r.produced == 0 && r.request == request &&
                       r.resume_tokens == a.tokens;
            });
        if (!ended && !ended_by_other)
            report(violation::missing_token, request);
    }

    bool complete(request_id const& request) const
    {
        auto const found = answers_.find(request);
        return found != answers_.end() && found->second.back().complete;
    }

    std::vector<std::string> const& received(request_id const& request) const
    {
        return answers_.at(request).back().tokens;
    }

    // ---- services ---------------------------------------------------------
    void service_ran(request_id const& request, bool repeatable)
    {
        unsigned const runs = ++service_runs_[request];
        if (!repeatable && runs > 1)
            report(violation::run_twice, request);
        if (not_run_.count(request) != 0)
            report(violation::run_after_not_run, request);
    }

    void told_not_run(request_id const& request)
    {
        not_run_.insert(request);
        if (service_runs_.count(request) != 0)
            report(violation::run_after_not_run, request);
    }

    // ---- planned stops ----------------------------------------------------
    /// A process has exited after a stop request and cut off `open` requests.
    void stopped_as_planned(std::vector<request_id> const& open)
    {
        for (auto const& request : open)
            report(violation::cut_by_planned_stop, request);
    }

    // ---- results ----------------------------------------------------------
    std::set<violation> const& violations() const { return violations_; }
    std::string const& report_text() const { return text_; }

private:
    struct run
    {
        request_id request;
        model_ref model;
        std::vector<std::string> resume_tokens;
        std::size_t produced = 0;
        bool finished = false;
    };

    struct token
    {
        run_number run = 0;
        token_index index = 0;
    };

    struct answer
    {
        std::vector<std::string> tokens;
        bool complete = false;
    };

    static token_index end_of(run const& r)
    {
        return static_cast<token_index>(r.resume_tokens.size() + r.produced);
    }

    void check_token(
        request_id const& request, answer const& a, std::string const& text)
    {
        auto const found = tokens_.find(text);
        if (found == tokens_.end())
        {
            report(violation::unknown_token, request);
            return;
        }
        token const& t = found->second;
        run const& r = runs_[t.run];
        if (r.request != request)
            report(violation::wrong_request, request);
        if (t.index > a.tokens.size())
            report(violation::missing_token, request);
        if (t.index < a.tokens.size())
            report(violation::repeated_token, request);
        auto const before =
            a.tokens.empty() ? tokens_.end() : tokens_.find(a.tokens.back());
        if (before == tokens_.end())
            return;
        if (runs_[before->second.run].model != r.model)
            report(violation::spliced_version, request);
        // Another run may continue only from exactly the caller's tokens.
        if (before->second.run != t.run && r.resume_tokens != a.tokens)
            report(violation::spliced_generation, request);
    }

    void report(violation v, request_id const& request)
    {
        static char const* const names[] = {
            "missing token",      "repeated token",    "spliced version",
            "spliced generation", "wrong request",     "unknown token",
            "run twice",          "run after not run", "cut by planned stop"};
        violations_.insert(v);
        text_ += names[static_cast<int>(v)];
        text_ += " in " + request.value() + "; ";
    }

    std::vector<run> runs_;
    std::map<std::string, token> tokens_;
    std::map<request_id, std::vector<answer>> answers_; // by connection
    std::map<request_id, unsigned> service_runs_;
    std::set<request_id> not_run_;
    std::set<violation> violations_;
    std::string text_;
};

} // namespace dotterellock::testing

#endif
