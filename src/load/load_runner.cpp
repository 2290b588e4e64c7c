// Index
//   run, process_due, next_due_time     : schedule
//   start_request, send_attempt         : requests
//   on_bytes, on_event, on_response_end : answers
//   record_outcome                      : classification of an ended answer
#include "load_runner.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "../../standins/expected_answer.hpp"

namespace dotterellock::load
{

namespace
{

using nlohmann::json;

constexpr milliseconds max_wait{50};
constexpr char const* end_of_stream = "[DONE]";

double to_ms(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// Each token of the engine stand-ins ends with one space.
std::uint64_t count_tokens(std::string const& text)
{
    return static_cast<std::uint64_t>(
        std::count(text.begin(), text.end(), ' '));
}

std::string error_code_of(json const& body)
{
    if (!body.is_object() || !body.contains("error"))
        return "";
    json const& e = body["error"];
    return e.is_object() ? e.value("code", "unnamed") : "unnamed";
}

} // namespace

load_runner::load_runner(
    experiment e, clock_source& clock, curl_executor& executor)
    : experiment_(std::move(e)), clock_(clock), executor_(executor),
      plan_(make_plan(experiment_))
{
    result_.classes.resize(experiment_.classes.size());
    for (auto const& a : plan_)
        ++result_.classes[a.class_index].planned;
}

// ---- schedule -------------------------------------------------------------

load_result load_runner::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    start_ = clock_.now();
    steady_time const limit =
        start_ + experiment_.duration + experiment_.answer_timeout;
    for (;;)
    {
        steady_time const now = clock_.now();
        process_due(now);
        bool const all_sent = next_arrival_ == plan_.size();
        if ((all_sent && open_requests_.empty()) || now >= limit)
            break;
        changed_.wait_until(lock, next_due_time(now));
    }
    for (auto const& entry : open_requests_)
        ++result_.classes[entry.second->planned.class_index].unfinished;
    result_.seconds = to_ms(clock_.now() - start_) / 1000;
    return result_;
}

void load_runner::process_due(steady_time now)
{
    while (next_arrival_ < plan_.size() &&
           start_ + plan_[next_arrival_].at <= now)
        start_request(next_arrival_++);
    while (!reconnects_.empty() && reconnects_.begin()->first <= now)
    {
        std::size_t const number = reconnects_.begin()->second;
        reconnects_.erase(reconnects_.begin());
        auto const found = open_requests_.find(number);
        if (found != open_requests_.end())
            send_attempt(*found->second);
    }
}

steady_time load_runner::next_due_time(steady_time now) const
{
    steady_time due = now + max_wait;
    if (next_arrival_ < plan_.size())
        due = std::min(due, start_ + plan_[next_arrival_].at);
    if (!reconnects_.empty())
        due = std::min(due, reconnects_.begin()->first);
    return due;
}

// ---- requests -------------------------------------------------------------

void load_runner::start_request(std::size_t number)
{
    arrival const& planned = plan_[number];
    class_result& result = result_.classes[planned.class_index];
    if (open_requests_.size() >= experiment_.max_open)
    {
        ++result.skipped;
        return;
    }
    auto r = std::make_unique<open_request>();
    r->number = number;
    r->planned = planned;
    r->router = number % experiment_.routers.size();
    r->sent = clock_.now();
    r->last_event = r->sent;
    ++result.sent;
    open_request& opened = *r;
    open_requests_[number] = std::move(r);
    send_attempt(opened);
}

void load_runner::send_attempt(open_request& r)
{
    arrival_class const& c = experiment_.classes[r.planned.class_index];
    json const body = {
        {"model", to_string(experiment_.model)},
        {"prompt", r.planned.prompt},
        {"max_tokens", r.planned.output_tokens},
        {"stream", true}};
    http_request request;
    request.method = "POST";
    request.url = experiment_.routers[r.router] + "/v1/completions";
    request.content_type = "application/json";
    request.reuse_connection = true; // as callers do
    request.body = body.dump();
    request.headers.push_back("Authorization: Bearer " + c.api_key);
    request.headers.push_back(std::string("X-Rank: ") + to_string(c.rank));
    request.headers.push_back(
        "Idempotency-Key: load-" + std::to_string(experiment_.seed) + "-" +
        std::to_string(r.number));
    if (!r.last_event_id.empty())
        request.headers.push_back("Last-Event-ID: " + r.last_event_id);

    r.parser = sse_parser();
    r.error_body.clear();
    http_handlers handlers;
    std::size_t const number = r.number;
    handlers.on_data = [this, number](std::string_view bytes)
    { on_bytes(number, bytes); };
    handlers.on_done = [this, number](http_response const& response)
    { on_response_end(number, response); };
    executor_.submit(std::move(request), std::move(handlers));
}

// ---- answers --------------------------------------------------------------

void load_runner::on_bytes(std::size_t number, std::string_view bytes)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = open_requests_.find(number);
    if (found == open_requests_.end())
        return;
    open_request& r = *found->second;
    if (!bytes.empty() && bytes.front() == '{' && !r.has_tokens)
        r.error_body.append(bytes);
    for (auto const& event : r.parser.feed(bytes))
        on_event(r, event);
}

