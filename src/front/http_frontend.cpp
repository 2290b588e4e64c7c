#include "http_frontend.hpp"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <unordered_map>
#include <utility>

#include <dotterellock/error.hpp>

#include "http/reason_phrase.hpp"

#include <restinio/all.hpp>

namespace dotterellock
{

namespace
{

// RESTinio closes a connection when nothing is written to its response for this
// long (10 s by default). A long prefill or time spent in a queue is normal, so
// the limit is effectively off; the relay and the time limits of callers end
// requests that will never complete.
constexpr std::chrono::hours response_idle_timeout{24};

// A caller that reads nothing for this long is treated as disconnected; its
// generation is kept for the grace period.
constexpr std::chrono::seconds response_write_timeout{30};
constexpr std::chrono::seconds next_request_timeout{75};

// With two, RESTinio keeps reading while a response is in progress and so
// detects that a caller has closed its connection.
constexpr std::size_t max_pipelined_requests = 2;

// Last-Event-ID carries the tokens that no journal holder has acknowledged.
constexpr std::size_t max_header_value_bytes = 64u << 10;

using connection_id = restinio::connection_id_t;

/// Tracks the exchanges of each connection and notifies them when it closes.
class connection_tracker
{
public:
    void add(connection_id id, std::shared_ptr<http_exchange> e)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto& open = exchanges_[id];
        // At most `max_pipelined_requests` are open; older ones are complete.
        if (open.size() == max_pipelined_requests)
            open.erase(open.begin());
        open.push_back(std::move(e));
    }

    /// Stops notifications for connections that close from now on, because
    /// the receivers are being destroyed.
    void disable()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        exchanges_.clear();
    }

    void state_changed(restinio::connection_state::notice_t const& n) noexcept
    {
        if (!restinio::holds_alternative<restinio::connection_state::closed_t>(
                n.cause()))
            return;
        std::vector<std::shared_ptr<http_exchange>> ended;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            auto const found = exchanges_.find(n.connection_id());
            if (found == exchanges_.end())
                return;
            ended = std::move(found->second);
            exchanges_.erase(found);
        }
        for (auto const& e : ended)
            e->on_caller_disconnected();
    }

private:
    std::mutex mutex_;
    std::unordered_map<
        connection_id, std::vector<std::shared_ptr<http_exchange>>>
        exchanges_;
};

struct server_traits : restinio::default_traits_t
{
    using connection_state_listener_t = connection_tracker;
};

using server_type = restinio::http_server_t<server_traits>;
using stream_builder = restinio::response_builder_t<restinio::chunked_output_t>;
using open_request_counter = std::shared_ptr<std::atomic<std::size_t>>;

/// Counts one request as open until its response is sent or can no longer be
/// sent.
class open_request_guard
{
public:
    explicit open_request_guard(open_request_counter open)
        : open_(std::move(open))
    {
        ++*open_;
    }
    ~open_request_guard() { --*open_; }
    open_request_guard(open_request_guard const&) = delete;
    open_request_guard& operator=(open_request_guard const&) = delete;

private:
    open_request_counter const open_;
};

restinio::http_status_line_t status_line(int status)
{
    auto const code = static_cast<std::uint16_t>(
        status >= 100 && status <= 999 ? status : 502);
    return {restinio::http_status_code_t(code), reason_phrase(unsigned(code))};
}

class restinio_response_sink : public response_sink
{
public:
    restinio_response_sink(
        restinio::request_handle_t request, open_request_counter open)
        : request_(std::move(request)),
          open_(std::make_shared<open_request_guard>(std::move(open)))
    {
    }

    void respond(server_response output) override
    {
        auto response = request_->create_response(status_line(output.status));
        response.append_header_date_field();
        if (!output.content_type.empty())
        {
            response.append_header(
                restinio::http_field::content_type,
                std::move(output.content_type));
        }
        for (auto& [name, value] : output.headers)
            response.append_header(std::move(name), std::move(value));
        response.set_body(std::move(output.body));
        response.done([open = open_](asio::error_code const&) {});
    }

    void begin_stream(http_headers headers) override
    {
        stream_ = std::make_unique<stream_builder>(
            request_->create_response<restinio::chunked_output_t>());
        stream_->append_header_date_field();
        for (auto& [name, value] : headers)
            stream_->append_header(std::move(name), std::move(value));
    }

    void write(std::string bytes, std::function<void()> written) override
    {
        stream_->append_chunk(std::move(bytes));
        if (!written)
        {
            stream_->flush();
            return;
        }
        stream_->flush(
            [written = std::move(written)](asio::error_code const& failure)
            {
                if (!failure)
                    written();
            });
    }

