// Row format of placement orders, by which the holder of the placement lease
// tells an endpoint what to serve.
//
//   desired/<id>/placement        placement_order; separate from desired/<id>,
//                                 which operators write, so that neither
//                                 writer overwrites the other
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
    std::string role; // empty: keep the current role

    friend bool operator==(placement_order const& a, placement_order const& b)
    {
        return a.token == b.token && a.models == b.models && a.role == b.role;
    }
};

std::string placement_key(endpoint_id const& endpoint);

/// The endpoint of a key made by placement_key(); empty for other keys.
std::optional<endpoint_id> endpoint_of_placement_key(std::string const& key);

std::string encode(placement_order const& order);
std::optional<placement_order> decode_placement_order(std::string const& text);

} // namespace dotterellock

#endif
