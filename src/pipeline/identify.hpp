// Second filter: determines the organisation, the idempotency key and, for an
// interrupted stream, the resume point. Immutable after construction, usable
// from any thread.
#ifndef DOTTERELLOCK_PIPELINE_IDENTIFY_HPP
#define DOTTERELLOCK_PIPELINE_IDENTIFY_HPP

#include <unordered_map>
#include <vector>

#include <dotterellock/runtime.hpp>

#include "filter.hpp"

namespace dotterellock
{

struct organisation_entry
{
    organisation_id organisation;
    std::string api_key;                    // empty: identified by header only
    std::optional<dotterellock::rank> rank; // used when the caller names none
};

struct identify_settings
{
    std::vector<organisation_entry> organisations;

    /// Lower-case name of a header in which a trusted proxy passes the
    /// organisation. Empty: organisations are identified by API key only.
    std::string organisation_header;
};

class identify_filter : public filter
{
public:
    /// @param random  generates keys for requests that have none; must be
    ///                thread-safe
    identify_filter(identify_settings settings, random_source& random);

    void apply(request_context& context) override;

private:
    organisation_entry const&
    organisation_of(server_request const& request) const;
    void assign_request_id(request_context& context);
    std::uint64_t hash_api_key(std::string const& api_key) const;

    identify_settings settings_;
    random_source& random_;
    std::uint64_t hash_seed_; // secret, so that callers cannot force collisions
    std::unordered_map<std::uint64_t, std::size_t> index_by_api_key_hash_;
    std::unordered_map<std::string, std::size_t> index_by_name_;
};

/// True for a name of 1 to 64 letters, digits and ". _ -".
bool is_valid_organisation_name(std::string const& name);

/// Prefixes the event id of the relay with the model version that the router
/// chose. Callers send the result back as Last-Event-ID, so that a resumed
/// request uses the same version even after a rollout.
std::string
event_id_with_version(std::string const& version, std::string const& event_id);

} // namespace dotterellock

#endif
