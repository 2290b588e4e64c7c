#include "curl_executor.hpp"

#include <curl/curl.h>

#include <algorithm>
#include <utility>

#include "http/head_syntax.hpp"

namespace dotterellock
{

namespace
{

constexpr int poll_interval_ms = 1000; // curl_multi_wakeup ends it early
constexpr long max_idle_connections = 64;

struct curl_library
{
    curl_library() { curl_global_init(CURL_GLOBAL_DEFAULT); }
};

void initialise_curl()
{
    // libcurl must be initialised once per process, before any thread uses it.
    static curl_library const library;
    (void)library;
}

struct header_list_deleter
{
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

struct easy_deleter
{
    void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
};

} // namespace

struct curl_executor::transfer
{
    transfer_id id = 0;
    http_request request;
    http_handlers handlers;
    std::unique_ptr<memory_account> account; // set when the transfer starts
    std::size_t head_bytes = 0;              // libcurl keeps the fields
    std::string body;
    std::string refusal; // why the answer was given up
    bool over_limit = false;
    head_syntax syntax{message_kind::response};
    bool paused = false;
    counter* pauses = nullptr; // set when the transfer starts
    std::unique_ptr<curl_slist, header_list_deleter> headers;
    std::unique_ptr<CURL, easy_deleter> easy;

    static std::size_t
    append_head(char* data, std::size_t size, std::size_t count, void* self)
    {
        auto& t = *static_cast<transfer*>(self);
        std::string_view const line(data, size * count);
        return t.check_head(line) && t.add_head_bytes(line.size()) ? line.size()
                                                                   : 0;
    }

    static std::size_t
    append_response(char* data, std::size_t size, std::size_t count, void* self)
    {
        auto& t = *static_cast<transfer*>(self);
        std::string_view const bytes(data, size * count);
        if (t.handlers.on_data)
            return t.pass_on(bytes);
        return t.append_body(bytes) ? bytes.size() : 0;
    }

    bool check_head(std::string_view line);
    bool add_head_bytes(std::size_t n);
    bool append_body(std::string_view bytes);
    std::size_t pass_on(std::string_view bytes);

    /// Whether a stream may be read on, as far as what is posted decides it.
    bool may_read() const;

    /// Updates the account of a stream.
    void hold_stream();

    bool refuse(char const* part, std::size_t limit)
    {
        over_limit = true;
        refusal =
            std::string(part) + " exceeds " + std::to_string(limit) + " bytes";
        return false;
    }

    bool refuse_for_memory()
    {
        over_limit = true;
        refusal =
            "no memory for the answer: all answers together hold too much";
        return false;
    }

    void add_header(std::string const& line)
    {
        curl_slist* const extended =
            curl_slist_append(headers.get(), line.c_str());
        (void)headers.release();
        headers.reset(extended);
    }

