#include "endpoint_call.hpp"

#include <utility>

#include "string_growth.hpp"

namespace dotterellock
{

endpoint_call::endpoint_call(
    connection_pool& pool, protocol_codec const& protocol,
    clock_source const& clock, memory_budget& memory,
    std::shared_ptr<endpoint_state const> endpoint,
    std::chrono::milliseconds timeout, head_handler on_head, handler done)
    : pool_(pool), protocol_(protocol), clock_(clock),
      endpoint_(std::move(endpoint)), record_(endpoint_->record()),
      timeout_(timeout), on_head_(std::move(on_head)), done_(std::move(done)),
      account_(memory, memory_use::endpoints)
{
}

void endpoint_call::start(std::string request, steady_time now, bool probe)
{
    began_ = now;
    auto const address = parse_address(record_.address);
    if (!address || !endpoint_->accepts_requests(now))
    {
        complete();
        return;
    }
    // Answers to calls have no id, so a connection carries one call at most.
    connection_ = probe ? pool_.create() : pool_.acquire(record_, false, {});
    if (probe)
        connection_->record_request({});
    reused_connection_ = connection_->connected();
    reply_.accepted = reused_connection_;
    connection_->send(*address, {std::move(request), nullptr}, *this);
}

void endpoint_call::cancel()
{
    done_ = nullptr;
    if (connection_)
        connection_->abandon();
    connection_.reset();
}

void endpoint_call::check_timeouts(steady_time now, bool paused)
{
    if (paused)
        began_ = now;
    if (done() || now - began_ < timeout_)
        return;
    connection_->abandon();
    connection_.reset();
    complete();
}

void endpoint_call::on_connected()
{
    reply_.accepted = true;
    if (endpoint_->accepts_requests(clock_.now()))
        return;
    connection_->abandon();
    connection_.reset();
    complete();
}

void endpoint_call::on_response_head(message_head head)
{
    // Answers to such calls carry no request id; one that does is the
    // answer to a request.
    if (protocol_.read_response(head).id)
    {
        connection_->skip_response();
        return;
    }
    response_status_ = head.status;
    on_head_(head);
}

void endpoint_call::on_response_body(std::string_view bytes)
{
    auto const capacity = capacity_after(reply_.body, bytes.size());
    bool const allowed = account_.may_grow(capacity);
    append_tight(reply_.body, bytes);
    account_.hold(reply_.body.capacity());
    if (allowed && reply_.body.size() <= max_body_bytes)
        return;
    shrink(reply_.body, 0);
    connection_->abandon();
    connection_.reset();
    complete();
}

void endpoint_call::on_response_complete()
{
    reply_.status = response_status_;
    pool_.release(record_, std::move(connection_), std::nullopt);
    connection_.reset();
    complete();
}

void endpoint_call::on_failure(connection_failure failure)
{
    // A connection that is accepted and then reset shows only that the host is
    // alive; the process may be gone, so this does not count as accepted.
    if (failure != connection_failure::closed)
        reply_.accepted = false;
    connection_.reset();
    complete();
}

void endpoint_call::complete()
{
    auto const done = std::exchange(done_, nullptr);
    if (done)
        done(std::exchange(reply_, {}));
    account_.hold(0);
}

} // namespace dotterellock
