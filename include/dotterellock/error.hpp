// The exception type used by all modules. An error has a stable code, the step
// that failed and the peer that was involved.
#ifndef DOTTERELLOCK_ERROR_HPP
#define DOTTERELLOCK_ERROR_HPP

#include <chrono>
#include <stdexcept>
#include <string>

namespace dotterellock
{

/// Stable codes. to_string() returns the name that callers and operators see.
enum class error_code
{
    invalid_argument,    // 400: malformed value or body
    unauthorised,        // 401: organisation is missing or unknown
    unknown_model,       // 404
    unknown_service,     // 404
    conflict,            // 409: condition of a write did not hold
    payload_too_large,   // 413
    key_reused,          // 422: same idempotency key, different request
    rate_limited,        // 429: organisation limit; see retry_after
    overloaded,          // 429: deadline cannot be met; see retry_after
    model_version_gone,  // 503: no endpoint left to continue the answer
    no_endpoint,         // 503: no endpoint can serve the request
    store_unavailable,   // 503: store did not answer in time
    endpoint_draining,   // 503: endpoint accepts no new work
    stale_epoch,         // 409: another router owns the generation
    stale_incarnation,   // 409: the agent restarted since the message was made
    stale_fencing_token, // 409: a later lease holder exists
    permit_expired,      // 409
    not_run,             // 503: the call was not run and never will be
    outcome_unknown,     // 504: repeat with the same idempotency key
    deadline_exceeded,   // 504
    connection_lost,     // 502
    engine_failed,       // 502
    cancelled,           // 499: the caller disconnected
    shutting_down,       // 503
    protocol_error,      // 502: undecodable or unexpected message
    internal_error       // 500
};

char const* to_string(error_code code);
int http_status(error_code code);

class error : public std::runtime_error
{
public:
    /// @param step  operation that failed, such as "dispatch" or "claim"
    /// @param peer  process or service involved; empty for a local error
    error(
        error_code code, std::string step, std::string peer,
        std::string const& detail,
        std::chrono::milliseconds retry_after = std::chrono::milliseconds{0});

    error_code code() const { return code_; }
    std::string const& step() const { return step_; }
    std::string const& peer() const { return peer_; }
    std::string const& detail() const { return detail_; }
    std::chrono::milliseconds retry_after() const { return retry_after_; }

private:
    error_code code_;
    std::string step_;
    std::string peer_;
    std::string detail_;
    std::chrono::milliseconds retry_after_; // 0: not set
};

} // namespace dotterellock

#endif
