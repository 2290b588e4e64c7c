// Gateway for direct dispatch: accepts callers, admits their requests under the
// configuration in force and relays them to endpoints. All of it runs on one
// I/O thread, as its hosts have a fraction of one core.
#ifndef DOTTERELLOCK_RELAY_GATEWAY_HPP
#define DOTTERELLOCK_RELAY_GATEWAY_HPP

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <asio/ip/tcp.hpp>

#include <dotterellock/observability.hpp>
#include <dotterellock/policy.hpp>

#include "catch_up_reader.hpp"
#include "gateway/announced_revisions.hpp"
#include "gateway/choice_contention.hpp"
#include "gateway/freshness_lease.hpp"
#include "gateway/generation_estimate.hpp"
#include "gateway/memory_budget.hpp"
#include "gateway/placement_explanation.hpp"
#include "gateway/request_limits.hpp"
#include "gateway/request_queue.hpp"
#include "gateway/request_rate_limit.hpp"
#include "gateway/shared_table.hpp"
#include "gateway/shutdown_policy.hpp"
#include "gateway/table_source_selector.hpp"
#include "gateway/table_watcher.hpp"
#include "peer_load_sync.hpp"
#include "peer_tables.hpp"
#include "prompt_cache_lookup.hpp"
#include "relay_exchange.hpp"
#include "rollout_control.hpp"
#include "settings/gateway_settings.hpp"
#include "status_service.hpp"
#include "stream_version_sync.hpp"

namespace dotterellock
{

/// Decodes rows of the platform's store. Implemented by the platform adapter.
class row_codec
{
public:
    virtual ~row_codec() = default;

    /// Decodes the configuration; no value if the row holds something else.
    /// Throws error(protocol_error) for a malformed row.
    virtual std::optional<gateway_configuration>
    read_configuration(store_row const& row) const = 0;

    /// Throws error(protocol_error) for a row that describes no endpoint.
    virtual endpoint_record read_endpoint(store_row const& row) const = 0;

    /// The service whose rollout a row is about, by the row's key; no value for
    /// other rows.
    virtual std::optional<service_name>
    rollout_service(store_row const& row) const = 0;

    /// Throws error(protocol_error) for a malformed order. Its time is not set.
    virtual rollout_order read_rollout_order(store_row const& row) const = 0;

    /// Throws error(protocol_error) for a malformed status.
    virtual rollout_status read_rollout_status(store_row const& row) const = 0;
    virtual std::string
    rollout_status_text(rollout_status const& status) const = 0;
    virtual std::string
    rollout_status_key(service_name const& service) const = 0;

    virtual std::string configuration_table() const = 0; // and of orders
    virtual std::string endpoint_table() const = 0;
    virtual std::string status_table() const = 0;
};

/// Dependencies of a gateway; owned by the process and outlive the gateway.
struct gateway_environment
{
    asio::io_context& io;
    timer_service& timers;
    clock_source const& clock; // counts suspension
    random_source& random;
    protocol_codec const& protocol;
    row_codec const& codec;
    row_reader& configuration_reader;
    row_reader& endpoint_reader;
    row_reader& peer_reader;
    row_writer& peer_writer;
    row_writer& status_store; // not used without rollouts
    event_log& log;
    counter_registry& counters;
    memory_budget& memory;

    // For the versions of streams; null: not recorded.
    row_reader* stream_reader = nullptr;
    row_writer* stream_writer = nullptr;
};

class gateway : public session_handler, public exchange_context
{
public:
    gateway(gateway_settings settings, gateway_environment environment);
    ~gateway() override;

    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    /// Opens the listening sockets. Throws std::system_error.
    void start();

    /// Applies changed limits; addresses are not reloaded.
    void reload(gateway_settings const& settings);

    /// Starts a graceful shutdown; finished() is true once it is complete.
    void begin_shutdown();
    bool finished() const;

    bool ready() const;
    std::string metrics();

private:
    /// An endpoint as one of its rows describes it.
    struct listed_endpoint
    {
        endpoint_record record;
        std::uint64_t revision = 0; // of the row
        steady_time changed_at{};   // not before
        bool logged = false;        // that its service has no configuration
    };

    // Time in which a process without a configuration should receive one.
    static constexpr std::chrono::milliseconds unconfigured_retry_after{1000};

    // An operator asks a few times; each answer takes as long as some requests.
    static constexpr std::size_t max_explanations = 5;
    static constexpr std::chrono::milliseconds explanation_period{1000};

    class configuration_sink;
    class endpoint_sink;
    class peer_limit_network;

    // session_handler
    void on_request(
        std::shared_ptr<client_session> session,
        client_request message) override;
    void on_rejected(
        client_session const& session, unsigned status,
        char const* why) override;
    void on_unanswered_input(
        client_session const& session, char const* why,
        std::size_t bytes) override;
    void on_closed(client_session& session) override;
    caller_limits limits() const override;
    bool close_after_response(client_session const& session) const override;

