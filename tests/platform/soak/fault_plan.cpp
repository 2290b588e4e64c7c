#include "fault_plan.hpp"

#include <algorithm>

namespace dotterellock::soak
{

using std::chrono::milliseconds;

std::vector<fault_kind> const& fault_kinds()
{
    using t = fault_target;
    static std::vector<fault_kind> const kinds = {
        {"gateway_kill", t::gateway, milliseconds(50), milliseconds(1500)},
        {"gateway_stop", t::gateway, milliseconds(50), milliseconds(1000)},
        {"gateway_pause", t::gateway, milliseconds(100), milliseconds(4500)},
        {"gateway_reload", t::gateway, milliseconds(0), milliseconds(0)},
        {"settings_change", t::gateway, milliseconds(0), milliseconds(0)},
        {"settings_broken", t::gateway, milliseconds(1200), milliseconds(2500)},
        {"all_gateways_kill", t::gateway, milliseconds(50), milliseconds(800)},
        {"caller_delay", t::caller_link, milliseconds(300), milliseconds(3000)},
        {"caller_reset", t::caller_link, milliseconds(0), milliseconds(0)},
        {"caller_silence", t::caller_link, milliseconds(0), milliseconds(0)},
        {"caller_cut_in", t::caller_link, milliseconds(200),
         milliseconds(2500)},
        {"caller_cut_out", t::caller_link, milliseconds(200),
         milliseconds(2500)},
        {"store_link_delay", t::store_link, milliseconds(300),
         milliseconds(3000)},
        {"store_link_reset", t::store_link, milliseconds(0), milliseconds(0)},
        {"store_link_silence", t::store_link, milliseconds(0), milliseconds(0)},
        {"store_link_cut_in", t::store_link, milliseconds(200),
         milliseconds(6000)},
        {"store_link_cut_out", t::store_link, milliseconds(200),
         milliseconds(6000)},
        {"store_down", t::store, milliseconds(200), milliseconds(6000)},
        {"store_silent", t::store, milliseconds(200), milliseconds(6000)},
        {"store_slow", t::store, milliseconds(500), milliseconds(5000)},
        {"store_loses_answers", t::store, milliseconds(500),
         milliseconds(5000)},
        {"store_refuses_one", t::store, milliseconds(500), milliseconds(6000)},
        {"store_forgets", t::store, milliseconds(0), milliseconds(0)},
        {"store_entries_lapse", t::store, milliseconds(800),
         milliseconds(4000)},
        {"endpoint_crash", t::endpoint, milliseconds(300), milliseconds(3000)},
        {"endpoint_same_id", t::endpoint, milliseconds(50), milliseconds(1000)},
        {"endpoint_leaves", t::endpoint, milliseconds(3500),
         milliseconds(5000)},
        {"endpoint_unlisted", t::endpoint, milliseconds(3500),
         milliseconds(5000)},
        {"endpoint_mute", t::endpoint, milliseconds(300), milliseconds(4000)},
        {"endpoint_failing", t::endpoint, milliseconds(500),
         milliseconds(4000)},
        {"endpoint_garbled", t::endpoint, milliseconds(500),
         milliseconds(4000)},
        {"endpoint_loses_answers", t::endpoint, milliseconds(500),
         milliseconds(4000)},
        {"endpoint_slow", t::endpoint, milliseconds(500), milliseconds(5000)},
        {"endpoint_delay", t::endpoint_link, milliseconds(300),
         milliseconds(3000)},
        {"endpoint_reset", t::endpoint_link, milliseconds(0), milliseconds(0)},
        {"endpoint_silence", t::endpoint_link, milliseconds(0),
         milliseconds(0)},
        {"endpoint_cut_in", t::endpoint_link, milliseconds(200),
         milliseconds(3000)},
        {"endpoint_cut_out", t::endpoint_link, milliseconds(200),
         milliseconds(3000)},
        {"configuration", t::operator_change, milliseconds(0), milliseconds(0)},
        {"configuration_storm", t::operator_change, milliseconds(500),
         milliseconds(2000)},
        {"callers_burst", t::caller_load, milliseconds(500),
         milliseconds(2000)},
        {"callers_leave", t::caller_load, milliseconds(1000),
         milliseconds(4000)}};
    return kinds;
}

std::vector<planned_fault> plan_faults(
    random_source& random, milliseconds total, std::size_t gateways,
    std::size_t endpoints, std::vector<std::string> const& only)
{
    constexpr std::size_t kinds_per_plan = 7;
    constexpr std::uint64_t max_gap_ms = 1500;     // between series
    constexpr std::uint64_t max_series_length = 4; // faults of one kind
    constexpr std::uint64_t max_offset_ms = 700;   // within a series

    std::vector<fault_kind const*> all;
    for (auto const& kind : fault_kinds())
    {
        bool const wanted =
            only.empty() ||
            std::find(only.begin(), only.end(), kind.name) != only.end();
        if (wanted)
            all.push_back(&kind);
    }
    std::vector<fault_kind const*> kinds;
    while (!all.empty() && kinds.size() < kinds_per_plan)
    {
        auto const at = all.begin() + std::ptrdiff_t(random.below(all.size()));
        kinds.push_back(*at);
        all.erase(at);
    }
    std::vector<planned_fault> plan;
    milliseconds at(500);
    while (at < total && !kinds.empty())
    {
        auto const* const kind = kinds[random.below(kinds.size())];
        auto const count = 1 + random.below(max_series_length);
        auto moment = at;
        for (std::uint64_t i = 0; i < count && moment < total; ++i)
        {
            planned_fault fault;
            fault.kind = kind;
            fault.at = moment;
            fault.length =
                kind->min_length +
                milliseconds(random.below(std::uint64_t(
                    (kind->max_length - kind->min_length).count() + 1)));
            fault.length = std::min(fault.length, total - moment);
            bool const of_endpoint =
                kind->target == fault_target::endpoint ||
                kind->target == fault_target::endpoint_link;
            fault.target_index =
                random.below(of_endpoint ? endpoints : gateways);
            plan.push_back(fault);
            moment += milliseconds(random.below(max_offset_ms));
        }
        at += milliseconds(random.below(max_gap_ms));
    }
    std::sort(
        plan.begin(), plan.end(),
        [](planned_fault const& a, planned_fault const& b)
        { return a.at < b.at; });
    return plan;
}

} // namespace dotterellock::soak
