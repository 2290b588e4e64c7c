// Second filter: who asks, under which key, and where a broken stream goes on.
// Immutable after construction; any thread.
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
    std::string api_key;                    // empty: known by the header only
    std::optional<dotterellock::rank> rank; // unless the caller names one
};

struct identify_settings
{
    std::vector<organisation_entry> organisations;

    /// Name, in lower case, of a header that a trusted proxy sets to the
    /// organisation. Empty: only API keys count.
    std::string organisation_header;
};

class identify_filter : public filter
{
public:
    /// @param random  for keys of requests without one; any thread
    identify_filter(identify_settings settings, random_source& random);

    void apply(request_context& context) override;

private:
    organisation_entry const&
    organisation_of(server_request const& request) const;
    void assign_request_id(request_context& context);
    std::uint64_t hash_api_key(std::string const& api_key) const;

    identify_settings settings_;
    random_source& random_;
    std::uint64_t hash_seed_; // secret, so that digests cannot be aimed at
    std::unordered_map<std::uint64_t, std::size_t> index_by_api_key_hash_;
    std::unordered_map<std::string, std::size_t> index_by_name_;
};

/// Name of an organisation: letters, digits and ". _ -", 64 at most.
bool is_valid_organisation_name(std::string const& name);

/// The SSE id of an event and, back, the Last-Event-ID: the relay's event id
/// and, before it, the model version when the router chose it. A repeated
/// request must not meet another version after a rollout.
std::string
event_id_with_version(std::string const& version, std::string const& event_id);

} // namespace dotterellock

#endif