    void prepare();
};

/// Checks a line of a head, as libcurl ignores malformed ones. The heads of
/// interim answers come here as well, and trailers, which are not checked.
bool curl_executor::transfer::check_head(std::string_view line)
{
    constexpr std::string_view status_line_start = "HTTP/";
    if (syntax.complete() &&
        line.substr(0, status_line_start.size()) == status_line_start)
        syntax = head_syntax(message_kind::response);
    if (syntax.valid_bytes(line) == line.size())
        return true;
    refusal = "malformed head";
    return false;
}

bool curl_executor::transfer::add_head_bytes(std::size_t n)
{
    // Trailers and the heads of interim answers count as well.
    head_bytes += n;
    if (head_bytes > max_answer_head_bytes)
        return refuse("head", max_answer_head_bytes);
    std::size_t const held = account->held() + n;
    if (!account->may_hold(held))
        return refuse_for_memory();
    account->hold(held);
    return true;
}

bool curl_executor::transfer::append_body(std::string_view bytes)
{
    std::size_t const limit = request.max_answer_bytes;
    std::size_t const size = body.size() + bytes.size();
    if (size > limit)
        return refuse("body", limit);
    if (size > body.capacity())
    {
        std::size_t const capacity = std::max(size, 2 * body.capacity());
        if (!account->may_hold(head_bytes + capacity))
            return refuse_for_memory();
        body.reserve(capacity);
        account->hold(head_bytes + body.capacity());
    }
    body.append(bytes);
    return true;
}

std::size_t curl_executor::transfer::pass_on(std::string_view bytes)
{
    if (handlers.held)
    {
        hold_stream();
        paused = !may_read();
        if (paused)
        {
            pauses->add();
            return CURL_WRITEFUNC_PAUSE;
        }
        if (!account->may_hold(account->held() + bytes.size()))
        {
            (void)refuse_for_memory();
            return 0;
        }
    }
    handlers.on_data(bytes);
    if (handlers.held)
        hold_stream();
    return bytes.size();
}

bool curl_executor::transfer::may_read() const
{
    held_stream_bytes const held = handlers.held();
    return held.posted == 0 || (held.posted < request.max_answer_bytes &&
                                account->may_hold(account->held() + 1));
}

void curl_executor::transfer::hold_stream()
{
    held_stream_bytes const held = handlers.held();
    account->hold(head_bytes + held.incomplete + held.posted);
}

void curl_executor::transfer::prepare()
{
    easy.reset(curl_easy_init());
    CURL* const e = easy.get();
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(e, CURLOPT_PRIVATE, this);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, &transfer::append_response);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, &transfer::append_head);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(
        e, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(
        e, CURLOPT_CONNECTTIMEOUT_MS,
        static_cast<long>(request.connect_timeout.count()));
    if (!request.reuse_connection)
    {
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
    }
    if (!request.body.empty() || request.method == "POST")
    {
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, request.body.c_str());
        curl_easy_setopt(
            e, CURLOPT_POSTFIELDSIZE, static_cast<long>(request.body.size()));
    }
    add_header("Expect:"); // avoids a 100-continue round trip for long prompts
    add_header("Content-Type: " + request.content_type);
    for (auto const& line : request.headers)
        add_header(line);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers.get());
}

curl_executor::curl_executor(
    counter_registry& counters, std::size_t answer_budget_bytes)
    : transfers_started_(counters.counter("http_client_transfers_total")),
      transfers_failed_(counters.counter("http_client_failures_total")),
      answers_over_limit_(
          counters.counter("http_client_answers_over_limit_total")),
      pauses_(counters.counter("http_client_pauses_total")),
      held_bytes_(counters.counter("http_client_held_bytes")), multi_(nullptr),
      budget_(answer_budget_bytes)
{
    initialise_curl();
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, max_idle_connections);
    thread_ = std::thread([this] { run(); });
}

curl_executor::~curl_executor()
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        stopping_ = true;
    }
    curl_multi_wakeup(multi_);
    thread_.join();
    for (auto const& entry : active_)
        curl_multi_remove_handle(multi_, entry.second->easy.get());
    active_.clear();
    curl_multi_cleanup(multi_);
}

curl_executor::transfer_id
curl_executor::submit(http_request request, http_handlers handlers)
{
    auto t = std::make_unique<transfer>();
    t->request = std::move(request);
    t->handlers = std::move(handlers);
    transfer_id id = 0;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        id = ++last_id_;
        t->id = id;
        submissions_.push_back(std::move(t));
    }
    curl_multi_wakeup(multi_);
    return id;
}

void curl_executor::abort(transfer_id id)
{
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        abort_requests_.push_back(id);
    }
    curl_multi_wakeup(multi_);
}

void curl_executor::wake()
{
    woken_ = true;
    curl_multi_wakeup(multi_);
}

void curl_executor::run()
{
    for (;;)
    {
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            if (stopping_)
                return;
        }
        apply_requests();
        resume_paused();
        int running = 0;
        curl_multi_perform(multi_, &running);
        finish_completed();
        held_bytes_.set(budget_.held());
        curl_multi_poll(multi_, nullptr, 0, poll_interval_ms, nullptr);
    }
}

