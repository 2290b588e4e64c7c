// Index
//   requests : handle, start_completion, handle_order, handle_fault, reports
//   batching : schedule_step, step, advance, admit_waiting
//   cache    : uncached_tokens, touch_block, record_cache_event
#include "engine_standin.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace dotterellock::standins
{

namespace
{

using nlohmann::json;

constexpr std::size_t block_bytes = 256;
constexpr std::uint32_t bytes_per_token = 4;
constexpr std::size_t max_events = 10000;
constexpr std::size_t max_waiting = 10000;

std::string sse_chunk(std::string const& text, char const* reason)
{
    json const choice = {
        {"index", 0},
        {"text", text},
        {"finish_reason", reason == nullptr ? json(nullptr) : json(reason)}};
    return "data: " + json{{"choices", json::array({choice})}}.dump() + "\n\n";
}

std::string error_body(std::string const& reason)
{
    return json{{"error", reason}}.dump();
}

struct model_version
{
    std::string name;
    std::string version;
};

/// Accepts "name" with a separate version, as agents send it, and
/// "name@version", as callers send it, so that benchmarks can call an engine
/// directly.
model_version
requested_model(json const& request, engine_settings const& settings)
{
    auto const model = request.at("model").get<std::string>();
    auto const at = model.find('@');
    if (at != std::string::npos)
        return {model.substr(0, at), model.substr(at + 1)};
    return {model, request.value("version", settings.version)};
}

} // namespace

engine_standin::engine_standin(
    asio::io_context& context, engine_settings settings)
    : context_(context), settings_(std::move(settings))
{
    loaded_.insert(settings_.model + "@" + settings_.version);
}

// ---- requests -------------------------------------------------------------

void engine_standin::handle(
    http_call const& call, std::shared_ptr<http_reply> reply)
{
    try
    {
        if (call.path == "/v1/completions")
            start_completion(call.body, reply);
        else if (call.path == "/v1/orders")
            handle_order(call.body, *reply);
        else if (call.path == "/v1/load")
            report_load(*reply);
        else if (call.path == "/v1/cache_events")
            report_cache_events(call, *reply);
        else if (call.path == "/admin/fault")
            handle_fault(call.body, *reply);
        else if (call.path == "/admin/stats")
            report_stats(*reply);
        else
            reply->send_json(404, error_body("unknown path"));
    }
    catch (json::exception const& e)
    {
        reply->send_json(400, error_body(e.what()));
    }
}

void engine_standin::start_completion(
    std::string const& body, std::shared_ptr<http_reply> const& reply)
{
    json const request = json::parse(body);
    auto const [name, version] = requested_model(request, settings_);
    std::string const wanted = name + "@" + version;
    if (loaded_.count(wanted) == 0)
    {
        reply->send_json(404, error_body("model is not loaded: " + wanted));
        return;
    }
    if (waiting_.size() >= max_waiting)
    {
        reply->send_json(429, error_body("too many waiting requests"));
        return;
    }
    auto const prompt = request.at("prompt").get<std::string>();
    std::uint32_t const max_tokens =
        request.value("max_tokens", settings_.answer_tokens);
    auto const first = static_cast<std::uint32_t>(
        request.value("continue_tokens", json::array()).size());

    stream s{reply, expected_answer(version, prompt)};
    s.next = first;
    s.ends_by_length = max_tokens < settings_.answer_tokens;
    s.end = std::min(max_tokens, settings_.answer_tokens);
    // The engine processes the tokens to continue after as part of the prompt.
    s.prefill_left = uncached_tokens(prompt) + first;
    s.priority = request.value("priority", 0u);
    prefill_tokens_ += s.prefill_left;
    ++runs_;

    reply->begin_stream("text/event-stream");
    auto const position = std::find_if(
        waiting_.begin(), waiting_.end(),
        [&](stream const& other) { return other.priority > s.priority; });
    waiting_.insert(position, std::move(s));
    schedule_step();
}

void engine_standin::handle_order(std::string const& body, http_reply& reply)
{
    json const order = json::parse(body);
    auto const token = order.at("fencing_token").get<std::uint64_t>();
    if (settings_.checks_fencing_token && token < highest_token_)
    {
        ++stale_orders_refused_;
        reply.send_json(409, error_body("fencing token is old"));
        return;
    }
    highest_token_ = std::max(highest_token_, token);
    json const& model = order.at("model");
    std::string const name = model.at("name").get<std::string>() + "@" +
                             model.at("version").get<std::string>();
    auto const kind = order.at("order").get<std::string>();
    if (kind == "load")
        loaded_.insert(name);
    else if (kind == "unload")
        loaded_.erase(name);
    reply.send_json(200, json{{"loaded", loaded_}}.dump());
}

void engine_standin::handle_fault(std::string const& body, http_reply& reply)
{
    json const fault = json::parse(body);
    paused_ = fault.value("paused", paused_);
    silent_ = fault.value("silent", silent_);
    slow_factor_ = fault.value("slow_factor", slow_factor_);
    reply.send_json(200, "{}");
}

void engine_standin::report_load(http_reply& reply)
{
    auto const wanted = clock::now() - settings_.load_lag;
    while (load_samples_.size() > 1 && load_samples_[1].at <= wanted)
        load_samples_.pop_front();
    std::size_t running = 0;
    std::size_t waiting = 0;
    if (!load_samples_.empty() && load_samples_.front().at <= wanted)
    {
        running = load_samples_.front().running;
        waiting = load_samples_.front().waiting;
    }
    json const load = {{"running", running}, {"waiting", waiting}};
    reply.send_json(200, load.dump());
}

void engine_standin::report_cache_events(
    http_call const& call, http_reply& reply)
{
    std::uint64_t after = 0;
    auto const given = call.query.find("after");
    if (given != call.query.end())
        after = std::strtoull(given->second.c_str(), nullptr, 10);
    auto const visible = clock::now() - settings_.event_lag;
    json list = json::array();
    for (auto const& e : events_)
    {
        bool const lost =
            settings_.event_gap != 0 && e.sequence % settings_.event_gap == 0;
        if (e.sequence <= after || e.at > visible || lost)
            continue;
        list.push_back(
            {{"sequence", e.sequence}, {"block", e.block}, {"added", e.added}});
    }
    reply.send_json(200, json{{"events", std::move(list)}}.dump());
}

void engine_standin::report_stats(http_reply& reply)
{
    json const stats = {
        {"runs", runs_},
        {"running", running_.size()},
        {"waiting", waiting_.size()},
        {"tokens_produced", tokens_produced_},
        {"prefill_tokens", prefill_tokens_},
        {"cached_tokens", cached_tokens_},
        {"highest_fencing_token", highest_token_},
        {"stale_orders_refused", stale_orders_refused_},
        {"loaded", loaded_}};
    reply.send_json(200, stats.dump());
}

// ---- batching -------------------------------------------------------------

void engine_standin::schedule_step()
{
    if (step_scheduled_)
        return;
    step_scheduled_ = true;
    auto const length = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(settings_.step.count()) * slow_factor_));
    after(context_, length, [this] { step(); });
}

