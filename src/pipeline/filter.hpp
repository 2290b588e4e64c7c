// One step of the request path. Filters run in a fixed order over one request
// context; each either fills in its part or throws dotterellock::error, which
// ends the request. Order: parse, identify (on the I/O thread, before the
// shard is known), classify, admit (under the lock of the shard), hand-over.
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
    bool chat = false; // format of the answer
    bool has_caller_seed = false;
    std::optional<rank> requested_rank;

    // identify
    organisation_id organisation;
    std::optional<rank> configured_rank; // of the organisation
    std::string idempotency_key;         // the caller's or a generated one
    bool has_caller_key = false;
    std::optional<resume_point> resume;

    // classify
    bool router_chose_version = false; // by the router, not by the caller

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
