// How a gateway follows the tables of the platform's store. Index: sinks;
// configuration in force; endpoints; rollouts; streams; sources.
#include "gateway.hpp"

#include <algorithm>
#include <utility>

#include "gateway/isolated_work.hpp"

namespace dotterellock
{

namespace
{

std::chrono::microseconds expected_round_trip(topology::distance distance)
{
    switch (distance)
    {
    case topology::distance::same_zone:
        break;
    case topology::distance::same_region:
        return endpoint_selector::same_region_cost;
    case topology::distance::other_region:
        return endpoint_selector::other_region_cost;
    }
    return {};
}

} // namespace

// Sinks ----------------------------------------------------------------------

class gateway::configuration_sink : public table_listener
{
public:
    explicit configuration_sink(gateway& owner) : owner_(owner) {}

    void on_listing(
        std::vector<store_row> const& rows,
        change_period const& period) override
    {
        for (auto const& row : rows)
            apply(row, period);
        if (owner_.rollouts_)
            owner_.rollouts_->on_order_listing(rows, period.not_before);
    }

    void on_change(store_row const& row, change_period const& period) override
    {
        apply(row, period);
        if (owner_.rollouts_)
            owner_.rollouts_->on_order_row(row, period.not_before);
    }

    void on_current(copy_state const& state) override
    {
        if (auto const age =
                owner_.freshness_lease_.age(owner_.env_.clock.now()))
            owner_.env_.counters.histogram("configuration_age_seconds")
                .record(std::chrono::duration_cast<std::chrono::microseconds>(
                    *age));
        owner_.freshness_lease_.renew(state.proven);
        owner_.accept_when_ready();
    }

private:
    void apply(store_row const& row, change_period const& period)
    {
        if (row.deleted)
            return; // the last version remains in force
        run_isolated(
            [&]
            {
                auto const began = owner_.env_.clock.now();
                if (auto c = owner_.env_.codec.read_configuration(row))
                    owner_.apply_configuration(
                        std::move(*c), row, period.not_before, began);
            },
            [&](std::string const& detail)
            {
                owner_.env_.log.record(
                    event_level::error, "configuration_unreadable",
                    {{"key", row.key},
                     {"revision", std::to_string(row.revision)},
                     {"detail", detail}});
            });
    }

    gateway& owner_;
};

class gateway::endpoint_sink : public table_listener
{
public:
    explicit endpoint_sink(gateway& owner) : owner_(owner) {}

    void on_listing(
        std::vector<store_row> const& rows,
        change_period const& period) override
    {
        owner_.unnamed_endpoints_.clear();
        std::set<std::string> ids;
        for (auto const& row : rows)
        {
            ids.insert(row.key);
            on_change(row, period);
        }
        for (auto const& id :
             owner_.endpoints_.keep_only(ids, removed_at(period)))
            owner_.log_leaving(id, "registration");
    }

    void on_change(store_row const& row, change_period const& period) override
    {
        owner_.unnamed_endpoints_.erase(row.key);
        if (row.deleted)
        {
            endpoint_id const id(row.key);
            bool const leaving =
                owner_.endpoints_.remove(id, removed_at(period));
            owner_.log_endpoint(row.key, "removed", {}, row.revision);
            if (leaving)
                owner_.log_leaving(id, "registration");
            return;
        }
        // A malformed row does not take an endpoint out of service.
        run_isolated(
            [&]
            {
                owner_.put_or_hold_endpoint(
                    {owner_.env_.codec.read_endpoint(row), row.revision,
                     period.not_before});
            },
            [&](std::string const& detail) {
                owner_.log_endpoint(
                    row.key, "unreadable", detail, row.revision);
            });
    }

    void on_current(copy_state const&) override
    {
        if (owner_.rollouts_)
            owner_.rollouts_->on_endpoints_changed();
        owner_.accept_when_ready();
    }

private:
    steady_time removed_at(change_period const& period) const
    {
        return owner_.endpoints_.removed_at(
            period.not_before, period.interrupted, owner_.env_.clock.now());
    }

