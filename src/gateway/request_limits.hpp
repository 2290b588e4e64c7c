// Keeps the request limits of endpoints over all gateways. The gateway that is
// first in the rendezvous order of an endpoint, of those alive, gives permits
// for it at the rate of the limit; the others ask it when they have requests.
// So a limit goes to where the callers are, and one gateway counts.
//
// A permit is valid for a second from the time when it was asked for. In any
// 4 s an endpoint gets at most what is granted in 5 s, 5.25 times its limit and
// one request. Two gateways that both grant for a moment, as their views of the
// fleet differ, add one limit for each second.
//
// Each answer and message tells what the endpoint said last, so that gateways
// learn of a limit and of its end.
//
// Designed for limits below one request a second for each gateway, hundreds of
// gateways, lost messages, and gateways that end, freeze or are cut off.
#ifndef DOTTERELLOCK_GATEWAY_REQUEST_LIMITS_HPP
#define DOTTERELLOCK_GATEWAY_REQUEST_LIMITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

#include "endpoint_table.hpp"
#include "peer_loads.hpp"

namespace dotterellock
{

/// A gateway asks another one for permits, or is answered.
struct limit_message
{
    bool reply = false;
    endpoint_id endpoint;
    std::uint64_t number = 0;  // of the question
    std::uint32_t permits = 0; // asked for, or given
    std::uint32_t rank = 0;    // of the most urgent request; 0 is first

    // What the endpoint said last, as far as the sender knows.
    std::optional<load_share::shared_limit> said;
};

/// The gateways of the fleet and the way to them.
class limit_network
{
public:
    virtual ~limit_network() = default;

    struct granter
    {
        host_id host;
        bool heard = false; // of late; always of this gateway
    };

    /// The first gateways in the rendezvous order of an endpoint, with this
    /// one, without those that have been silent for long. Empty if the fleet is
    /// not known.
    virtual std::vector<granter>
    granters(endpoint_id const& endpoint) const = 0;

    virtual void send(host_id const& to, limit_message const& message) = 0;
};

class request_limits
{
public:
    // A gateway that has no use for a permit by then leaves it to others.
    static constexpr std::chrono::milliseconds permit_validity{1000};

    // A question waits so long for its turn, and then gets a reply without a
    // permit. The request that it is about may be gone later.
    static constexpr std::chrono::milliseconds max_wait{100};

    // Longer than max_wait and a round trip between regions.
    static constexpr std::chrono::milliseconds reply_timeout{400};

    // A gateway that is not heard and left so many questions in a row without a
    // reply is taken for dead for a while. Single datagrams are lost, and two
    // gateways that grant send twice the limit.
    static constexpr std::uint32_t max_unanswered = 3;
    static constexpr std::chrono::milliseconds silence_time{5000};

    // After a question in vain, a permit is not expected for the time between
    // two of them, within these bounds.
    static constexpr std::chrono::milliseconds min_denial{100};
    static constexpr std::chrono::milliseconds max_denial{1000};

    // Statements are told to other gateways, and by these to further ones.
    // Counted as older by more than a datagram takes, so that none is renewed
    // on its way.
    static constexpr std::chrono::milliseconds passing_time{100};

    // The end of a limit is told for so long.
    static constexpr std::chrono::milliseconds end_told_for{10000};

    // As many fit into a load share beside the loads.
    static constexpr std::size_t max_statements = 16;

    // One request in 4 s shows the end of a limit of next to nothing.
    static constexpr double min_rate = 0.25;

    struct counts
    {
        std::uint64_t questions = 0; // sent
        std::uint64_t granted = 0;   // permits for all gateways
        std::uint64_t unanswered = 0;
    };

    request_limits(
        host_id self, endpoint_table const& endpoints, limit_network& network)
        : self_(std::move(self)), endpoints_(endpoints), network_(network)
    {
    }

    request_limits(request_limits const&) = delete;
    request_limits& operator=(request_limits const&) = delete;

    /// Records what an endpoint said, to this gateway or to another one.
    /// @return whether its limit is another one now
    bool observe(
        endpoint_state& endpoint, request_limit_observation const& said,
        steady_time now);

    /// Asks for permits for an endpoint with a limit, unless there are some or
    /// a question is on its way.
    void ask(endpoint_state& endpoint, std::uint32_t rank, steady_time now);

    /// Endpoints of a service for which this gateway awaits a reply.
    std::size_t asked(service_name const& service) const;

    /// Those, and the ones for which it has permits.
    std::size_t expected(service_name const& service, steady_time now) const;

    /// @return whether it brought permits
    bool on_message(
        host_id const& from, limit_message const& message, steady_time now);

    /// Gives permits to those who wait, and gives up questions without a reply;
    /// called many times a second.
    void poll(steady_time now);

    /// Gives no more permits, as another gateway takes this one's place.
    void stop() { stopped_ = true; }

    /// Statements for a load share, those of all endpoints in turn.
    std::vector<load_share::shared_limit> statements(steady_time now);

    /// Endpoints with a limit.
    std::size_t limited() const;

    counts const& totals() const { return totals_; }

private:
    struct question
    {
        host_id from;
        std::uint64_t number = 0;
        std::uint32_t permits = 0;
        std::uint32_t rank = 0;
        steady_time arrived{};
    };

    /// An endpoint that has a limit or had one.
    struct entry
    {
        // Of this gateway's last question.
        std::uint64_t number = 0;
        steady_time asked{};
        host_id granter;
        bool awaits_reply = false;

        // As the one who gives permits.
        double saved = 0;
        steady_time saved_at{};
        std::deque<question> questions;

        std::optional<steady_time> ended; // when the end was learned
    };

    std::optional<host_id>
    granter_of(endpoint_id const& endpoint, steady_time now) const;
    bool silent(host_id const& host, steady_time now) const;
    void on_question(
        host_id const& from, limit_message const& message, steady_time now);
    bool on_reply(
        host_id const& from, limit_message const& message, steady_time now);
    void serve(entry& e, endpoint_state& endpoint, steady_time now);
    void reply(
        entry& e, endpoint_state& endpoint, question const& q,
        std::uint32_t permits, steady_time now);
    void check_reply(entry& e, endpoint_state& endpoint, steady_time now);
    static void deny(endpoint_state& endpoint, steady_time now);
    static void
    refill(entry& e, endpoint_state const& endpoint, steady_time now);
    static std::optional<load_share::shared_limit>
    statement_of(endpoint_state const& endpoint, steady_time now);

    struct silence
    {
        std::uint32_t unanswered = 0; // in a row
        steady_time until{};
    };

    host_id const self_;
    endpoint_table const& endpoints_;
    limit_network& network_;
    std::map<endpoint_id, entry> entries_;
    std::map<host_id, silence> silences_;
    std::uint64_t last_number_ = 0;
    endpoint_id last_stated_;
    bool stopped_ = false;
    counts totals_;
};

} // namespace dotterellock

#endif