void load_runner::on_event(open_request& r, sse_event const& event)
{
    if (event.data == end_of_stream)
    {
        r.finished = true;
        return;
    }
    json const body = json::parse(event.data, nullptr, false);
    if (body.is_discarded())
        return;
    if (body.contains("error"))
    {
        r.error_code = error_code_of(body);
        return;
    }
    if (!event.id.empty())
        r.last_event_id = event.id;
    auto const& choices = body.value("choices", json::array());
    if (choices.empty())
        return;
    record_text(r, choices[0].value("text", ""));
}

void load_runner::record_text(open_request& r, std::string const& text)
{
    if (text.empty())
        return;
    class_result& result = result_.classes[r.planned.class_index];
    steady_time const now = clock_.now();
    std::uint64_t const tokens = count_tokens(text);
    if (!r.has_tokens)
    {
        double const ms = to_ms(now - r.sent);
        result.first_token_ms.add(ms);
        auto const target =
            experiment_.classes[r.planned.class_index].first_token_target;
        if (now - r.sent <= target)
            ++result.within_target;
        r.has_tokens = true;
    }
    else
    {
        double const gap = to_ms(now - r.last_event);
        result.token_gap_ms.add(gap);
        r.longest_gap_ms = std::max(r.longest_gap_ms, gap);
    }
    r.last_event = now;
    r.text += text;
    result.tokens += tokens;
    auto const second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now - start_).count());
    if (result.tokens_per_second.size() <= second)
        result.tokens_per_second.resize(second + 1);
    result.tokens_per_second[second] += tokens;
}

void load_runner::on_response_end(
    std::size_t number, http_response const& response)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = open_requests_.find(number);
    if (found == open_requests_.end())
        return;
    open_request& r = *found->second;
    if (response.answered && response.status >= 400 && r.error_code.empty())
    {
        r.error_code = error_code_of(json::parse(r.error_body, nullptr, false));
        if (r.error_code.empty())
            r.error_code = "http_" + std::to_string(response.status);
    }
    bool const refused = !r.error_code.empty();
    if (!r.finished && !refused)
    {
        // The connection was lost; resume the answer at the next router.
        ++result_.classes[r.planned.class_index].reconnects;
        r.router = (r.router + 1) % experiment_.routers.size();
        reconnects_.emplace(clock_.now() + experiment_.reconnect_delay, number);
        changed_.notify_one();
        return;
    }
    record_outcome(r);
    open_requests_.erase(found);
    changed_.notify_one();
}

void load_runner::record_outcome(open_request& r)
{
    class_result& result = result_.classes[r.planned.class_index];
    if (r.has_tokens)
        result.longest_gap_ms.add(r.longest_gap_ms);
    if (!r.error_code.empty())
    {
        ++result.refused[r.error_code];
        return;
    }
    standins::expected_answer const expected(
        experiment_.model.version, r.planned.prompt);
    if (r.text == expected.text(r.planned.output_tokens))
        ++result.complete;
    else
        ++result.wrong;
}

} // namespace dotterellock::load
