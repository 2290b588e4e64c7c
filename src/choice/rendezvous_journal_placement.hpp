// Chooses the routers that hold copies of a generation's output, by rendezvous
// hash of the request: other routers of this region, those in other zones
// first. Immutable; one per router shard.
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
    /// @param routers  all routers; may include this one. If it does not, the
    ///                 region is taken from the routers in this zone.
    rendezvous_journal_placement(
        peer_id self, zone_id zone, std::vector<router_info> routers);

    std::vector<peer_id>
    holders(request_id const& request, std::size_t count) const override;

private:
    zone_id zone_;
    std::vector<router_info> region_peers_; // without this router
};

} // namespace dotterellock

#endif
