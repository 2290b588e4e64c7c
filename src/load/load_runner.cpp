// Index
//   run, send_due, next_due        : the schedule
//   open, connect                  : requests
//   on_bytes, on_event, on_closed  : answers
//   conclude                       : the verdict on one answer
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

constexpr milliseconds longest_wait{50};
constexpr char const* stream_end = "[DONE]";

double to_ms(duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

/// Stand-in tokens end in one blank each.
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
        send_due(now);
        bool const all_sent = next_arrival_ == plan_.size();
        if ((all_sent && open_.empty()) || now >= limit)
            break;
        changed_.wait_until(lock, next_due(now));
    }
    for (auto const& entry : open_)
        ++result_.classes[entry.second->planned.class_index].unfinished;
    result_.seconds = to_ms(clock_.now() - start_) / 1000;
    return result_;
}

void load_runner::send_due(steady_time now)
{
    while (next_arrival_ < plan_.size() &&
           start_ + plan_[next_arrival_].at <= now)
        open(next_arrival_++);
    while (!reconnects_.empty() && reconnects_.begin()->first <= now)
    {
        std::size_t const number = reconnects_.begin()->second;
        reconnects_.erase(reconnects_.begin());
        auto const found = open_.find(number);
        if (found != open_.end())
            connect(*found->second);
    }
}

steady_time load_runner::next_due(steady_time now) const
{
    steady_time due = now + longest_wait;
    if (next_arrival_ < plan_.size())
        due = std::min(due, start_ + plan_[next_arrival_].at);
    if (!reconnects_.empty())
        due = std::min(due, reconnects_.begin()->first);
    return due;
}

// ---- requests -------------------------------------------------------------

void load_runner::open(std::size_t number)
{
    arrival const& planned = plan_[number];
    class_result& result = result_.classes[planned.class_index];
    if (open_.size() >= experiment_.max_open)
    {
        ++result.skipped;
        return;
    }
    auto s = std::make_unique<session>();
    s->number = number;
    s->planned = planned;
    s->router = number % experiment_.routers.size();
    s->sent = clock_.now();
    s->last_event = s->sent;
    ++result.sent;
    session& opened = *s;
    open_[number] = std::move(s);
    connect(opened);
}

void load_runner::connect(session& s)
{
    arrival_class const& c = experiment_.classes[s.planned.class_index];
    json const body = {
        {"model", to_string(experiment_.model)},
        {"prompt", s.planned.prompt},
        {"max_tokens", s.planned.output_tokens},
        {"stream", true}};
    http_request request;
    request.method = "POST";
    request.url = experiment_.routers[s.router] + "/v1/completions";
    request.content_type = "application/json";
    request.body = body.dump();
    request.headers.push_back("Authorization: Bearer " + c.api_key);
    request.headers.push_back(std::string("X-Rank: ") + to_string(c.rank));
    request.headers.push_back(
        "Idempotency-Key: load-" + std::to_string(experiment_.seed) + "-" +
        std::to_string(s.number));
    if (!s.last_event_id.empty())
        request.headers.push_back("Last-Event-ID: " + s.last_event_id);

    s.parser = sse_parser();
    s.error_body.clear();
    http_handlers handlers;
    std::size_t const number = s.number;
    handlers.on_data = [this, number](std::string_view bytes)
    { on_bytes(number, bytes); };
    handlers.on_done = [this, number](http_response const& response)
    { on_closed(number, response); };
    executor_.submit(std::move(request), std::move(handlers));
}

// ---- answers --------------------------------------------------------------

void load_runner::on_bytes(std::size_t number, std::string_view bytes)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = open_.find(number);
    if (found == open_.end())
        return;
    session& s = *found->second;
    if (!bytes.empty() && bytes.front() == '{' && !s.has_tokens)
        s.error_body.append(bytes);
    for (auto const& event : s.parser.feed(bytes))
        on_event(s, event);
}

void load_runner::on_event(session& s, sse_event const& event)
{
    if (event.data == stream_end)
    {
        s.finished = true;
        return;
    }
    json const body = json::parse(event.data, nullptr, false);
    if (body.is_discarded())
        return;
    if (body.contains("error"))
    {
        s.error_code = error_code_of(body);
        return;
    }
    if (!event.id.empty())
        s.last_event_id = event.id;
    auto const& choices = body.value("choices", json::array());
    if (choices.empty())
        return;
    note_text(s, choices[0].value("text", ""));
}

void load_runner::note_text(session& s, std::string const& text)
{
    if (text.empty())
        return;
    class_result& result = result_.classes[s.planned.class_index];
    steady_time const now = clock_.now();
    std::uint64_t const tokens = count_tokens(text);
    if (!s.has_tokens)
    {
        double const ms = to_ms(now - s.sent);
        result.first_token_ms.add(ms);
        auto const target =
            experiment_.classes[s.planned.class_index].first_token_target;
        if (now - s.sent <= target)
            ++result.within_target;
        s.has_tokens = true;
    }
    else
    {
        double const gap = to_ms(now - s.last_event);
        result.token_gap_ms.add(gap);
        s.longest_gap_ms = std::max(s.longest_gap_ms, gap);
    }
    s.last_event = now;
    s.text += text;
    result.tokens += tokens;
    auto const second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(now - start_).count());
    if (result.tokens_per_second.size() <= second)
        result.tokens_per_second.resize(second + 1);
    result.tokens_per_second[second] += tokens;
}

void load_runner::on_closed(std::size_t number, http_response const& response)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    auto const found = open_.find(number);
    if (found == open_.end())
        return;
    session& s = *found->second;
    if (response.answered && response.status >= 400 && s.error_code.empty())
    {
        s.error_code = error_code_of(json::parse(s.error_body, nullptr, false));
        if (s.error_code.empty())
            s.error_code = "http_" + std::to_string(response.status);
    }
    bool const refused = !s.error_code.empty();
    if (!s.finished && !refused)
    {
        // The connection was lost; another router continues the answer.
        ++result_.classes[s.planned.class_index].reconnects;
        s.router = (s.router + 1) % experiment_.routers.size();
        reconnects_.emplace(clock_.now() + experiment_.reconnect_delay, number);
        changed_.notify_one();
        return;
    }
    conclude(s);
    open_.erase(found);
    changed_.notify_one();
}

void load_runner::conclude(session& s)
{
    class_result& result = result_.classes[s.planned.class_index];
    if (s.has_tokens)
        result.longest_gap_ms.add(s.longest_gap_ms);
    if (!s.error_code.empty())
    {
        ++result.refused[s.error_code];
        return;
    }
    standins::expected_answer const expected(
        experiment_.model.version, s.planned.prompt);
    if (s.text == expected.text(s.planned.output_tokens))
        ++result.complete;
    else
        ++result.wrong;
}

} // namespace dotterellock::load