    // exchange_context
    clock_source const& clock() const override { return env_.clock; }
    endpoint_selector const& selection() const override { return selection_; }
    protocol_codec const& protocol() const override { return env_.protocol; }
    connection_pool& pool() override { return pool_; }
    event_log& log() override { return env_.log; }
    memory_budget& memory() override { return env_.memory; }
    service_retry_budget& budget(service_name const& service) override;
    first_event_estimate& estimate(service_name const& service) override;
    prompt_crash_monitor& prompt_crashes() override { return prompt_crashes_; }
    rollout_control* rollouts() override { return rollouts_.get(); }
    stream_versions* streams() override
    {
        return stream_sync_ ? &stream_versions_ : nullptr;
    }
    void
    report_answer(endpoint_ptr const& endpoint, version_answer answer) override;
    service_retry_budget new_budget() const;
    void update_fleet_size(service_retry_budget& budget) const;
    std::size_t fleet_size() const;
    std::uint32_t connection_share(service_spec const& service) const override;
    void report_outcome(
        endpoint_ptr const& endpoint, attempt_outcome outcome) override;
    void check_endpoint(endpoint_ptr const& endpoint) override;
    void record_announcements(
        endpoint_ptr const& endpoint, unsigned status,
        response_metadata const& metadata) override;
    void call(
        endpoint_ptr const& endpoint, std::chrono::milliseconds timeout,
        std::string request, bool probe, endpoint_call::handler done) override;
    void record_stream_duration(
        service_name const& service, std::uint64_t max_tokens, duration took,
        duration since_first_event) override;
    void on_load_changed() override;
    bool may_pass_on(relay_exchange const& e) const override;
    double unseen_choices(service_name const& service, bool resuming) override;
    bool requests_waiting(service_name const& service) const override;
    void ask_for_permits(
        endpoint_requirements const& work, engine_spec const* engine,
        std::uint32_t rank, bool waiting) override;
    void on_prompt_started(service_name const& service) override;
    void on_answer_lost(service_name const& service) override;
    bool wait_for_capacity(std::shared_ptr<relay_exchange> const& e) override;
    void on_capacity_freed(service_name const& service) override;
    void
    on_exchange_finished(std::shared_ptr<relay_exchange> const& e) override;
    void count_failed_attempt(char const* reason) override;
    void
    count_request(relay_exchange const& e, request_result const& r) override;

    void publish_endpoint_loads();
    std::unique_ptr<status_service>
    make_status_service(std::string const& address, bool explains);
    status_page explain_placement(std::string_view target);
    placement_state explained_state(steady_time now) const;
    service_view
    explained_service(service_name const& service, steady_time now) const;
    void accept_when_ready();
    void accept();
    void accept_waiting();
    void add_session(asio::ip::tcp::socket socket);
    std::size_t max_callers() const;
    std::size_t max_connections_of_callers() const;
    bool make_room(std::size_t max_sessions);
    bool close_longest_idle();
    bool refuse_excess(client_session& session, std::string const& id);
    void stop_accepting();
    void tick();
    void schedule_tick();
    template<typename Work>
    void run_step(char const* step, Work const& work);
    void check_endpoint_calls(steady_time now, bool paused);
    void note_freshness(steady_time now);
    std::vector<std::shared_ptr<relay_exchange>> exchanges() const;
    void check_exchanges(steady_time now, bool paused);
    std::vector<std::shared_ptr<client_session>> sessions() const;
    void check_sessions(steady_time now);
    void dispatch_queue(service_name const& service, request_queue& queue);
    void dispatch_waiting();
    void start_waiting(request_queue& queue, steady_time now);
    request_queue& queue_of(service_name const& service);
    void refuse_waiting(queue_refusal const& refusal, char const* reason);
    void refuse_paused(queue_entry_id id, steady_time until);
    void refuse_limited(queue_entry_id id, steady_time until);
    void log_leaving(endpoint_id const& endpoint, char const* source);
    void observe_request_limit(
        endpoint_state& endpoint, request_limit_observation const& said);
    std::unique_ptr<limit_network> make_limit_network();
    void
    move_nearest_first(std::vector<endpoint_ptr>& endpoints, std::size_t count);
    void log_endpoint(
        std::string const& key, char const* state, std::string const& detail,
        std::uint64_t revision);
    bool names_service(endpoint_record const& record) const;
    void put_endpoint(listed_endpoint const& endpoint);
    void put_or_hold_endpoint(listed_endpoint endpoint);
    void put_named_endpoints();
    void check_zone(endpoint_record const& failed);
    void on_check_finished(
        endpoint_ptr const& endpoint, steady_time began,
        endpoint_reply const& reply);
    load_share local_load_share();
    void on_load_share(load_share const& share);
    void check_suspected_endpoints(steady_time now);
    void sweep_endpoints(steady_time now);
    void make_rollout_control();
    void make_stream_sync();
    void pass_on_recorded_streams();
    std::map<service_name, std::map<std::string, std::size_t>>
    resumable_services() const;
    void take_up(std::shared_ptr<relay_exchange> const& e);
    void on_origin(
        std::shared_ptr<relay_exchange> const& e, stream_origin const& origin);
    void start(std::shared_ptr<relay_exchange> const& e);
    std::unique_ptr<table_listener> make_configuration_sink();
    std::unique_ptr<table_listener> make_endpoint_sink();
    void update_table_sources(steady_time now);
    void update_poll_wait();
    void request_reports(steady_time now);
    bool reports_for_zone(endpoint_state const& endpoint) const;
    bool needs_report(endpoint_state const& endpoint, steady_time now) const;
    void on_report(endpoint_state& endpoint, endpoint_reply const& reply);
    bool accepts_during_shutdown(
        admitted_request const& r, steady_time received) const;