    gateway& owner_;
};

std::unique_ptr<table_listener> gateway::make_configuration_sink()
{
    return std::make_unique<configuration_sink>(*this);
}

std::unique_ptr<table_listener> gateway::make_endpoint_sink()
{
    return std::make_unique<endpoint_sink>(*this);
}

// Configuration in force -----------------------------------------------------

/// @param changed_after  the change was made after it
/// @param began          when the row began to be read
void gateway::apply_configuration(
    gateway_configuration configuration, store_row const& row,
    steady_time changed_after, steady_time began)
{
    auto const revision = row.revision;
    auto const version = configuration.version;
    bool const older =
        table_ && (version < table_->version() || revision < table_revision_);
    bool const same = table_ && revision == table_revision_;
    if (same)
        return;
    env_.log.record(
        older ? event_level::warn : event_level::info,
        older ? "configuration_ignored" : "configuration_applied",
        {{"version", std::to_string(version)},
         {"revision", std::to_string(revision)},
         {"in_force", table_ ? std::to_string(table_->version()) : "-"},
         {"source", configuration_reader_.last_source()},
         {"max_delay_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             env_.clock.now() - changed_after)
                             .count())},
         {"routes", std::to_string(configuration.routes.size())},
         {"bytes", std::to_string(row.value.size())},
         {"read_ms",
          std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                             env_.clock.now() - began)
                             .count())},
         {"idle_timeout_ms",
          std::to_string(configuration.limits.idle_timeout.count())}});
    if (older)
        return;
    table_ = std::make_shared<routing_table const>(std::move(configuration));
    table_revision_ = revision;
    env_.counters.counter("configuration_version").set(version);
    put_named_endpoints();
    resumable_ = table_->resumable_services();
    if (rollouts_)
        rollouts_->on_configuration();
}

// Endpoints ------------------------------------------------------------------

void gateway::log_endpoint(
    std::string const& key, char const* state, std::string const& detail,
    std::uint64_t revision)
{
    constexpr std::size_t max_key_bytes = 200; // an endpoint's has no more
    env_.log.record(
        event_level::info, "endpoint",
        {{"endpoint", key.substr(0, max_key_bytes)},
         {"state", state},
         {"detail", detail.empty() ? "-" : detail},
         {"revision", std::to_string(revision)}});
}

/// Also true for a known endpoint whose service was taken out of the
/// configuration, as requests under an earlier version still use it.
bool gateway::names_service(endpoint_record const& record) const
{
    if (table_ && table_->names(record.service))
        return true;
    auto const known = endpoints_.find(record.id);
    return known && known->record().service == record.service;
}

void gateway::put_endpoint(listed_endpoint const& endpoint)
{
    auto const& record = endpoint.record;
    bool const leaving = endpoints_.put(record, endpoint.changed_at);
    log_endpoint(
        record.id.value(), record.draining ? "draining" : "ready",
        record.address, endpoint.revision);
    if (leaving)
        log_leaving(record.id, "registration");
    if (record.draining)
        pool_.close_idle(record);
    on_capacity_freed(record.service);
}

void gateway::put_or_hold_endpoint(listed_endpoint endpoint)
{
    auto const& record = endpoint.record;
    if (names_service(record))
    {
        put_endpoint(endpoint);
        return;
    }
    if (table_ && !endpoint.logged)
    {
        constexpr std::size_t max_quoted_bytes = 40;
        log_endpoint(
            record.id.value(), "unreadable",
            "service '" + record.service.value().substr(0, max_quoted_bytes) +
                "' is not in the configuration",
            endpoint.revision);
        endpoint.logged = true;
    }
    // What was known under this key has moved to the other service.
    if (endpoints_.find(record.id) &&
        endpoints_.remove(record.id, endpoint.changed_at))
        log_leaving(record.id, "registration");
    auto const key = record.id.value();
    unnamed_endpoints_[key] = std::move(endpoint);
}

void gateway::put_named_endpoints()
{
    auto const held = std::exchange(unnamed_endpoints_, {});
    for (auto const& [key, endpoint] : held)
        run_isolated(
            [&, &endpoint = endpoint] { put_or_hold_endpoint(endpoint); },
            [&, &endpoint = endpoint](std::string const& detail)
            {
                log_endpoint(
                    endpoint.record.id.value(), "unreadable", detail,
                    endpoint.revision);
            });
}

// Rollouts -------------------------------------------------------------------

void gateway::make_rollout_control()
{
    rollout_control::surroundings surroundings;
    surroundings.names_service = [this](service_name const& service)
    { return table_ && table_->names(service); };
    surroundings.fleet_size = [this] { return fleet_size(); };
    surroundings.rank = [this](service_name const& service)
    {
        return peer_load_sync_ ? peer_load_sync_->rank_for(service.value())
                               : std::size_t(0);
    };
    surroundings.on_news = [this]
    {
        if (peer_load_sync_)
            peer_load_sync_->request_rollout_send();
        on_capacity_freed({});
    };
    rollouts_ = std::make_unique<rollout_control>(
        settings_.rollouts, env_.codec, env_.status_store, endpoints_,
        env_.clock, env_.log, std::move(surroundings));
}

