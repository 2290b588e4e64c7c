// Identifiers and small value types shared by all modules. Plain values without
// shared state, usable from any thread.
#ifndef DOTTERELLOCK_TYPES_HPP
#define DOTTERELLOCK_TYPES_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace dotterellock
{

/// A string with a distinct type for each kind of name, so that a host cannot
/// be passed where a zone is expected.
template<typename Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string value) : value_(std::move(value)) {}

    std::string const& value() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend bool operator==(identifier const& a, identifier const& b)
    {
        return a.value_ == b.value_;
    }
    friend bool operator!=(identifier const& a, identifier const& b)
    {
        return !(a == b);
    }
    friend bool operator<(identifier const& a, identifier const& b)
    {
        return a.value_ < b.value_;
    }

private:
    std::string value_;
};

using request_id = identifier<struct request_tag>; // scoped to an organisation
using organisation_id = identifier<struct organisation_tag>;
using endpoint_id = identifier<struct endpoint_tag>;
using host_id = identifier<struct host_tag>;
using zone_id = identifier<struct zone_tag>; // availability zone
using region_id = identifier<struct region_tag>;
using router_id = identifier<struct router_tag>;
using service_name = identifier<struct service_tag>;
using peer_id = identifier<struct peer_tag>; // router or agent process

using attempt_number = std::uint32_t; // first attempt is 1
using token_index = std::uint32_t;    // position in the answer, from 0
using owner_epoch = std::uint64_t;    // increases with each takeover, from 1
using incarnation = std::uint64_t;    // of an agent; increases with each start
using fencing_token = std::uint64_t;  // of a lease holder
using permit_id = std::uint64_t;      // unique in one agent incarnation
using byte_count = std::uint64_t;

/// Urgency class of a request. Lower value is more urgent.
enum class rank : std::uint8_t
{
    urgent = 0,
    standard = 1,
    background = 2
};

constexpr std::size_t rank_count = 3;
constexpr std::array<rank, rank_count> all_ranks = {
    rank::urgent, rank::standard, rank::background};

constexpr std::size_t index_of(rank r)
{
    return static_cast<std::size_t>(r);
}

char const* to_string(rank r);

/// Throws error(invalid_argument) for an unknown name.
rank rank_from_string(std::string const& name);

/// Identifies the exact weights that produce an answer. Name, adapter and
/// version must be the same in all attempts of one generation.
struct model_ref
{
    std::string name;
    std::string adapter; // empty: no adapter
    std::string version;

    friend bool operator==(model_ref const& a, model_ref const& b)
    {
        return a.name == b.name && a.adapter == b.adapter &&
               a.version == b.version;
    }
    friend bool operator!=(model_ref const& a, model_ref const& b)
    {
        return !(a == b);
    }
    friend bool operator<(model_ref const& a, model_ref const& b)
    {
        return std::tie(a.name, a.adapter, a.version) <
               std::tie(b.name, b.adapter, b.version);
    }
};

/// "name[:adapter]@version"
std::string to_string(model_ref const& model);

/// Description of one endpoint, from the settings or the registry.
struct endpoint_info
{
    endpoint_id endpoint;
    peer_id agent; // runs next to the endpoint
    host_id host;
    zone_id zone;
    region_id region;
    std::string address;                // "ip:port" of the agent
    std::vector<model_ref> models;      // empty for a plain service
    std::vector<service_name> services; // empty for a model engine
};

} // namespace dotterellock

namespace std
{
template<typename Tag>
struct hash<dotterellock::identifier<Tag>>
{
    std::size_t operator()(dotterellock::identifier<Tag> const& id) const
    {
        return std::hash<std::string>{}(id.value());
    }
};
} // namespace std

#endif
