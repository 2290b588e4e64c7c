#include "stream_versions.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace dotterellock
{

stream_versions::stream_key stream_versions::key_of(request_id const& id)
{
    return XXH3_64bits(id.value().data(), id.value().size());
}

stream_versions::service_state const*
stream_versions::find(service_name const& service) const
{
    auto const found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

// Streams --------------------------------------------------------------------

void stream_versions::on_attempt(
    service_name const& service, request_id const& id,
    std::string const& version, steady_time until, steady_time now)
{
    auto& state = services_[service];
    auto const key = key_of(id);
    auto const known = state.own.find(key);
    bool const recorded = known != state.own.end();
    if (!recorded && assumed_version(state) == version)
        return;
    if (recorded && known->second.version == version)
    {
        known->second.until =
            std::max(known->second.until, until + record_margin);
        return;
    }
    state.own[key] = {version, until + record_margin, now, false, false,
                      recorded};
}

/// The version that gateways assume for a stream without a record; empty if
/// they assume none.
std::string stream_versions::assumed_version(service_state const& state)
{
    if (state.base)
        return state.base->version;
    // Until the table was read.
    return state.sole_since ? state.sole_version : std::string();
}

bool stream_versions::may_begin(
    service_name const& service, request_id const& id, steady_time now) const
{
    auto const* const state = find(service);
    if (state == nullptr)
        return true;
    auto const known = state->own.find(key_of(id));
    if (known == state->own.end() || known->second.written)
        return true;
    if (known->second.replaces)
        return false;
    auto const assumed = assumed_version(*state);
    if (assumed.empty())
        return true;
    // Without an endpoint of the assumed version, the stream is refused
    // elsewhere until its record is there.
    return state->listed.count(assumed) == 0 &&
           now - known->second.since >= longest_write;
}

std::optional<std::string> stream_versions::recorded(
    service_name const& service, request_id const& id) const
{
    auto const* const state = find(service);
    if (state == nullptr)
        return std::nullopt;
    auto const key = key_of(id);
    auto const own = state->own.find(key);
    if (own != state->own.end())
        return own->second.version;
    auto const other = state->others.find(key);
    return other == state->others.end() ? std::nullopt
                                        : std::make_optional(other->second);
}

std::optional<std::string>
stream_versions::base(service_name const& service) const
{
    auto const* const state = find(service);
    bool const known =
        state != nullptr && state->base && !state->base->version.empty();
    return known ? std::make_optional(state->base->version) : std::nullopt;
}

std::optional<std::string>
stream_versions::base_without_reading(service_name const& service) const
{
    auto const known = base(service);
    auto const* const state = find(service);
    bool const alone = known && state->sole_since &&
                       state->sole_version == *known && state->quiet;
    return alone ? known : std::nullopt;
}

// Endpoints ------------------------------------------------------------------

void stream_versions::observe(
    service_name const& service,
    std::map<std::string, std::size_t> const& versions, steady_time now)
{
    auto& state = services_[service];
    state.listed = versions;
    if (versions.size() != 1)
    {
        state.sole_since.reset();
        state.quiet = false;
        return;
    }
    if (state.sole_since && state.sole_version == versions.begin()->first)
        return;
    state.sole_version = versions.begin()->first;
    state.sole_since = now;
    state.quiet = false;
}

std::optional<base_version> stream_versions::base_to_write(
    service_name const& service, steady_time now) const
{
    auto const* const state = find(service);
    if (state == nullptr || !read_ || state->listed.empty())
        return std::nullopt;
    auto const& base = state->base;
    bool const sole_for_long =
        state->sole_since && now - *state->sole_since >= base_absence;
    if (!base)
    {
        // No stream is without a record, so any version will do.
        auto const most = std::max_element(
            state->listed.begin(), state->listed.end(),
            [](auto const& a, auto const& b) { return a.second < b.second; });
        return base_version{service, most->first, 0};
    }
    if (base->version.empty())
    {
        if (now - state->base_since < base_pause || !state->sole_since)
            return std::nullopt;
        return base_version{service, state->sole_version, base->revision};
    }
    if (sole_for_long && state->sole_version != base->version)
        return base_version{service, {}, base->revision};
    return std::nullopt;
}

// Table ----------------------------------------------------------------------

void stream_versions::on_base(base_version const& base, steady_time now)
{
    auto& state = services_[base.service];
    bool const same = state.base && state.base->version == base.version &&
                      state.base->revision == base.revision;
    if (!same)
        state.base_since = now;
    state.base = base;
}

void stream_versions::on_read(stream_table const& table, steady_time now)
{
    read_ = true;
    for (auto& [service, state] : services_)
        state.others.clear();
    for (auto const& records : table.records)
    {
        auto& state = services_[records.service];
        if (records.gateway == self_)
            adopt(state, records, now);
        for (auto const& [version, streams] : records.streams)
        {
            for (auto const key : streams)
                state.others[key] = version;
        }
    }
    std::map<service_name, base_version const*> bases;
    for (auto const& base : table.bases)
        bases[base.service] = &base;
    for (auto& [service, state] : services_)
    {
        auto const base = bases.find(service);
        if (base == bases.end())
            state.base.reset();
        else
            on_base(*base->second, now);
        state.quiet =
            state.sole_since && std::all_of(
                                    state.others.begin(), state.others.end(),
                                    [&s = state](auto const& other)
                                    { return other.second == s.sole_version; });
    }
    for (auto const& [service, base] : bases)
        on_base(*base, now);
}

/// Keeps what this gateway wrote before it was started again, which it would
/// overwrite otherwise.
void stream_versions::adopt(
    service_state& state, stream_records const& records, steady_time now)
{
    for (auto const& [version, streams] : records.streams)
    {
        for (auto const key : streams)
            state.own.try_emplace(
                key, own_record{
                         version, now + base_absence, now, true, false, false});
    }
}

std::vector<service_name> stream_versions::unwritten() const
{
    std::vector<service_name> services;
    // What an earlier process wrote is not known before.
    if (!read_)
        return services;
    for (auto const& [service, state] : services_)
    {
        if (std::any_of(
                state.own.begin(), state.own.end(),
                [](auto const& own) { return !own.second.written; }))
            services.push_back(service);
    }
    return services;
}

stream_records
stream_versions::to_write(service_name const& service, steady_time now)
{
    stream_records records;
    records.service = service;
    records.gateway = self_;
    auto& own = services_[service].own;
    for (auto at = own.begin(); at != own.end();)
        at = at->second.until <= now ? own.erase(at) : std::next(at);
    std::size_t count = 0;
    for (auto& [key, record] : own)
    {
        record.being_written = count++ < max_records;
        if (record.being_written)
            records.streams[record.version].push_back(key);
    }
    return records;
}

void stream_versions::on_written(service_name const& service)
{
    for (auto& [key, record] : services_[service].own)
    {
        record.written = record.written || record.being_written;
        record.being_written = false;
    }
}

void stream_versions::on_store_restored()
{
    for (auto& [service, state] : services_)
    {
        for (auto& [key, record] : state.own)
            record.written = false;
    }
}

} // namespace dotterellock
