// A plain call as the HTTP front and the claims module see it.
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
    bool repeatable = false;
    milliseconds timeout{0};
};

/// What the caller is told. `done` carries the service's own answer.
struct call_reply
{
    call_outcome outcome = call_outcome::unknown;
    error_code code = error_code::outcome_unknown; // unless done
    int status = 0;
    std::string content_type;
    std::string body;
    std::string detail;
    milliseconds retry_after{0}; // for refused and unknown; 0: no advice
};

class call_service
{
public:
    virtual ~call_service() = default;

    /// Runs the call, or returns what is known of an earlier call with the
    /// same key. `done` runs once, never inside this call.
    virtual void
    call(call_request request, std::function<void(call_reply)> done) = 0;

    virtual std::size_t open_calls() const = 0;
};

} // namespace dotterellock

#endif
