// Plain calls: the interface between the HTTP server and the claims module.
#ifndef DOTTERELLOCK_CALL_HPP
#define DOTTERELLOCK_CALL_HPP

#include <functional>
#include <string>

#include <dotterellock/error.hpp>
#include <dotterellock/messages.hpp>

namespace dotterellock
{

struct call_request
{
    request_id request; // organisation and idempotency key
    organisation_id organisation;
    dotterellock::rank rank = rank::standard;
    service_name service;
    std::string operation;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    bool repeatable = false; // idempotent: may run more than once
    milliseconds timeout{0};
};

/// Reply to the caller. With outcome `done` it is the service's own answer.
struct call_reply
{
    call_outcome outcome = call_outcome::unknown;
    error_code code = error_code::outcome_unknown; // ignored when done
    int status = 0;
    std::string content_type;
    std::string body;
    std::string detail;
    milliseconds retry_after{0}; // if refused or unknown; 0: not set
};

class call_service
{
public:
    virtual ~call_service() = default;

    /// Runs the call, or reports what is known of an earlier call with the
    /// same key. `done` is invoked once, never from within this function.
    virtual void
    call(call_request request, std::function<void(call_reply)> done) = 0;

    virtual std::size_t open_calls() const = 0;
};

} // namespace dotterellock

#endif