    void reject(
        client_session& session, std::string const& id, unsigned status,
        char const* reason, std::string const& detail,
        std::chrono::milliseconds retry_after = unconfigured_retry_after);
    bool may_be_cached(
        gateway_route const& route,
        std::optional<std::uint64_t> const& last_event_id) const;
    void apply_configuration(
        gateway_configuration configuration, store_row const& row,
        steady_time changed_after, steady_time began);

    gateway_settings settings_;
    gateway_environment const env_;
    endpoint_table endpoints_;
    // By key, until a configuration names their services. Until then they must
    // not take the address of another endpoint.
    std::map<std::string, listed_endpoint> unnamed_endpoints_;
    zone_failure_detector zones_;
    peer_loads peers_;
    prompt_crash_monitor prompt_crashes_;
    std::unique_ptr<limit_network> limit_network_;
    request_limits limits_;
    endpoint_selector selection_;
    connection_pool pool_;
    freshness_lease freshness_lease_;
    std::shared_ptr<routing_table const> table_;
    std::uint64_t table_revision_ = 0;
    std::unique_ptr<table_listener> configuration_sink_;
    std::unique_ptr<table_listener> endpoint_sink_;
    table_source_selector table_sources_;
    shared_table shared_configuration_;
    shared_table shared_endpoints_;
    peer_table_client configuration_peers_;
    peer_table_client catch_up_peers_;
    peer_table_client endpoint_peers_;
    peer_table_client gateway_peers_;
    shared_row_reader configuration_reader_;
    announced_revisions configuration_revisions_;
    catch_up_reader configuration_catch_up_;
    shared_row_reader endpoint_reader_;
    shared_row_reader peer_reader_;
    table_watcher configuration_watch_;
    table_watcher endpoint_watch_;
    std::unique_ptr<peer_table_service> table_service_; // null: no peers

    asio::ip::tcp::acceptor acceptor_;
    std::unique_ptr<rollout_control> rollouts_; // null: disabled
    stream_versions stream_versions_;
    std::unique_ptr<stream_version_sync> stream_sync_; // null: not recorded
    std::set<service_name> resumable_; // services whose streams may be resumed
    std::unique_ptr<peer_load_sync> peer_load_sync_; // null: no peers
    std::vector<std::pair<steady_time, endpoint_id>> recent_failures_;
    std::unique_ptr<status_service> status_;
    std::unique_ptr<status_service> metrics_;
    request_rate_limit explanation_limit_{max_explanations, explanation_period};
    timer_id tick_timer_ = 0;
    steady_time started_{};
    bool accepting_ = false;
    bool accept_pending_ = false;
    steady_time last_tick_{};
    steady_time last_sweep_{};

    std::unordered_map<client_session*, std::shared_ptr<client_session>>
        sessions_;
    std::unordered_set<client_session const*> excess_sessions_;
    std::unordered_map<std::uint64_t, std::shared_ptr<relay_exchange>>
        exchanges_;
    std::uint64_t last_exchange_number_ = 0;
    std::map<service_name, service_retry_budget> budgets_;
    std::map<service_name, first_event_estimate> estimates_;
    std::map<service_name, choice_contention> contention_;
    struct fixed_policy : policy_source
    {
        policy_settings settings;
        policy_settings const& current() const override { return settings; }
    } queue_policy_;
    std::map<service_name, std::unique_ptr<request_queue>> request_queues_;
    bool dispatch_posted_ = false;
    std::vector<std::shared_ptr<endpoint_call>> endpoint_calls_;
    std::map<std::string, steady_time> last_checked_;   // by endpoint
    std::map<service_name, steady_time> permits_asked_; // at last
    std::set<service_name> engine_services_;            // that had requests
    std::map<service_name, duration> stream_durations_; // moving averages

    // From the first event to the end; moving averages.
    std::map<service_name, generation_estimate> generation_estimates_;

    prompt_cache_lookup cache_lookup_;
    bool shutting_down_ = false;
    bool configuration_was_fresh_ = false;
    steady_time shutdown_began_{};
    bool listener_closing_ = false;             // once it holds no connection
    std::optional<steady_time> requests_ended_; // at the end of the grace
};

} // namespace dotterellock

#endif