    void end() override
    {
        stream_->done([open = open_](asio::error_code const&) {});
        stream_.reset();
    }

private:
    restinio::request_handle_t request_;
    std::unique_ptr<stream_builder> stream_;
    std::shared_ptr<open_request_guard> const open_;
};

server_request to_server_request(restinio::request_t const& request)
{
    server_request result;
    auto const& header = request.header();
    result.method = header.method().c_str();
    result.path = std::string(header.path());
    result.query = std::string(header.query());
    header.for_each_field(
        [&result](auto const& field)
        {
            std::string name = field.name();
            std::transform(
                name.begin(), name.end(), name.begin(),
                [](unsigned char c)
                { return static_cast<char>(std::tolower(c)); });
            result.headers[std::move(name)] = field.value();
        });
    result.body = request.body();
    return result;
}

struct listen_address
{
    std::string ip;
    std::uint16_t port = 0;
};

listen_address parse_listen_address(std::string const& address)
{
    auto const colon = address.rfind(':');
    std::string const port =
        colon == std::string::npos ? "" : address.substr(colon + 1);
    bool const valid =
        !port.empty() && port.size() <= 5 &&
        port.find_first_not_of("0123456789") == std::string::npos &&
        std::stoul(port) <= 65535;
    if (!valid)
    {
        throw error(
            error_code::invalid_argument, "listen", "",
            "address \"" + address + "\" is not ip:port");
    }
    return {
        address.substr(0, colon), static_cast<std::uint16_t>(std::stoul(port))};
}

} // namespace

struct http_frontend::implementation
{
    std::string address;
    std::shared_ptr<connection_tracker> tracker =
        std::make_shared<connection_tracker>();
    open_request_counter open = std::make_shared<std::atomic<std::size_t>>(0);
    std::unique_ptr<server_type> server;
};

http_frontend::http_frontend(
    asio::io_context& io, http_frontend_settings const& settings,
    http_request_handler& handler)
    : implementation_(std::make_unique<implementation>())
{
    auto const on_request =
        [&handler, tracker = implementation_->tracker,
         open = implementation_->open](restinio::request_handle_t request)
    {
        auto const id = request->connection_id();
        server_request parsed = to_server_request(*request);
        auto e = handler.handle(
            std::move(parsed),
            std::make_shared<restinio_response_sink>(std::move(request), open));
        if (e)
            tracker->add(id, std::move(e));
        return restinio::request_accepted();
    };
    auto const listen = parse_listen_address(settings.listen_address);
    auto* const bound_address = &implementation_->address;
    auto const configure = [&](auto& s)
    {
        s.address(listen.ip)
            .port(listen.port)
            .request_handler(on_request)
            .connection_state_listener(implementation_->tracker)
            .handle_request_timeout(response_idle_timeout)
            .write_http_response_timelimit(response_write_timeout)
            .read_next_http_message_timelimit(next_request_timeout)
            .max_pipelined_requests(max_pipelined_requests)
            .concurrent_accepts_count(8)
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}
                    .max_url_size(8u << 10)
                    .max_field_name_size(1u << 10)
                    .max_field_value_size(max_header_value_bytes)
                    .max_field_count(100)
                    .max_body_size(settings.max_body_bytes))
            .acceptor_options_setter(
                [](auto& options) {
                    options.set_option(
                        asio::ip::tcp::acceptor::reuse_address(true));
                })
            .socket_options_setter(
                [](auto& options)
                { options.set_option(asio::ip::tcp::no_delay(true)); })
            .acceptor_post_bind_hook(
                [bound_address](asio::ip::tcp::acceptor& acceptor)
                {
                    auto const at = acceptor.local_endpoint();
                    *bound_address = at.address().to_string() + ":" +
                                     std::to_string(at.port());
                });
    };
    try
    {
        implementation_->server = std::make_unique<server_type>(
            restinio::external_io_context(io), configure);
        implementation_->server->open_sync();
    }
    catch (std::exception const& e)
    {
        throw error(
            error_code::invalid_argument, "listen", "",
            settings.listen_address + ": " + e.what());
    }
}

http_frontend::~http_frontend()
{
    implementation_->tracker->disable();
}

std::string http_frontend::listening_on() const
{
    return implementation_->address;
}

void http_frontend::stop_accepting()
{
    implementation_->server->close_async(
        [] {}, [](std::exception_ptr const&) {});
}

std::size_t http_frontend::open_requests() const
{
    return *implementation_->open;
}

} // namespace dotterellock
