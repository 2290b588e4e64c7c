// Index: construction; admission; exchanges; request queues;
// timer; shutdown.
#include "gateway.hpp"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include <dotterellock/error.hpp>

#include "gateway/endpoint_copy_policy.hpp"
#include "gateway/isolated_work.hpp"
#include "gateway/request_admission.hpp"
#include "http/reason_phrase.hpp"

namespace dotterellock
{

namespace
{

using std::chrono::milliseconds;

// Interval of deadline and liveness checks; the shortest timeout is 40 ms.
constexpr milliseconds tick_interval{20};

// A longer gap between ticks means that the process was suspended.
constexpr milliseconds pause_threshold{150};

// Interval of the cleanup of connections, request queues and tables.
constexpr milliseconds sweep_interval{200};

// Callers whose gateway failed reconnect within a few seconds.
constexpr milliseconds caller_return_window{4000};

// Share of the descriptors for callers; the rest is for endpoints.
constexpr std::size_t caller_descriptors_percent = 60;

// Share of the descriptors for callers above their share. Their requests are
// answered with 503; further connections wait in the listen backlog.
constexpr std::size_t excess_descriptors_percent = 5;

constexpr milliseconds excess_retry_after{1000};

// An idle caller is disconnected for another one only after this time; its next
// request may be on the way before.
constexpr milliseconds min_replaceable_idle{500};

// Share of an endpoint's connections for attempts; the rest is for idle
// connections and checks.
constexpr std::uint32_t attempt_connections_percent = 80;
constexpr std::uint32_t min_connection_share = 2;

constexpr int max_accepted_at_once = 64;

// At startup, connections wait in the listen backlog until the configuration
// and the endpoints are known. If the store is unavailable, they are accepted
// after this time and receive an error.
constexpr milliseconds max_startup_wait{600};

// Longest wait of a call for the list of gateways to another gateway.
constexpr milliseconds max_gateway_peer_wait{5000};

std::string_view request_path(std::string_view target)
{
    return target.substr(0, target.find_first_of("?#"));
}

std::string request_host(message_head const& head)
{
    auto const* const host = find_header(head.headers, "host");
    if (host == nullptr)
        return {};
    std::string name = host->substr(0, host->find(':'));
    std::transform(
        name.begin(), name.end(), name.begin(),
        [](unsigned char c) { return char(std::tolower(c)); });
    return name;
}

} // namespace

// Construction ---------------------------------------------------------------

gateway::gateway(gateway_settings settings, gateway_environment environment)
    : settings_(std::move(settings)), env_(environment),
      endpoints_(
          endpoint_copy_policy::last_resort_period(settings_.drain_bound)),
      prompt_crashes_(
          env_.log, env_.counters,
          [this]
          {
              if (peer_load_sync_)
                  peer_load_sync_->request_evidence_send();
          }),
      limit_network_(make_limit_network()),
      limits_(host_id(settings_.host), endpoints_, *limit_network_),
      selection_(
          endpoints_, zones_, peers_,
          {zone_id(settings_.zone), settings_.regions}),
      pool_(env_.io, env_.clock, env_.memory),
      freshness_lease_(settings_.key_withdrawal_bound),
      configuration_sink_(make_configuration_sink()),
      endpoint_sink_(make_endpoint_sink()),
      table_sources_(
          host_id(settings_.host), std::uint32_t(settings_.link_mbps)),
      shared_configuration_(
          *configuration_sink_, env_.clock,
          freshness_lease::max_shared_age(settings_.key_withdrawal_bound),
          freshness_lease::max_shared_age_receiving(
              settings_.key_withdrawal_bound)),
      shared_endpoints_(
          *endpoint_sink_, env_.clock,
          endpoint_copy_policy::max_shared_age(settings_.drain_bound)),
      configuration_peers_(
          env_.io, env_.clock, env_.memory, &shared_configuration_,
          large_row_form::updates),
      catch_up_peers_(
          env_.io, env_.clock, env_.memory, &shared_configuration_,
          large_row_form::only_updates),
      endpoint_peers_(env_.io, env_.clock, env_.memory),
      gateway_peers_(env_.io, env_.clock, env_.memory),
      configuration_reader_(
          env_.configuration_reader, configuration_peers_,
          freshness_lease::max_follower_wait, table_sources_, env_.clock,
          env_.log, env_.counters),
      configuration_catch_up_(
          configuration_reader_, catch_up_peers_, table_sources_,
          configuration_revisions_, env_.clock, env_.log),
      endpoint_reader_(
          env_.endpoint_reader, endpoint_peers_,
          endpoint_copy_policy::follower_wait(settings_.drain_bound),
          table_sources_, env_.clock, env_.log, env_.counters),
      peer_reader_(
          env_.peer_reader, gateway_peers_, max_gateway_peer_wait,
          table_sources_, env_.clock, env_.log, env_.counters),
      configuration_watch_(
          env_.codec.configuration_table(),
          {freshness_lease::max_poll_wait(settings_.key_withdrawal_bound),
           milliseconds(0)},
          configuration_catch_up_, shared_configuration_, env_.clock,
          env_.random, env_.log),
      endpoint_watch_(
          env_.codec.endpoint_table(),
          {endpoint_copy_policy::reader_wait(settings_.drain_bound),
           endpoint_copy_policy::change_batch_delay(settings_.drain_bound)},
          endpoint_reader_, shared_endpoints_, env_.clock, env_.random,
          env_.log),
      acceptor_(env_.io), stream_versions_(host_id(settings_.host)),
      cache_lookup_(
          selection_, env_.protocol, env_.clock, env_.log,
          [this](
              endpoint_ptr const& endpoint, milliseconds timeout,
              std::string request, endpoint_call::handler done) {
              call(
                  endpoint, timeout, std::move(request), false,
                  std::move(done));
          })
{
    if (settings_.rollouts.enabled)
        make_rollout_control();
    if (env_.stream_reader != nullptr && env_.stream_writer != nullptr)
        make_stream_sync();
    peer_load_sync::rollout_exchange rollouts;
    if (rollouts_)
        rollouts = {
            [this] { return rollouts_->evidence(); },
            [this](host_id const& peer, rollout_evidence const& evidence)
            { rollouts_->on_evidence(peer, evidence); }};
    if (!settings_.peer_listen.empty())
        peer_load_sync_ = std::make_unique<peer_load_sync>(
            env_.io, settings_.host, settings_.peer_listen, peer_reader_,
            env_.peer_writer, env_.clock, env_.random, env_.log,
            [this] { return local_load_share(); },
            [this](load_share const& share) { on_load_share(share); },
            [this] { return prompt_crashes_.evidence(env_.clock.now()); },
            [this](host_id const& peer, crash_evidence const& evidence)
            { prompt_crashes_.merge(peer, evidence, env_.clock.now()); },
            [this](host_id const& peer, limit_message const& message)
            {
                if (limits_.on_message(peer, message, env_.clock.now()))
                    on_capacity_freed({});
            },
            std::move(rollouts));
}

gateway::~gateway()
{
    env_.timers.cancel(tick_timer_);
}

void gateway::start()
{
    open_listener(acceptor_, settings_.listen);
    status_ = make_status_service(settings_.status_listen, true);
    if (!settings_.metrics_listen.empty())
        metrics_ = make_status_service(settings_.metrics_listen, false);
    last_tick_ = last_sweep_ = started_ = env_.clock.now();
    configuration_watch_.poll();
    endpoint_watch_.poll();
    if (peer_load_sync_)
    {
        peer_load_sync_->start();
        table_service_ = std::make_unique<peer_table_service>(
            env_.io, env_.clock, env_.memory, settings_.peer_listen,
            [this](std::string const& ip)
            { return peer_load_sync_->is_peer(ip); });
        table_service_->offer(
            env_.codec.configuration_table(), shared_configuration_);
        table_service_->offer(env_.codec.endpoint_table(), shared_endpoints_);
        table_service_->offer(
            peer_load_sync::table_name, peer_load_sync_->gateway_table());
    }
    schedule_tick();
}

std::unique_ptr<status_service>
gateway::make_status_service(std::string const& address, bool explains)
{
    status_source source{
        [this] { return ready(); }, [this] { return metrics(); },
        [this] { return shutting_down_; }, nullptr};
    if (explains)
        source.explain = [this](std::string_view target)
        { return explain_placement(target); };
    return std::make_unique<status_service>(
        env_.io, env_.clock, env_.memory, address, std::move(source));
}

void gateway::accept_when_ready()
{
    bool const known = table_ && endpoint_watch_.listed();
    if (!accepting_ && !known && env_.clock.now() - started_ < max_startup_wait)
        return;
    accepting_ = true;
    accept();
}

/// Accepts until there is no room for another connection. The next tick tries
/// again, also after an error such as a lack of descriptors.
void gateway::accept()
{
    if (accept_pending_ || !acceptor_.is_open() ||
        !make_room(max_connections_of_callers()))
        return;
    accept_pending_ = true;
    acceptor_.async_accept(
        [this](asio::error_code const& e, asio::ip::tcp::socket socket)
        {
            accept_pending_ = false;
            if (!e)
            {
                add_session(std::move(socket));
                accept_waiting();
                accept();
            }
            else if (e != asio::error::operation_aborted)
            {
                env_.counters.counter("accept_errors_total").add();
            }
        });
}

/// Accepts those that wait already. One a turn of the event loop is too few
/// beside many connections that are always ready.
void gateway::accept_waiting()
{
    asio::error_code e;
    acceptor_.non_blocking(true, e);
    for (int i = 0; !e && i < max_accepted_at_once &&
                    make_room(max_connections_of_callers());
         ++i)
    {
        asio::ip::tcp::socket socket(env_.io);
        acceptor_.accept(socket, e);
        if (!e)
            add_session(std::move(socket));
    }
}

std::size_t gateway::max_callers() const
{
    return settings_.max_descriptors * caller_descriptors_percent / 100;
}

std::size_t gateway::max_connections_of_callers() const
{
    return max_callers() +
           std::max<std::size_t>(
               settings_.max_descriptors * excess_descriptors_percent / 100, 1);
}

/// Closes idle connections until there are fewer sessions than given.
bool gateway::make_room(std::size_t max_sessions)
{
    while (sessions_.size() >= max_sessions)
    {
        if (!close_longest_idle())
            return false;
    }
    return true;
}

bool gateway::close_longest_idle()
{
    auto const latest = env_.clock.now() - min_replaceable_idle;
    std::vector<std::shared_ptr<client_session>> idle;
    for (auto const& session : sessions())
    {
        if (session->idle() && session->idle_since() <= latest)
            idle.push_back(session);
    }
    std::sort(
        idle.begin(), idle.end(),
        [](auto const& a, auto const& b)
        { return a->idle_since() < b->idle_since(); });
    auto const before = sessions_.size();
    for (auto const& session : idle)
    {
        session->close_idle(); // unless it has input
        if (sessions_.size() < before)
            return true;
    }
    return false;
}

void gateway::add_session(asio::ip::tcp::socket socket)
{
    bool const excess = !make_room(max_callers());
    auto session = std::make_shared<client_session>(
        std::move(socket), env_.clock, env_.memory, *this);
    if (excess)
        excess_sessions_.insert(session.get());
    sessions_.emplace(session.get(), session);
    session->start();
}

/// Closes the listener once it holds no connection, as closing would cut that
/// off without an answer. Called on each tick until it is closed.
void gateway::stop_accepting()
{
    if (!acceptor_.is_open())
        return;
    listener_closing_ = true;
    asio::error_code e; // would_block: no more connections
    acceptor_.non_blocking(true, e);
    while (!e && make_room(max_connections_of_callers()))
    {
        asio::ip::tcp::socket socket(env_.io);
        acceptor_.accept(socket, e);
        if (!e)
            add_session(std::move(socket));
    }
    if (e != asio::error::would_block)
        return;
    asio::error_code ignored; // the listener is discarded either way
    acceptor_.close(ignored);
}

void gateway::reload(gateway_settings const& settings)
{
    settings_.key_withdrawal_bound = settings.key_withdrawal_bound;
    settings_.drain_bound = settings.drain_bound;
    // Requests were taken as they would end within the grace period in force.
    settings_.shutdown_grace =
        shutting_down_
            ? std::max(settings_.shutdown_grace, settings.shutdown_grace)
            : settings.shutdown_grace;
    settings_.retries = settings.retries;
    freshness_lease_.set_max_staleness(settings.key_withdrawal_bound);
    update_poll_wait();
    for (auto& [service, budget] : budgets_)
        budget.set_settings(settings.retries);
    endpoints_.set_last_resort_period(
        endpoint_copy_policy::last_resort_period(settings.drain_bound));
    if (rollouts_ && settings.rollouts.enabled)
        rollouts_->set_settings(settings.rollouts);
}

// Admission ------------------------------------------------------------------

caller_limits gateway::limits() const
{
    return table_ ? table_->limits() : caller_limits{};
}

void gateway::on_rejected(
    client_session const& session, unsigned status, char const* why)
{
    env_.counters
        .counter("rejected_total", "status=\"" + std::to_string(status) + '"')
        .add();
    env_.log.record(
        event_level::warn, "rejected",
        {{"peer", session.peer()},
         {"status", std::to_string(status)},
         {"reason", why}});
}

void gateway::on_unanswered_input(
    client_session const& session, char const* why, std::size_t bytes)
{
    env_.counters
        .counter("unanswered_input_total", std::string("reason=\"") + why + '"')
        .add();
    env_.log.record(
        event_level::warn, "unanswered_input",
        {{"peer", session.peer()},
         {"reason", why},
         {"bytes", std::to_string(bytes)}});
}

void gateway::on_closed(client_session& session)
{
    excess_sessions_.erase(&session);
    sessions_.erase(&session);
}

bool gateway::close_after_response(client_session const& session) const
{
    return shutting_down_ || excess_sessions_.count(&session) > 0;
}

/// Refuses a request over a connection above the limit, if there is still no
/// room for it.
bool gateway::refuse_excess(client_session& session, std::string const& id)
{
    auto const found = excess_sessions_.find(&session);
    if (found == excess_sessions_.end())
        return false;
    if (sessions_.size() <= max_callers())
    {
        excess_sessions_.erase(found);
        return false;
    }
    env_.counters.counter("callers_turned_away_total").add();
    reject(session, id, 503, "too_many_connections", {}, excess_retry_after);
    return true;
}

void gateway::reject(
    client_session& session, std::string const& id, unsigned status,
    char const* reason, std::string const& detail, milliseconds retry_after)
{
    header_list headers{{"Content-Type", "application/json"}};
    if (status == 503)
        headers.emplace_back(
            "Retry-After",
            std::to_string(
                std::chrono::ceil<std::chrono::seconds>(retry_after).count()));
    auto const age = freshness_lease_.age(env_.clock.now());
    env_.counters
        .counter(
            "rejected_total", "status=\"" + std::to_string(status) +
                                  "\",reason=\"" + reason + '"')
        .add();
    env_.log.record(
        event_level::warn, "rejected",
        {{"request", id.empty() ? "-" : id},
         {"status", std::to_string(status)},
         {"reason", reason},
         {"detail", detail.empty() ? "-" : detail},
         {"configuration", table_ ? std::to_string(table_->version()) : "none"},
         {"age_ms",
          age ? std::to_string(
                    std::chrono::duration_cast<milliseconds>(*age).count())
              : "-"}});
    session.respond(
        status, reason_phrase(status), headers,
        std::string("{\"error\":\"") + reason + "\"}\n");
}

void gateway::on_request(
    std::shared_ptr<client_session> session, client_request message)
{
    admitted_request r;
    try
    {
        r.metadata = env_.protocol.read_request(message.head);
    }
    catch (error const& e)
    {
        reject(*session, {}, 400, "bad_request", e.detail());
        return;
    }
    auto const& id = r.metadata.id.value();
    if (refuse_excess(*session, id))
        return;
    if (!table_)
    {
        reject(*session, id, 503, "no_configuration", {});
        return;
    }
    auto const path = request_path(message.head.target);
    r.table = table_;
    r.route = table_->match(request_host(message.head), path);
    auto const now = env_.clock.now();
    if (auto const refusal =
            request_admission::check_route(r.route, freshness_lease_, now))
    {
        reject(
            *session, id, refusal->status, refusal->reason, std::string(path));
        return;
    }
    r.rank = r.route->rank;
    if (request_admission::needs_organisation(*table_, *r.route))
    {
        auto const* const organisation =
            table_->organisation(r.metadata.api_key);
        if (auto const refusal = request_admission::check_organisation(
                organisation, freshness_lease_, now))
        {
            reject(
                *session, id, refusal->status, refusal->reason, r.route->name);
            return;
        }
        r.organisation = organisation->name;
        r.rank = organisation->rank.value_or(r.rank);
    }
    r.service = routing_table::select_target(*r.route, env_.random.next());
    if (endpoint_watch_.listed() && table_->service(r.service) == nullptr &&
        endpoints_.of_service(r.service).empty())
    {
        reject(*session, id, 503, "unknown_service", r.route->name);
        return;
    }
    if (shutting_down_ && !accepts_during_shutdown(r, message.received))
    {
        reject(*session, id, 503, "shutting_down", r.route->name);
        return;
    }
    if (r.route->engine_prompt)
        r.shared_parts = prompt_part_keys_of(r.metadata.prompt_parts);
    if (auto const rest =
            prompt_crashes_.quarantined_for(r.shared_parts, env_.clock.now()))
    {
        prompt_crashes_.count_refusal();
        reject(*session, id, 503, quarantined_prompt, r.route->name, *rest);
        return;
    }
    if (auto const* const spec = table_->service(r.service);
        spec && spec->engine)
        engine_services_.insert(r.service);
    r.message = std::move(message);
    auto const e = std::make_shared<relay_exchange>(
        ++last_exchange_number_, std::move(session), std::move(r), *this);
    exchanges_.emplace(e->number(), e);
    e->watch_caller();
    bool const takes_up = e->request().route->event_stream &&
                          e->request().route->resumable &&
                          e->request().metadata.last_event_id;
    if (takes_up && stream_sync_)
        take_up(e);
    else
        start(e);
}

void gateway::start(std::shared_ptr<relay_exchange> const& e)
{
    if (!may_be_cached(
            *e->request().route, e->request().metadata.last_event_id))
    {
        e->start({});
        return;
    }
    auto work = e->work();
    if (rollouts_ && work.stream_version)
        rollouts_->bar_from_stream(work, env_.clock.now());
    else if (rollouts_)
        rollouts_->choose_standby_versions(work, env_.clock.now());
    cache_lookup_.find(
        work, fleet_size(),
        [e](endpoint_id const& cached_at) { e->start(cached_at); });
}

bool gateway::may_be_cached(
    gateway_route const& route,
    std::optional<std::uint64_t> const& last_event_id) const
{
    bool const just_started =
        !settings_.first_start &&
        env_.clock.now() - started_ < caller_return_window;
    return route.engine_prompt && (last_event_id || just_started);
}

bool gateway::accepts_during_shutdown(
    admitted_request const& r, steady_time received) const
{
    auto const found = stream_durations_.find(r.service);
    std::optional<duration> expected;
    if (found != stream_durations_.end())
        expected = found->second;
    auto const longest = std::min(
        r.metadata.deadline.value_or(r.route->timeout), r.route->timeout);
    auto const now = env_.clock.now();
    return shutdown_policy::accepts(
        *r.route, now - shutdown_began_, settings_.shutdown_grace,
        received + longest - now, expected);
}

bool gateway::may_pass_on(relay_exchange const& e) const
{
    auto const& route = *e.request().route;
    if (!shutting_down_ || route.repeatable())
        return true;
    auto const now = env_.clock.now();
    return shutdown_policy::accepts(
        route, now - shutdown_began_, settings_.shutdown_grace,
        e.deadline() - now, std::nullopt);
}

void gateway::record_stream_duration(
    service_name const& service, std::uint64_t max_tokens, duration took,
    duration since_first_event)
{
    auto& average = stream_durations_.try_emplace(service, took).first->second;
    average += (took - average) / generation_estimate::samples;
    generation_estimates_[service].record(max_tokens, since_first_event);
}

// Exchanges ------------------------------------------------------------------

service_retry_budget& gateway::budget(service_name const& service)
{
    auto found = budgets_.find(service);
    if (found == budgets_.end())
        found = budgets_.emplace(service, new_budget()).first;
    update_fleet_size(found->second);
    return found->second;
}

service_retry_budget gateway::new_budget() const
{
    return service_retry_budget(
        settings_.retries,
        settings_.first_start ? started_ : started_ + settings_.retries.window);
}

void gateway::update_fleet_size(service_retry_budget& budget) const
{
    if (peer_load_sync_ && peer_load_sync_->fleet_size() > 0)
        budget.set_fleet_size(peer_load_sync_->fleet_size(), env_.clock.now());
}

std::size_t gateway::fleet_size() const
{
    auto const known = peer_load_sync_ ? peer_load_sync_->fleet_size() : 1;
    return known > 0 ? known : std::size_t(settings_.retries.fleet_size);
}

std::uint32_t gateway::connection_share(service_spec const& service) const
{
    auto const gateways = fleet_size();
    auto const usable = std::uint64_t(service.max_connections) *
                        attempt_connections_percent / 100;
    return std::max<std::uint32_t>(
        std::uint32_t(usable / gateways), min_connection_share);
}

first_event_estimate& gateway::estimate(service_name const& service)
{
    return estimates_[service];
}

void gateway::on_exchange_finished(std::shared_ptr<relay_exchange> const& e)
{
    auto const queue = request_queues_.find(e->request().service);
    if (queue != request_queues_.end())
        queue->second->erase(e->number());
    exchanges_.erase(e->number());
}

// Request queues -------------------------------------------------------------

request_queue& gateway::queue_of(service_name const& service)
{
    auto& queue = request_queues_[service];
    if (!queue)
        queue = std::make_unique<request_queue>(queue_policy_, env_.random);
    return *queue;
}

double gateway::unseen_choices(service_name const& service, bool resuming)
{
    return contention_[service].unseen_choices(
        fleet_size() - 1, requests_waiting(service), resuming,
        env_.clock.now());
}

bool gateway::requests_waiting(service_name const& service) const
{
    auto const queue = request_queues_.find(service);
    return queue != request_queues_.end() && queue->second->size() > 0;
}

void gateway::on_prompt_started(service_name const& service)
{
    contention_[service].record_start(env_.clock.now());
}

void gateway::on_answer_lost(service_name const& service)
{
    contention_[service].record_loss(env_.clock.now());
}

bool gateway::wait_for_capacity(std::shared_ptr<relay_exchange> const& e)
{
    auto const& r = e->request();
    auto& queue = queue_of(r.service);
    auto const now = env_.clock.now();
    auto entry = make_queued_request(
        *r.route, e->work(), r.rank, e->received(), e->deadline(),
        estimate(r.service), generation_estimates_[r.service], now);
    entry.id = e->number();
    entry.organisation = r.organisation;
    bool const others_waited = queue.size() > 0;
    auto const pause_end = selection_.earliest_pause_end(r.service, now);
    auto const within_limits = selection_.earliest_within_limits(
        r.service, queue.ahead_of(entry, now), now);
    if (pause_end && entry.too_late_at(*pause_end))
        refuse_paused(entry.id, *pause_end);
    else if (within_limits && entry.too_late_at(*within_limits))
        refuse_limited(entry.id, *within_limits);
    else if (auto const refusal = queue.enqueue(entry, now))
        refuse_waiting(*refusal, to_string(refusal->reason));
    // It was not offered to any endpoint before those that waited.
    if (others_waited)
        on_capacity_freed(r.service);
    return true;
}

void gateway::refuse_waiting(queue_refusal const& refusal, char const* reason)
{
    auto const found = exchanges_.find(refusal.id);
    if (found == exchanges_.end())
        return;
    auto const e = found->second;
    auto const text = [](duration d) {
        return std::to_string(
            std::chrono::duration_cast<milliseconds>(d).count());
    };
    auto const& r = e->request();
    env_.counters
        .counter(
            "queue_refusals_total",
            "rank=\"" + std::to_string(r.rank) + "\",reason=\"" + reason + '"')
        .add();
    env_.log.record(
        event_level::warn, "wait_refused",
        {{"request", r.metadata.id.value()},
         {"organisation", r.organisation.value()},
         {"rank", std::to_string(r.rank)},
         {"reason", reason},
         {"waited_ms", text(env_.clock.now() - e->received())},
         {"predicted_wait_ms",
          refusal.predicted_wait ? text(*refusal.predicted_wait) : "-"},
         {"retry_after_ms", text(refusal.retry_after)},
         {"waiting", std::to_string(queue_of(r.service).size())}});
    e->refuse(reason, refusal.retry_after);
}

/// Refuses a request that cannot start before all endpoints end their pauses.
void gateway::refuse_paused(queue_entry_id id, steady_time until)
{
    queue_refusal refusal;
    refusal.id = id;
    refusal.predicted_wait = until - env_.clock.now();
    refusal.retry_after =
        std::chrono::ceil<milliseconds>(*refusal.predicted_wait);
    refuse_waiting(refusal, "endpoints_paused");
}

/// Refuses a request that exceeds the request limits of all endpoints.
void gateway::refuse_limited(queue_entry_id id, steady_time until)
{
    auto const now = env_.clock.now();
    queue_refusal refusal;
    refusal.id = id;
    if (until < steady_time::max())
        refusal.predicted_wait = until - now;
    refusal.retry_after = endpoint_selector::retry_after_limits(until, now);
    refuse_waiting(refusal, "request_limits");
}

void gateway::on_capacity_freed(service_name const&)
{
    if (dispatch_posted_)
        return;
    bool waiting = false;
    for (auto const& [service, queue] : request_queues_)
        waiting = waiting || queue->size() > 0;
    if (!waiting)
        return;
    dispatch_posted_ = true;
    asio::post(
        env_.io,
        [this]
        {
            dispatch_posted_ = false;
            dispatch_waiting();
        });
}

void gateway::dispatch_waiting()
{
    for (auto const& [service, queue] : request_queues_)
        dispatch_queue(service, *queue);
}

void gateway::dispatch_queue(service_name const& service, request_queue& queue)
{
    auto const now = env_.clock.now();
    if (auto const pause_end = selection_.earliest_pause_end(service, now))
    {
        for (auto const& refusal : queue.remove_expired(*pause_end))
            refuse_paused(refusal.id, *pause_end);
        return; // no endpoint takes any of the others before
    }
    for (auto const& refusal : queue.remove_expired(now))
        refuse_waiting(refusal, to_string(refusal.reason));
    start_waiting(queue, now);
    for (auto const& refusal : queue.remove_unservable(now))
        refuse_waiting(refusal, to_string(refusal.reason));
}

/// Starts requests in their order until there is no capacity for the next one.
void gateway::start_waiting(request_queue& queue, steady_time now)
{
    for (std::size_t n = queue.size(); n > 0; --n)
    {
        auto const next = queue.pop(now);
        if (!next)
            return;
        auto const found = exchanges_.find(next->id);
        if (found == exchanges_.end())
            continue;
        auto const e = found->second;
        if (!e->try_leave_queue())
        {
            queue.requeue(*next);
            return;
        }
        env_.counters
            .histogram(
                "queue_wait_seconds",
                "rank=\"" + std::to_string(next->rank) + '"')
            .record(std::chrono::duration_cast<std::chrono::microseconds>(
                now - next->received));
    }
}

// Timer ----------------------------------------------------------------------

void gateway::schedule_tick()
{
    tick_timer_ = env_.timers.schedule(tick_interval, [this] { tick(); });
}

void gateway::tick()
{
    schedule_tick();
    auto const now = env_.clock.now();
    bool const paused = now - last_tick_ > pause_threshold;
    if (paused)
        env_.log.record(
            event_level::warn, "process_paused",
            {{"ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                       now - last_tick_)
                                       .count())}});
    last_tick_ = now;
    run_step(
        "configuration",
        [this]
        {
            configuration_catch_up_.poll();
            configuration_reader_.poll();
            shared_configuration_.set_receiving(
                configuration_catch_up_.receiving() > 0);
            configuration_watch_.poll();
        });
    run_step("endpoints", [this] { endpoint_watch_.poll(); });
    run_step("accept", [this] { accept_when_ready(); });
    if (peer_load_sync_)
        run_step("peers", [this] { peer_load_sync_->poll(); });
    if (table_service_)
        run_step("tables", [&] { table_service_->poll(now); });
    if (rollouts_)
        run_step("rollouts", [&] { rollouts_->poll(now); });
    if (stream_sync_)
        run_step("streams", [this] { stream_sync_->poll(); });
    peers_.expire(now);
    check_endpoint_calls(now, paused);
    check_exchanges(now, paused);
    run_step("suspects", [&] { check_suspected_endpoints(now); });
    run_step("limits", [&] { limits_.poll(now); });
    run_step("queues", [this] { dispatch_waiting(); });
    if (listener_closing_)
        run_step("accept", [this] { stop_accepting(); });
    note_freshness(now);
    if (now - last_sweep_ < sweep_interval)
        return;
    last_sweep_ = now;
    run_step("connections", [this] { pool_.close_expired(); });
    run_step("prompts", [&] { prompt_crashes_.remove_expired(now); });
    run_step("sweep", [&] { sweep_endpoints(now); });
    run_step("sources", [&] { update_table_sources(now); });
    run_step("status", [&] { status_->check_timeouts(now); });
    if (metrics_)
        run_step("metrics", [&] { metrics_->check_timeouts(now); });
    check_sessions(now);
}