void curl_executor::apply_requests()
{
    std::vector<std::unique_ptr<transfer>> starting;
    std::vector<transfer_id> aborting;
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        starting.swap(submissions_);
        aborting.swap(abort_requests_);
    }
    for (auto& t : starting)
    {
        bool const aborted =
            std::find(aborting.begin(), aborting.end(), t->id) !=
            aborting.end();
        if (aborted)
            continue;
        t->account =
            std::make_unique<memory_account>(budget_, memory_use::endpoints);
        t->pauses = &pauses_;
        t->prepare();
        curl_multi_add_handle(multi_, t->easy.get());
        transfers_started_.add();
        active_[t->id] = std::move(t);
    }
    for (transfer_id const id : aborting)
        remove_transfer(id);
}

void curl_executor::resume_paused()
{
    if (!woken_.exchange(false))
        return;
    for (auto const& entry : active_)
    {
        transfer& t = *entry.second;
        if (!t.paused)
            continue;
        t.hold_stream();
        if (!t.may_read())
            continue;
        t.paused = false;
        curl_easy_pause(t.easy.get(), CURLPAUSE_CONT);
    }
}

void curl_executor::remove_transfer(transfer_id id)
{
    auto const found = active_.find(id);
    if (found == active_.end())
        return;
    curl_multi_remove_handle(multi_, found->second->easy.get());
    active_.erase(found);
}

void curl_executor::finish_completed()
{
    int remaining = 0;
    while (CURLMsg* const m = curl_multi_info_read(multi_, &remaining))
    {
        if (m->msg != CURLMSG_DONE)
            continue;
        CURLcode const code = m->data.result;
        char* private_data = nullptr;
        curl_easy_getinfo(m->easy_handle, CURLINFO_PRIVATE, &private_data);
        auto* const t = reinterpret_cast<transfer*>(private_data);
        if (code != CURLE_OK)
            transfers_failed_.add();
        if (t->over_limit)
            answers_over_limit_.add();
        auto const on_done = std::move(t->handlers.on_done);
        http_response response = make_response(*t, code);
        remove_transfer(t->id);
        if (on_done)
            on_done(std::move(response));
    }
}

http_response curl_executor::make_response(transfer& t, int curl_code)
{
    http_response r;
    auto const code = static_cast<CURLcode>(curl_code);
    // Of a URL's scheme, or of an answer's status line.
    long request_bytes = 0;
    curl_easy_getinfo(t.easy.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
    bool const unsupported_url =
        code == CURLE_UNSUPPORTED_PROTOCOL && request_bytes == 0;
    bool const never_connected = code == CURLE_COULDNT_CONNECT ||
                                 code == CURLE_COULDNT_RESOLVE_HOST ||
                                 code == CURLE_URL_MALFORMAT || unsupported_url;
    double connect_seconds = 0;
    curl_easy_getinfo(t.easy.get(), CURLINFO_CONNECT_TIME, &connect_seconds);
    // A timeout before the connection is established also means nothing was
    // sent.
    bool const timed_out_connecting =
        code == CURLE_OPERATION_TIMEDOUT && connect_seconds <= 0;
    r.sent = !never_connected && !timed_out_connecting;
    r.answered = code == CURLE_OK;

    long status = 0;
    curl_easy_getinfo(t.easy.get(), CURLINFO_RESPONSE_CODE, &status);
    r.status = static_cast<int>(status);
    char* content_type = nullptr;
    curl_easy_getinfo(t.easy.get(), CURLINFO_CONTENT_TYPE, &content_type);
    if (content_type != nullptr)
        r.content_type = content_type;
    if (t.refusal.empty())
        r.body = std::move(t.body);
    if (code != CURLE_OK)
        r.detail = t.refusal.empty() ? curl_easy_strerror(code) : t.refusal;
    return r;
}

} // namespace dotterellock
