#include "streaming_caller.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace dotterellock::load
{

namespace
{

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr milliseconds reconnect_delay{100};
constexpr long connect_timeout_ms = 1000;
constexpr long first_error_status = 400;

struct list_deleter
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

struct easy_deleter
{
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

std::string error_code_of(json const& body)
{
    if (!body.is_object() || !body.contains("error"))
        return "";
    return body["error"].value("code", "unnamed");
}

} // namespace

streaming_caller::streaming_caller(caller_request request)
    : request_(std::move(request)), sent_(clock::now()), last_event_(sent_),
      thread_([this] { run(); })
{
}

streaming_caller::~streaming_caller()
{
    stopping_ = true;
    thread_.join();
}

bool streaming_caller::wait_for_tokens(std::size_t count, milliseconds limit)
{
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait_for(
        lock, limit, [&] { return tokens_ >= count || answer_ended_; });
    return tokens_ >= count;
}

bool streaming_caller::wait(milliseconds limit)
{
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, limit, [&] { return answer_ended_; });
}

caller_result streaming_caller::result() const
{
    std::lock_guard<std::mutex> const lock(mutex_);
    return result_;
}

void streaming_caller::run()
{
    for (std::size_t attempt = 0; !stopping_; ++attempt)
    {
        auto const& url = request_.routers[attempt % request_.routers.size()];
        bool const ended = connect_once(url);
        std::unique_lock<std::mutex> lock(mutex_);
        if (ended)
        {
            answer_ended_ = true;
            changed_.notify_all();
            return;
        }
        ++result_.reconnects;
        changed_.wait_for(lock, reconnect_delay);
    }
}

bool streaming_caller::connect_once(std::string const& url)
{
    json const body = {
        {"model", request_.model},
        {"prompt", request_.prompt},
        {"max_tokens", request_.max_tokens},
        {"stream", true}};
    std::string const text = body.dump();
    std::unique_ptr<curl_slist, list_deleter> headers;
    auto const add = [&](std::string const& line)
    {
        curl_slist* const extended =
            curl_slist_append(headers.get(), line.c_str());
        (void)headers.release();
        headers.reset(extended);
    };
    add("Content-Type: application/json");
    add("Authorization: Bearer " + request_.api_key);
    add("Idempotency-Key: " + request_.idempotency_key);
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (!last_event_id_.empty())
            add("Last-Event-ID: " + last_event_id_);
        parser_ = sse_parser();
        error_body_.clear();
        cut_requested_ = false;
    }
    std::unique_ptr<CURL, easy_deleter> const easy(curl_easy_init());
    CURL* const e = easy.get();
    std::string const target = url + "/v1/completions";
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_URL, target.c_str());
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(e, CURLOPT_POSTFIELDS, text.c_str());
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, &streaming_caller::receive);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(e, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(e, CURLOPT_XFERINFOFUNCTION, &streaming_caller::progress);
    curl_easy_setopt(e, CURLOPT_XFERINFODATA, this);
    CURLcode const code = curl_easy_perform(e);
    long status = 0;
    curl_easy_getinfo(e, CURLINFO_RESPONSE_CODE, &status);

    std::lock_guard<std::mutex> const lock(mutex_);
    if (code == CURLE_OK && status >= first_error_status)
    {
        result_.error_code =
            error_code_of(json::parse(error_body_, nullptr, false));
        if (result_.error_code.empty())
            result_.error_code = "http_" + std::to_string(status);
    }
    return result_.finished || !result_.error_code.empty();
}

std::size_t streaming_caller::receive(
    char* data, std::size_t size, std::size_t count, void* self)
{
    std::size_t const n = size * count;
    static_cast<streaming_caller*>(self)->on_bytes(std::string_view(data, n));
    return n;
}

int streaming_caller::progress(
    void* self, long long, long long, long long, long long)
{
    auto const& caller = *static_cast<streaming_caller*>(self);
    return caller.stopping_ || caller.cut_requested_ ? 1 : 0;
}

void streaming_caller::on_bytes(std::string_view bytes)
{
    std::lock_guard<std::mutex> const lock(mutex_);
    if (tokens_ == 0)
        error_body_.append(bytes);
    for (auto const& event : parser_.feed(bytes))
        on_event(event);
    changed_.notify_all();
}

void streaming_caller::on_event(sse_event const& event)
{
    if (event.data == "[DONE]")
    {
        result_.finished = true;
        return;
    }
    json const body = json::parse(event.data, nullptr, false);
    if (body.is_discarded())
        return;
    if (body.contains("error"))
    {
        result_.error_code = error_code_of(body);
        return;
    }
    if (!event.id.empty())
        last_event_id_ = event.id;
    auto const choices = body.value("choices", json::array());
    std::string const text =
        choices.empty() ? "" : choices[0].value("text", "");
    if (text.empty())
        return;
    auto const now = clock::now();
    if (tokens_ == 0)
        result_.first_token = duration_cast<milliseconds>(now - sent_);
    else
        result_.longest_gap = std::max(
            result_.longest_gap,
            duration_cast<milliseconds>(now - last_event_));
    last_event_ = now;
    result_.text += text;
    tokens_ +=
        static_cast<std::size_t>(std::count(text.begin(), text.end(), ' '));
}

} // namespace dotterellock::load
