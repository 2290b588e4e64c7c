// Third filter: applies the current policy to the request. Sets its rank, the
// model version when the caller named none, and whether a call may be
// repeated. One instance per router shard, called under the lock of the shard.
#ifndef DOTTERELLOCK_PIPELINE_CLASSIFY_HPP
#define DOTTERELLOCK_PIPELINE_CLASSIFY_HPP

#include <dotterellock/policy.hpp>

#include "filter.hpp"

namespace dotterellock
{

/// Maps a model to the version used for requests that name no version.
class model_catalogue
{
public:
    virtual ~model_catalogue() = default;

    /// Empty when no endpoint serves the model.
    virtual std::string default_version(
        std::string const& name, std::string const& adapter) const = 0;
};

class classify_filter : public filter
{
public:
    classify_filter(policy_source const& policy, model_catalogue const& models)
        : policy_(policy), models_(models)
    {
    }

    void apply(request_context& context) override;

private:
    rank effective_rank(request_context const& context) const;
    void classify_generation(request_context& context) const;
    void classify_call(request_context& context) const;

    policy_source const& policy_;
    model_catalogue const& models_;
};

} // namespace dotterellock

#endif
