#include "rollout.hpp"

#include <algorithm>

#include "store_revision.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// Long enough for most calls on old endpoints to end, and small against the
// exposure share.
constexpr double shift_part = 0.04;

// Covers the difference between the gateways' views of the beginning.
constexpr milliseconds min_shift{800};

// Short orders keep most of their time for the canary.
constexpr int max_shift_divisor = 4;

// Time for the store's write, with one retry, before the deadline.
constexpr milliseconds completion_lead{300};

// The first half of the shift is left for a verdict at full load.
constexpr int early_completion_divisor = 2;

// Reserve for attempts that are counted late.
constexpr double canary_part = 0.9;

// Less would leave short orders without evidence.
constexpr double min_canary_share = 0.02;

} // namespace

bool is_restored(rollout_order const& order, rollout_order const& known)
{
    return store_era_of(order.revision) > store_era_of(known.revision) &&
           order.to == known.to && order.length == known.length;
}

rollout_status
merged_across_eras(rollout_status const& a, rollout_status const& b)
{
    auto merged = a;
    bool const same_order =
        a.order_revision != 0 && b.order_revision != 0 && a.to == b.to &&
        store_era_of(a.order_revision) != store_era_of(b.order_revision);
    if (same_order)
    {
        merged.state = std::max(a.state, b.state);
        merged.order_revision = std::max(a.order_revision, b.order_revision);
    }
    return merged;
}

bool supersedes(rollout_status const& a, rollout_status const& b)
{
    if (a.order_revision != b.order_revision)
        return a.order_revision > b.order_revision;
    return a.state > b.state;
}

rollout_phases::rollout_phases(milliseconds length)
{
    auto const by_share = milliseconds(
        static_cast<milliseconds::rep>(double(length.count()) * shift_part));
    auto const shift_length =
        std::min(std::max(by_share, min_shift), length / max_shift_divisor);
    shift = length - shift_length;
    early_completion = length - shift_length / early_completion_divisor;
    completion = std::max(shift, length - completion_lead);
    if (length.count() > 0)
        shift_share = double(shift_length.count()) / double(length.count());
}

double rollout_phases::canary_share(rollout_settings const& settings) const
{
    return std::max(
        min_canary_share,
        canary_part * (settings.exposure_share - shift_share));
}

} // namespace dotterellock
