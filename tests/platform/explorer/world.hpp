// A gateway on loopback with callers, endpoints, operator and store that act as
// the steps of a schedule say. Its clock is moved by steps only.
#ifndef DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_WORLD_HPP
#define DOTTERELLOCK_TESTS_PLATFORM_EXPLORER_WORLD_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <asio.hpp>
#include <poll.h>

#include "manual_scheduler.hpp"
#include "observations.hpp"
#include "peer_socket.hpp"
#include "platform/platform_protocol.hpp"
#include "platform/platform_row_codec.hpp"
#include "relay/gateway.hpp"
#include "store_model.hpp"

namespace dotterellock::testing::explorer
{

/// Bounds of the platform that the gateway's settings and the checks share.
struct platform_bounds
{
    static constexpr milliseconds key_withdrawal{5000};
    static constexpr milliseconds drain{2500};
    static constexpr milliseconds grace{8000};
    static constexpr milliseconds retry_window{10000};
    double retry_ratio = 0.8;
    double retry_allowance = 20;

    static platform_bounds of(std::uint64_t seed);
};

class world
{
public:
    explicit world(std::uint64_t seed);
    ~world();

    void play(step const& s);

    /// Ends all trouble, sends one more request of each kind unless the
    /// gateway stops, and stops it.
    void finish();

    observations const& seen() const { return seen_; }
    std::vector<std::string> const& log_lines() const { return log_.lines; }

private:
    struct line_log : event_log
    {
        void record(
            event_level, char const* event,
            std::vector<event_field> const& fields) override;

        clock_source const* clock = nullptr;
        std::vector<std::string> lines;
        std::size_t unexpected_errors = 0;
    };

    struct null_writer : row_writer
    {
        void
        put(std::string const&, std::string const&, std::string const&,
            handler done) override
        {
            done(true);
        }
        void
        remove(std::string const&, std::string const&, handler done) override
        {
            done(true);
        }
        void put_if(
            std::string const&, std::string const&, std::string const&,
            std::uint64_t, conditional_handler done) override
        {
            done({});
        }
        void
        find(std::string const&, std::string const&, find_handler done) override
        {
            done({});
        }
    };

    struct caller
    {
        std::unique_ptr<peer_socket> socket;
        std::size_t connection = 0;
        std::size_t parsed = 0; // bytes of whole answers
        std::size_t looked_at = 0;
        bool looked_at_end = false;
        std::size_t answers = 0; // whole ones
        bool told_of_close = false;
    };

    struct endpoint_connection
    {
        std::unique_ptr<peer_socket> socket;
        std::size_t parsed = 0;
        std::size_t looked_at = 0;
        std::size_t sent = 0;
        std::optional<std::size_t> run; // that it works on
        bool ends_after_answer = false;
        bool ends_with_connection = false; // its answer has no length
        bool answer_complete = false;      // nothing is added to it
    };

    struct endpoint
    {
        std::string id;
        std::string service;
        std::string zone;
        asio::ip::tcp::endpoint address;
        std::unique_ptr<asio::ip::tcp::acceptor> acceptor;
        std::vector<std::unique_ptr<endpoint_connection>> connections;
        bool mute = false;
        std::uint64_t born = 1000;
        row_form form = row_form::ready;
    };

    // Callers
    void send_request(step const& s);
    caller* open_caller(std::uint32_t who);
    caller* usable_caller(std::uint32_t who);
    void leave(step const& s);
    void note_sent(caller& c);
    void read_answers(caller& c);

    // Endpoints
    void listen(endpoint& e, bool accepts);
    void read_requests(endpoint& e, endpoint_connection& c);
    void answer_control_call(
        endpoint& e, endpoint_connection& c, received_message const& m);
    void note_answered(endpoint_connection& c);
    std::vector<std::pair<endpoint_connection*, std::size_t>> open_runs();
    void answer(
        endpoint_connection& c, endpoint_run& run, answer_form form,
        std::size_t bytes);
    void
    begin_stream(endpoint_connection& c, endpoint_run& run, event_form form);
    void
    add_events(endpoint_connection& c, endpoint_run& run, std::uint32_t count);
    void end_stream(endpoint_connection& c, endpoint_run& run, bool in_order);
    void drop(endpoint_connection& c, bool reset);
    void finish_open_runs();
    void act_on_run(step const& s);

    // Operator and store
    void put_row(std::uint32_t index, row_form form);
    void configure(step const& s);
    void commit_configuration();
    void note_keys();
    void set_store(store_mode mode);

    // Time
    void settle();
    bool pump();
    bool accept(endpoint& e);
    void advance(milliseconds span);
    void thaw();
    void note_end_of_process();

    steady_time now() const { return scheduler_.now(); }
    bool is_over() const { return seen_.finished.has_value(); }

    std::uint64_t const seed_;
    memory_budget memory_{gateway_settings().memory_for_others()};
    asio::io_context io_{1};
    asio::ip::tcp::acceptor port_guard_{io_};
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        io_.get_executor()};
    manual_scheduler scheduler_;
    seeded_random random_;
    line_log log_;
    counter_registry counters_;
    platform_protocol protocol_;
    platform_row_codec codec_;
    store_state store_{io_, scheduler_};
    store_table configuration_{store_};
    store_table endpoint_rows_{store_};
    store_table gateways_{store_};
    null_writer writer_;
    std::array<endpoint, endpoint_count> endpoints_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::array<std::size_t, caller_count> current_callers_{};
    std::vector<pollfd> polled_;
    std::string listen_address_;
    std::unique_ptr<gateway> subject_;
    observations seen_;

    // The configuration in the store
    std::uint64_t version_ = 0;
    bool key_valid_ = true;
    bool organisations_ = true;
    bool small_body_limit_ = false;
    bool safe_route_ = true;
    bool app_service_ = true;
    bool short_idle_limit_ = false;
    std::uint32_t max_attempts_ = 3;

    std::optional<steady_time> store_fault_since_;
    std::optional<steady_time> frozen_since_;
    bool calm_ = false; // endpoints answer at once
};

} // namespace dotterellock::testing::explorer

#endif
