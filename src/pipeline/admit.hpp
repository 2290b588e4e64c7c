// Fourth filter: early refusal of what an organisation may not send or the
// fleet cannot serve in time. One per router shard, called under its lock.
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
        // A caller that lost its connection was admitted before.
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
