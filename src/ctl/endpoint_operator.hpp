// Drains endpoints and returns them to service: commits the row of the desired
// state if its version is unchanged, then polls the endpoint's registration.
// Runs one operation at a time, on the caller's thread.
#ifndef DOTTERELLOCK_CTL_ENDPOINT_OPERATOR_HPP
#define DOTTERELLOCK_CTL_ENDPOINT_OPERATOR_HPP

#include <functional>
#include <optional>
#include <string>

#include <dotterellock/external_services.hpp>
#include <dotterellock/runtime.hpp>

#include "membership/registration_record.hpp"
#include "store/callback_guard.hpp"

namespace dotterellock
{

enum class endpoint_change_outcome
{
    done,        // drained with nothing in flight, or back in service
    recorded,    // committed; the request does not wait for the effect
    timed_out,   // committed; the time limit passed before the effect
    conflict,    // another operator changed the row first
    unavailable, // not committed: the store did not answer
    unknown,     // the commit may or may not have been applied
    not_found    // no such endpoint is registered
};

struct endpoint_status
{
    std::optional<registration_record> registered;
    desired_drain desired;
    bool answered = false; // false: the store did not answer
};

struct endpoint_change_request
{
    endpoint_id endpoint;
    bool drain = true;
    std::string author;
    std::string reason;
    bool wait = true;
    duration time_limit = std::chrono::seconds(90);
};

class endpoint_operator
{
public:
    endpoint_operator(
        clock_source& clock, timer_service& timers, random_source& random,
        table_service& store);
    ~endpoint_operator();
    endpoint_operator(endpoint_operator const&) = delete;
    endpoint_operator& operator=(endpoint_operator const&) = delete;

    /// `done` receives the last status read; after a conflict its desired state
    /// is the one that the other operator committed.
    void change(
        endpoint_change_request request,
        std::function<void(endpoint_status const&)> progress,
        std::function<void(endpoint_change_outcome, endpoint_status)> done);

    void status(
        endpoint_id const& endpoint, std::function<void(endpoint_status)> done);

private:
    void read_current();
    void commit();
    void read_back();
    void await_desired_state();
    void retry(void (endpoint_operator::*step)());
    void finish(endpoint_change_outcome outcome);
    void read(std::function<void(bool answered)> done);
    bool desired_state_reached() const;

    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    table_service& store_;
    endpoint_change_request request_;
    std::function<void(endpoint_status const&)> progress_;
    std::function<void(endpoint_change_outcome, endpoint_status)> done_;
    desired_drain desired_;
    endpoint_status last_status_;
    row_version desired_row_version_ = 0;
    row_version base_row_version_ = 0; // expected by the commit
    steady_time deadline_;
    bool commit_may_be_applied_ = false;
    timer_id timer_ = 0;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
