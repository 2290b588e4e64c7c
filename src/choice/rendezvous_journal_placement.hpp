// Chooses the routers that hold copies of a generation's output: other routers
// of this region, those in other zones first, by rendezvous hash of the
// request. Immutable; one per router shard.
#ifndef DOTTERELLOCK_CHOICE_RENDEZVOUS_JOURNAL_PLACEMENT_HPP
#define DOTTERELLOCK_CHOICE_RENDEZVOUS_JOURNAL_PLACEMENT_HPP

#include <vector>

#include <dotterellock/dispatch.hpp>

namespace dotterellock
{

struct router_info
{
    peer_id router;
    zone_id zone;
    region_id region;
};

class rendezvous_journal_placement : public journal_placement
{
public:
    /// @param routers  all routers, this one included or not; without it the
    ///                 region is that of the routers in this zone
    rendezvous_journal_placement(
        peer_id self, zone_id zone, std::vector<router_info> routers);

    std::vector<peer_id>
    holders(request_id const& request, std::size_t count) const override;

private:
    zone_id zone_;
    std::vector<router_info> region_peers_; // of this region
};

} // namespace dotterellock

#endif