/// Runs a part of the timer's work. An error ends that part only.
template<typename Work>
void gateway::run_step(char const* step, Work const& work)
{
    run_isolated(
        work,
        [this, step](std::string const& detail)
        {
            env_.counters.counter("unexpected_errors_total").add();
            env_.log.record(
                event_level::error, "unexpected_error",
                {{"step", step}, {"detail", detail}});
        });
}

void gateway::check_endpoint_calls(steady_time now, bool paused)
{
    auto const calls = endpoint_calls_;
    for (auto const& call : calls)
        run_step("call", [&] { call->check_timeouts(now, paused); });
    endpoint_calls_.erase(
        std::remove_if(
            endpoint_calls_.begin(), endpoint_calls_.end(),
            [](std::shared_ptr<endpoint_call> const& c) { return c->done(); }),
        endpoint_calls_.end());
}

void gateway::note_freshness(steady_time now)
{
    bool const valid = table_ && freshness_lease_.valid(now);
    if (valid == configuration_was_fresh_)
        return;
    configuration_was_fresh_ = valid;
    env_.log.record(
        valid ? event_level::info : event_level::warn,
        valid ? "configuration_fresh" : "configuration_stale", {});
}

/// A copy, as an exchange may end while it is used.
std::vector<std::shared_ptr<relay_exchange>> gateway::exchanges() const
{
    std::vector<std::shared_ptr<relay_exchange>> exchanges;
    exchanges.reserve(exchanges_.size());
    for (auto const& [number, e] : exchanges_)
        exchanges.push_back(e);
    return exchanges;
}

