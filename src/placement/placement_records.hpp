// What the lease holder wants an endpoint to serve. Values only.
//
//   desired/<id>/placement        placement_order, beside the operators' own
//                                 desired/<id>, so that neither writer can
//                                 overwrite the other
#ifndef DOTTERELLOCK_PLACEMENT_PLACEMENT_RECORDS_HPP
#define DOTTERELLOCK_PLACEMENT_PLACEMENT_RECORDS_HPP

#include <optional>
#include <string>
#include <vector>

#include <dotterellock/types.hpp>

namespace dotterellock
{

constexpr char const* placement_lease_name = "placement";
constexpr char const* desired_prefix = "desired/";

struct placement_order
{
    fencing_token token = 0;
    std::vector<model_ref> models;
    std::string role; // empty: leave the role as it is

    /// Same content under the same token.
    friend bool operator==(placement_order const& a, placement_order const& b)
    {
        return a.token == b.token && a.models == b.models && a.role == b.role;
    }
};

std::string placement_key(endpoint_id const& endpoint);

/// The endpoint of a key made by placement_key; nothing for other keys.
std::optional<endpoint_id> endpoint_of_placement_key(std::string const& key);

std::string encode(placement_order const& order);
std::optional<placement_order> decode_placement_order(std::string const& text);

} // namespace dotterellock

#endif
