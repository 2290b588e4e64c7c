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
constexpr milliseconds look_interval{500};

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
    endpoint_request request,
    std::function<void(endpoint_status const&)> progress,
    std::function<void(endpoint_outcome, endpoint_status)> done)
{
    request_ = std::move(request);
    progress_ = std::move(progress);
    done_ = std::move(done);
    wanted_.drain = request_.drain;
    wanted_.attempt = random_id(random_);
    wanted_.author = request_.author;
    wanted_.reason = request_.reason;
    wanted_.requested_at = format_wall_time(clock_.wall_now());
    deadline_ = clock_.now() + request_.time_limit;
    in_doubt_ = false;
    read_present();
}

void endpoint_operator::status(
    endpoint_id const& endpoint, std::function<void(endpoint_status)> done)
{
    request_.endpoint = endpoint;
    read([this, done = std::move(done)](bool) { done(seen_); });
}

void endpoint_operator::retry(void (endpoint_operator::*step)())
{
    if (clock_.now() >= deadline_)
    {
        finish(
            in_doubt_ ? endpoint_outcome::unknown
                      : endpoint_outcome::unavailable);
        return;
    }
    timer_ =
        timers_.schedule(retry_interval, [this, step] { (this->*step)(); });
}

void endpoint_operator::read_present()
{
    auto const on_read = [this](bool answered)
    {
        if (!answered)
        {
            retry(&endpoint_operator::read_present);
            return;
        }
        if (!seen_.registered)
        {
            finish(endpoint_outcome::not_found);
            return;
        }
        base_row_ = seen_row_;
        commit();
    };
    read(on_read);
}

void endpoint_operator::commit()
{
    auto const on_commit = [this](commit_result const& result)
    {
        if (result.status == store_status::ok)
            watch();
        else if (result.status == store_status::unavailable)
            retry(&endpoint_operator::commit);
        else
        {
            in_doubt_ = in_doubt_ || result.status == store_status::unknown;
            read_back();
        }
    };
    store_.commit(
        {{desired_key(request_.endpoint), encode(wanted_), base_row_}},
        store_timeout, guard_.wrap(on_commit));
}

void endpoint_operator::read_back()
{
    auto const on_read = [this](bool answered)
    {
        if (!answered)
            retry(&endpoint_operator::read_back);
        else if (seen_.desired.attempt == wanted_.attempt)
            watch();
        else if (seen_row_ == base_row_)
            retry(&endpoint_operator::commit); // the condition makes it safe
        else
            finish(endpoint_outcome::conflict);
    };
    read(on_read);
}

void endpoint_operator::watch()
{
    if (!request_.wait)
    {
        finish(endpoint_outcome::recorded);
        return;
    }
    auto const on_read = [this](bool answered)
    {
        bool const replaced =
            answered && seen_.desired.attempt != wanted_.attempt;
        if (answered && progress_)
            progress_(seen_);
        if (replaced)
            finish(endpoint_outcome::conflict);
        else if (answered && reached())
            finish(endpoint_outcome::done);
        else if (clock_.now() >= deadline_)
            finish(endpoint_outcome::not_done);
        else
            timer_ = timers_.schedule(look_interval, [this] { watch(); });
    };
    read(on_read);
}

bool endpoint_operator::reached() const
{
    if (!seen_.registered)
        return request_.drain; // it is gone, so it takes no work
    registration_record const& r = *seen_.registered;
    if (!request_.drain)
        return !r.draining;
    return r.left || (r.draining && r.in_flight == 0);
}

void endpoint_operator::finish(endpoint_outcome outcome)
{
    auto const done = std::move(done_);
    done(outcome, seen_);
}

void endpoint_operator::read(std::function<void(bool)> done)
{
    endpoint_info key;
    key.endpoint = request_.endpoint;
    auto const on_answer =
        [this, done = std::move(done)](read_result const& result)
    {
        seen_.answered =
            result.status == store_status::ok && result.rows.size() == 2;
        if (seen_.answered)
        {
            seen_.registered = decode_registration_record(result.rows[0].value);
            seen_.desired = decode_desired_drain(result.rows[1].value)
                                .value_or(desired_drain());
            seen_row_ = result.rows[1].version;
        }
        done(seen_.answered);
    };
    store_.read(
        {registration_key(key), desired_key(request_.endpoint)}, store_timeout,
        guard_.wrap(on_answer));
}

} // namespace dotterellock