void gateway::pass_on_recorded_streams()
{
    for (auto const& e : exchanges())
        run_step("request", [&] { e->on_stream_recorded(); });
}

void gateway::check_exchanges(steady_time now, bool paused)
{
    bool const grace_over =
        shutting_down_ && shutdown_policy::grace_over(
                              now - shutdown_began_, settings_.shutdown_grace);
    for (auto const& e : exchanges())
    {
        run_step(
            "request",
            [&]
            {
                if (grace_over)
                    e->end_for_shutdown();
                else
                    e->check_progress(now, paused);
            });
    }
    if (!grace_over)
        return;
    run_step("accept", [this] { stop_accepting(); });
    for (auto const& session : sessions())
        run_step("session", [&] { session->end_for_shutdown(); });
    if (!requests_ended_)
        requests_ended_ = now;
}

/// A copy, as a session may end while it is used.
std::vector<std::shared_ptr<client_session>> gateway::sessions() const
{
    std::vector<std::shared_ptr<client_session>> sessions;
    sessions.reserve(sessions_.size());
    for (auto const& [raw, session] : sessions_)
        sessions.push_back(session);
    return sessions;
}

void gateway::check_sessions(steady_time now)
{
    bool const leaving =
        shutting_down_ &&
        now - shutdown_began_ > shutdown_policy::load_balancer_removal_time;
    for (auto const& session : sessions())
    {
        run_step(
            "session",
            [&]
            {
                session->check_timeouts(now);
                if (leaving)
                    session->close_idle();
            });
    }
    if (leaving && sessions_.empty())
        stop_accepting();
}

