// One step of the request pipeline. Filters run in a fixed order on one request
// context; each either fills in its part or throws dotterellock::error, which
// ends the request. Order: parse and identify (on the I/O thread, before the
// shard is known), then classify and admit (under the lock of the shard).
// After the last filter the request goes to the generation or call service.
#ifndef DOTTERELLOCK_PIPELINE_FILTER_HPP
#define DOTTERELLOCK_PIPELINE_FILTER_HPP

#include <optional>
#include <string>

#include <dotterellock/call.hpp>
#include <dotterellock/generation.hpp>

#include "server_http_types.hpp"

namespace dotterellock
{

struct request_context
{
    server_request http_request;

    // parse
    work_kind kind = work_kind::generation;
    bool stream = false;
    bool chat = false; // use the chat completion response format
    bool has_caller_seed = false;
    std::optional<rank> requested_rank;

    // identify
    organisation_id organisation;
    std::optional<rank> configured_rank; // for the organisation
    std::string idempotency_key;         // from the caller, or generated
    bool has_caller_key = false;
    std::optional<resume_point> resume;

    // classify
    bool router_chose_version = false; // false: named by the caller

    generation_request generation; // kind == generation
    call_request call;             // kind == call

    request_id const& request() const
    {
        return kind == work_kind::generation ? generation.request
                                             : call.request;
    }
};

class filter
{
public:
    virtual ~filter() = default;
    virtual void apply(request_context& context) = 0;
};

} // namespace dotterellock

#endif
