// Takes endpoints out of service and back, for the operators' tool: writes the
// desired row on condition that nobody changed it meanwhile and watches the
// endpoint's registration. One operation at a time, on the tool's thread.
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

enum class endpoint_outcome
{
    done,        // drained with nothing in flight, or back in service
    recorded,    // nobody waited
    not_done,    // recorded; the time limit passed first
    conflict,    // another operator's change came first
    unavailable, // not recorded: the store did not answer
    unknown,     // may have been recorded
    not_found    // no such endpoint is registered
};

struct endpoint_status
{
    std::optional<registration_record> registered;
    desired_drain desired;
    bool answered = false; // false: the store did not answer
};

struct endpoint_request
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

    /// `done` gets the last status seen; in a conflict its desired state is
    /// the other operator's.
    void change(
        endpoint_request request,
        std::function<void(endpoint_status const&)> progress,
        std::function<void(endpoint_outcome, endpoint_status)> done);

    void status(
        endpoint_id const& endpoint, std::function<void(endpoint_status)> done);

private:
    void read_present();
    void commit();
    void read_back();
    void watch();
    void retry(void (endpoint_operator::*step)());
    void finish(endpoint_outcome outcome);
    void read(std::function<void(bool answered)> done);
    bool reached() const;

    clock_source& clock_;
    timer_service& timers_;
    random_source& random_;
    table_service& store_;
    endpoint_request request_;
    std::function<void(endpoint_status const&)> progress_;
    std::function<void(endpoint_outcome, endpoint_status)> done_;
    desired_drain wanted_;
    endpoint_status seen_;
    row_version seen_row_ = 0; // of the desired row
    row_version base_row_ = 0; // that the write depends on
    steady_time deadline_;
    bool in_doubt_ = false;
    timer_id timer_ = 0;
    callback_guard guard_;
};

} // namespace dotterellock

#endif