// Shutdown -------------------------------------------------------------------

bool gateway::ready() const
{
    return !shutting_down_ && table_ && endpoint_watch_.listed() &&
           freshness_lease_.valid(env_.clock.now());
}

void gateway::begin_shutdown()
{
    if (shutting_down_)
        return;
    if (peer_load_sync_)
        peer_load_sync_->unregister();
    if (table_service_)
        table_service_->stop();
    limits_.stop();
    shutting_down_ = true;
    shutdown_began_ = env_.clock.now();
    for (auto const& e : exchanges())
        e->on_shutdown_began();
}

bool gateway::finished() const
{
    if (!shutting_down_)
        return false;
    auto const now = env_.clock.now();
    auto const elapsed = now - shutdown_began_;
    bool const idle = exchanges_.empty() && sessions_.empty() &&
                      !acceptor_.is_open() && !accept_pending_;
    if (!shutdown_policy::may_exit(elapsed, settings_.shutdown_grace, idle))
        return false;
    if (idle)
        return true;
    // After a pause of the process, open requests are ended first.
    if (!requests_ended_ ||
        now - *requests_ended_ <= shutdown_policy::final_write_time)
        return false;
    if (shutdown_policy::must_exit(elapsed, settings_.shutdown_grace))
        return true;
    return !acceptor_.is_open() && !accept_pending_ &&
           std::none_of(
               sessions_.begin(), sessions_.end(),
               [](auto const& entry) { return entry.second->owes_answer(); });
}

} // namespace dotterellock
