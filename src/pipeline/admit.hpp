// Fourth filter: admission control. Rejects requests that exceed the limits of
// their organisation or that the fleet cannot serve in time. One instance per
// router shard, called under the lock of the shard.
#ifndef DOTTERELLOCK_PIPELINE_ADMIT_HPP
#define DOTTERELLOCK_PIPELINE_ADMIT_HPP

#include <dotterellock/admission.hpp>

#include "filter.hpp"

namespace dotterellock
{

class admit_filter : public filter
{
public:
    explicit admit_filter(admission_control& admission) : admission_(admission)
    {
    }

    void apply(request_context& context) override
    {
        // A resumed generation passed admission control when it started.
        if (context.resume)
            return;
        bool const call = context.kind == work_kind::call;
        admission_.admit(
            context.organisation,
            call ? context.call.rank : context.generation.rank,
            call ? model_ref{} : context.generation.model);
    }

private:
    admission_control& admission_;
};

} // namespace dotterellock

#endif