/// Losses in a zone that fails say nothing about a version, nor does the
/// distance of the few endpoints that serve the first requests.
void gateway::report_answer(endpoint_ptr const& endpoint, version_answer answer)
{
    auto const now = env_.clock.now();
    if (!rollouts_ ||
        (answer.connection_lost && zones_.is_suspect(*endpoint, now)))
        return;
    auto const round_trip = expected_round_trip(
        selection_.location().distance_to(endpoint->record().zone));
    answer.latency -= std::min<duration>(round_trip, answer.latency);
    rollouts_->on_answer(endpoint->record(), answer, now);
}

// Streams --------------------------------------------------------------------

void gateway::make_stream_sync()
{
    stream_version_sync::surroundings surroundings;
    surroundings.services = [this] { return resumable_services(); };
    surroundings.rank = [this](service_name const& service)
    {
        return peer_load_sync_ ? peer_load_sync_->rank_for(service.value())
                               : std::size_t(0);
    };
    surroundings.is_gateway = [this](host_id const& host)
    { return !peer_load_sync_ || peer_load_sync_->is_known(host); };
    surroundings.on_written = [this] { pass_on_recorded_streams(); };
    stream_sync_ = std::make_unique<stream_version_sync>(
        stream_versions_, host_id(settings_.host), *env_.stream_reader,
        *env_.stream_writer, env_.clock, env_.log, env_.counters,
        std::move(surroundings));
}

std::map<service_name, std::map<std::string, std::size_t>>
gateway::resumable_services() const
{
    auto const now = env_.clock.now();
    std::map<service_name, std::map<std::string, std::size_t>> services;
    for (auto const& service : resumable_)
    {
        for (auto const& endpoint : endpoints_.of_service(service))
        {
            if (!endpoint->has_left(now))
                ++services[service][endpoint->record().version];
        }
    }
    return services;
}

/// Finds out which version began the stream that a request takes up.
void gateway::take_up(std::shared_ptr<relay_exchange> const& e)
{
    auto const& r = e->request();
    stream_sync_->find_origin(
        r.service, r.metadata.resumed_request,
        [this, e](stream_origin const& origin) { on_origin(e, origin); });
}

void gateway::on_origin(
    std::shared_ptr<relay_exchange> const& e, stream_origin const& origin)
{
    if (exchanges_.count(e->number()) == 0)
        return; // its caller disconnected
    auto const& r = e->request();
    bool const known = origin.source != version_source::unknown;
    env_.counters
        .counter(
            "take_ups_total",
            std::string("origin=\"") + to_string(origin.source) + '"')
        .add();
    env_.log.record(
        known ? event_level::info : event_level::warn,
        known ? "take_up" : "take_up_refused",
        {{"request", r.metadata.id.value()},
         {"resumes", r.metadata.resumed_request.empty()
                         ? "-"
                         : r.metadata.resumed_request.value()},
         {"service", r.service.value()},
         {"after_event", std::to_string(*r.metadata.last_event_id)},
         {"origin", to_string(origin.source)},
         {"version", origin.version.empty() ? "-" : origin.version}});
    if (!known)
    {
        e->refuse("stream_version_unknown", unconfigured_retry_after);
        return;
    }
    e->take_up_at(origin.version);
    start(e);
}

// Sources --------------------------------------------------------------------

void gateway::update_table_sources(steady_time now)
{
    if (!peer_load_sync_)
        return;
    auto const& location = selection_.location();
    std::vector<table_peer> peers;
    for (auto const& holder : peer_load_sync_->table_holders(now))
    {
        auto const distance = location.distance_to(holder.zone);
        peers.push_back(
            {holder.host, holder.address,
             distance == topology::distance::same_zone,
             distance != topology::distance::other_region, holder.link_mbps});
    }
    std::vector<host_id> hosts;
    hosts.reserve(peers.size());
    for (auto const& peer : peers)
        hosts.push_back(peer.host);
    configuration_revisions_.keep_only(hosts);
    table_sources_.set_peers(std::move(peers));
    update_poll_wait();
}

void gateway::update_poll_wait()
{
    auto const bound = settings_.key_withdrawal_bound;
    configuration_watch_.set_poll_wait(
        table_sources_.serves_followers()
            ? freshness_lease::max_shared_poll_wait(bound)
            : freshness_lease::max_poll_wait(bound));
}

} // namespace dotterellock
