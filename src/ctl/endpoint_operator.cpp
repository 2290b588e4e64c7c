#include "ctl/endpoint_operator.hpp"

#include <utility>

#include "configuration/random_id.hpp"
#include "configuration/wall_time_text.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds store_timeout{3};
constexpr milliseconds retry_interval{500};
constexpr milliseconds poll_interval{500};

} // namespace

endpoint_operator::endpoint_operator(
    clock_source& clock, timer_service& timers, random_source& random,
    table_service& store)
    : clock_(clock), timers_(timers), random_(random), store_(store)
{
}

endpoint_operator::~endpoint_operator()
{
    timers_.cancel(timer_);
}

void endpoint_operator::change(
    endpoint_change_request request,
    std::function<void(endpoint_status const&)> progress,
    std::function<void(endpoint_change_outcome, endpoint_status)> done)
{
    request_ = std::move(request);
    progress_ = std::move(progress);
    done_ = std::move(done);
    desired_.drain = request_.drain;
    desired_.attempt = random_id(random_);
    desired_.author = request_.author;
    desired_.reason = request_.reason;
    desired_.requested_at = format_wall_time(clock_.wall_now());
    deadline_ = clock_.now() + request_.time_limit;
    commit_may_be_applied_ = false;
    read_current();
}

void endpoint_operator::status(
    endpoint_id const& endpoint, std::function<void(endpoint_status)> done)
{
    request_.endpoint = endpoint;
    read([this, done = std::move(done)](bool) { done(last_status_); });
}

void endpoint_operator::retry(void (endpoint_operator::*step)())
{
    if (clock_.now() >= deadline_)
    {
        finish(
            commit_may_be_applied_ ? endpoint_change_outcome::unknown
                                   : endpoint_change_outcome::unavailable);
        return;
    }
    timer_ =
        timers_.schedule(retry_interval, [this, step] { (this->*step)(); });
}

void endpoint_operator::read_current()
{
    auto const on_read = [this](bool answered)
    {
        if (!answered)
        {
            retry(&endpoint_operator::read_current);
            return;
        }
        if (!last_status_.registered)
        {
            finish(endpoint_change_outcome::not_found);
            return;
        }
        base_row_version_ = desired_row_version_;
        commit();
    };
    read(on_read);
}

void endpoint_operator::commit()
{
    auto const on_commit = [this](commit_result const& result)
    {
        if (result.status == store_status::ok)
            await_desired_state();
        else if (result.status == store_status::unavailable)
            retry(&endpoint_operator::commit);
        else
        {
            commit_may_be_applied_ = commit_may_be_applied_ ||
                                     result.status == store_status::unknown;
            read_back();
        }
    };
    store_.commit(
        {{desired_key(request_.endpoint), encode(desired_), base_row_version_}},
        store_timeout, guard_.wrap(on_commit));
}

void endpoint_operator::read_back()
{
    auto const on_read = [this](bool answered)
    {
        if (!answered)
            retry(&endpoint_operator::read_back);
        else if (last_status_.desired.attempt == desired_.attempt)
            await_desired_state();
        else if (desired_row_version_ == base_row_version_)
            retry(&endpoint_operator::commit); // safe: checks the row version
        else
            finish(endpoint_change_outcome::conflict);
    };
    read(on_read);
}

void endpoint_operator::await_desired_state()
{
    if (!request_.wait)
    {
        finish(endpoint_change_outcome::recorded);
        return;
    }
    auto const on_read = [this](bool answered)
    {
        bool const overwritten =
            answered && last_status_.desired.attempt != desired_.attempt;
        if (answered && progress_)
            progress_(last_status_);
        if (overwritten)
            finish(endpoint_change_outcome::conflict);
        else if (answered && desired_state_reached())
            finish(endpoint_change_outcome::done);
        else if (clock_.now() >= deadline_)
            finish(endpoint_change_outcome::timed_out);
        else
            timer_ = timers_.schedule(
                poll_interval, [this] { await_desired_state(); });
    };
    read(on_read);
}

bool endpoint_operator::desired_state_reached() const
{
    if (!last_status_.registered)
        return request_.drain; // an unregistered endpoint receives no work
    registration_record const& r = *last_status_.registered;
    if (!request_.drain)
        return !r.draining;
    return r.left || (r.draining && r.in_flight == 0);
}

void endpoint_operator::finish(endpoint_change_outcome outcome)
{
    auto const done = std::move(done_);
    done(outcome, last_status_);
}

void endpoint_operator::read(std::function<void(bool)> done)
{
    endpoint_info key;
    key.endpoint = request_.endpoint;
    auto const on_answer =
        [this, done = std::move(done)](read_result const& result)
    {
        last_status_.answered =
            result.status == store_status::ok && result.rows.size() == 2;
        if (last_status_.answered)
        {
            last_status_.registered =
                decode_registration_record(result.rows[0].value);
            last_status_.desired = decode_desired_drain(result.rows[1].value)
                                       .value_or(desired_drain());
            desired_row_version_ = result.rows[1].version;
        }
        done(last_status_.answered);
    };
    store_.read(
        {registration_key(key), desired_key(request_.endpoint)}, store_timeout,
        guard_.wrap(on_answer));
}

} // namespace dotterellock