void engine_standin::step()
{
    step_scheduled_ = false;
    if (!paused_)
    {
        admit_waiting();
        for (auto s = running_.begin(); s != running_.end();)
            s = advance(*s) ? std::next(s) : running_.erase(s);
    }
    load_samples_.push_back({clock::now(), running_.size(), waiting_.size()});
    if (load_samples_.size() > max_events)
        load_samples_.pop_front();
    if (!running_.empty() || !waiting_.empty())
        schedule_step();
}

bool engine_standin::advance(stream& s)
{
    if (s.reply->closed())
        return false;
    if (s.prefill_left > settings_.prefill_per_step)
    {
        s.prefill_left -= settings_.prefill_per_step;
        return true;
    }
    s.prefill_left = 0;
    bool const last = s.next >= s.end;
    if (silent_)
        return !last; // the stream stays open but sends nothing
    if (last)
    {
        s.reply->write(sse_chunk("", s.ends_by_length ? "length" : "stop"));
        s.reply->write("data: [DONE]\n\n");
        s.reply->end();
        return false;
    }
    s.reply->write(sse_chunk(s.answer.token(s.next), nullptr));
    ++s.next;
    ++tokens_produced_;
    return true;
}

void engine_standin::admit_waiting()
{
    while (!waiting_.empty() && running_.size() < settings_.max_running)
    {
        running_.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
}

// ---- prefix cache ---------------------------------------------------------

std::uint32_t engine_standin::uncached_tokens(std::string const& prompt)
{
    std::uint64_t block_hash = 0;
    std::size_t cached = 0;
    bool still_cached = true;
    for (std::size_t i = 0; i + block_bytes <= prompt.size(); i += block_bytes)
    {
        block_hash = XXH64(prompt.data() + i, block_bytes, block_hash);
        still_cached = still_cached && cache_.count(block_hash) != 0;
        if (still_cached)
            cached += block_bytes;
        touch_block(block_hash);
    }
    cached_tokens_ += cached / bytes_per_token;
    return static_cast<std::uint32_t>(
        (prompt.size() - cached) / bytes_per_token);
}

void engine_standin::touch_block(std::uint64_t block)
{
    auto const found = cache_.find(block);
    if (found != cache_.end())
    {
        cache_order_.splice(cache_order_.begin(), cache_order_, found->second);
        return;
    }
    cache_order_.push_front(block);
    cache_[block] = cache_order_.begin();
    record_cache_event(block, true);
    if (cache_.size() <= settings_.cache_blocks)
        return;
    std::uint64_t const oldest = cache_order_.back();
    cache_order_.pop_back();
    cache_.erase(oldest);
    record_cache_event(oldest, false);
}

void engine_standin::record_cache_event(std::uint64_t block, bool added)
{
    events_.push_back({++last_event_, block, added, clock::now()});
    if (events_.size() > max_events)
        events_.pop_front();
}

} // namespace dotterellock::standins
