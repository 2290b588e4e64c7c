#include "http_server.hpp"

#include <chrono>
#include <utility>

#include <restinio/all.hpp>

namespace dotterellock::standins
{

namespace
{

using traits = restinio::default_single_thread_traits_t;
using server_type = restinio::http_server_t<traits>;
using stream_builder = restinio::response_builder_t<restinio::chunked_output_t>;

constexpr std::uint64_t max_body_bytes = 64ull << 20;
// Responses withheld by fault injection must stay open beyond the timeout of
// the caller.
constexpr std::chrono::minutes answer_timeout{30};

class restinio_reply : public http_reply,
                       public std::enable_shared_from_this<restinio_reply>
{
public:
    explicit restinio_reply(restinio::request_handle_t request)
        : request_(std::move(request))
    {
    }

    void send(int status, std::string content_type, std::string body) override
    {
        auto const code =
            restinio::http_status_code_t(static_cast<std::uint16_t>(status));
        request_->create_response(restinio::http_status_line_t(code, "Answer"))
            .append_header(
                restinio::http_field::content_type, std::move(content_type))
            .set_body(std::move(body))
            .done();
    }

    void begin_stream(std::string content_type) override
    {
        stream_ = std::make_unique<stream_builder>(
            request_->create_response<restinio::chunked_output_t>());
        stream_->append_header(
            restinio::http_field::content_type, std::move(content_type));
        stream_->flush();
    }

    void write(std::string chunk) override
    {
        stream_->append_chunk(std::move(chunk));
        stream_->flush(
            [self = shared_from_this()](auto const& status)
            {
                if (status)
                    self->closed_ = true;
            });
    }

    void end() override
    {
        stream_->done();
        stream_.reset();
    }

    bool closed() const override { return closed_; }

private:
    restinio::request_handle_t request_;
    std::unique_ptr<stream_builder> stream_;
    bool closed_ = false;
};

http_call to_http_call(restinio::request_handle_t const& request)
{
    http_call call;
    auto const& header = request->header();
    call.method = header.method().c_str();
    call.path = std::string(header.path());
    auto const query = restinio::parse_query(header.query());
    for (auto const& item : query)
        call.query[std::string(item.first)] = std::string(item.second);
    call.request_id = header.get_field_or("X-Request-Id", "");
    call.body = request->body();
    return call;
}

} // namespace

struct http_server::implementation
{
    std::uint16_t port = 0;
    std::unique_ptr<server_type> server;
};

http_server::http_server(
    asio::io_context& context, std::string const& address, std::uint16_t port,
    http_handler handler)
    : implementation_(std::make_unique<implementation>())
{
    auto const on_request =
        [handler = std::move(handler)](restinio::request_handle_t request)
    {
        http_call const call = to_http_call(request);
        handler(call, std::make_shared<restinio_reply>(std::move(request)));
        return restinio::request_accepted();
    };
    auto* const bound_port = &implementation_->port;
    implementation_->server = std::make_unique<server_type>(
        restinio::external_io_context(context),
        [&](auto& settings)
        {
            settings.address(address)
                .port(port)
                .request_handler(on_request)
                .handle_request_timeout(answer_timeout)
                .write_http_response_timelimit(answer_timeout)
                .incoming_http_msg_limits(
                    restinio::incoming_http_msg_limits_t{}.max_body_size(
                        max_body_bytes))
                .max_pipelined_requests(4)
                .concurrent_accepts_count(8)
                .acceptor_options_setter(
                    [](auto& options) {
                        options.set_option(
                            asio::ip::tcp::acceptor::reuse_address(true));
                    })
                .socket_options_setter(
                    [](auto& options)
                    { options.set_option(asio::ip::tcp::no_delay(true)); })
                .acceptor_post_bind_hook(
                    [bound_port](asio::ip::tcp::acceptor& acceptor)
                    { *bound_port = acceptor.local_endpoint().port(); });
        });
    implementation_->server->open_sync();
}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return implementation_->port;
}

} // namespace dotterellock::standins
