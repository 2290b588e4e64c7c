#include "classify.hpp"

#include <algorithm>

namespace dotterellock
{

namespace
{

constexpr char const* step = "classify";

/// Returns the longest configured operation that equals the path or is a prefix
/// of it that ends before a slash: "lookup" matches "lookup/123".
std::string const* match_operation(
    policy_settings const& policy, std::string const& service,
    std::string const& path)
{
    std::string candidate = service + "/" + path;
    while (candidate.size() > service.size())
    {
        auto const found = policy.operations.find(candidate);
        if (found != policy.operations.end())
            return &found->first;
        candidate.resize(candidate.rfind('/'));
    }
    return nullptr;
}

} // namespace

void classify_filter::apply(request_context& context)
{
    rank const effective = effective_rank(context);
    context.generation.rank = effective;
    context.call.rank = effective;
    if (context.kind == work_kind::generation)
        classify_generation(context);
    else
        classify_call(context);
}

/// A rank above the highest rank of the organisation is lowered to that rank.
/// Rejecting the request would lose its work over a preference.
rank classify_filter::effective_rank(request_context const& context) const
{
    auto const& organisation = policy_.current().of(context.organisation);
    rank const wanted = context.requested_rank.value_or(
        context.configured_rank.value_or(organisation.default_rank));
    return std::max(wanted, organisation.highest_rank);
}

void classify_filter::classify_generation(request_context& context) const
{
    model_ref& model = context.generation.model;
    std::string const serving_version =
        models_.default_version(model.name, model.adapter);
    // A resumed generation may be complete in a journal copy, in which case
    // it needs no endpoint.
    bool const needs_endpoint = !context.resume || model.version.empty();
    if (serving_version.empty() && needs_endpoint)
    {
        throw error(
            error_code::unknown_model, step, "",
            "no endpoint serves model " + model.name);
    }
    if (!model.version.empty())
        return;
    model.version = serving_version;
    context.router_chose_version = true;
}

void classify_filter::classify_call(request_context& context) const
{
    call_request& call = context.call;
    policy_settings const& policy = policy_.current();
    std::string const* const name =
        match_operation(policy, call.service.value(), call.operation);
    if (name == nullptr)
    {
        throw error(
            error_code::unknown_service, step, "",
            "operation " + call.service.value() + "/" + call.operation +
                " is not in the configuration");
    }
    operation_policy const& operation = policy.operations.at(*name);
    call.operation = name->substr(call.service.value().size() + 1);
    call.repeatable = operation.repeatable;
    call.timeout = operation.timeout;
    if (!call.repeatable && !context.has_caller_key)
    {
        throw error(
            error_code::invalid_argument, step, "",
            "operation " + *name + " needs an Idempotency-Key");
    }
}

} // namespace dotterellock
