// Finds the prompt part that crashes the endpoints that process it, from the
// crashes that this gateway and its peers saw, and says which requests must be
// refused. Owned by the gateway; the thread that holds its lock calls it.
//
// Designed for a prompt part that crashes every endpoint it reaches, in a fleet
// of 30 gateways each of which sees few of the crashes, while whole zones may
// be lost at the same time. Sound prompts share all other parts with it.
#ifndef DOTTERELLOCK_GATEWAY_PROMPT_QUARANTINE_HPP
#define DOTTERELLOCK_GATEWAY_PROMPT_QUARANTINE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

namespace dotterellock
{

/// Shared parts of one prompt, in order.
using prompt_part_keys = std::vector<std::uint64_t>;

/// Keys of a prompt's shared parts. The last part belongs to the request itself
/// and is left out.
prompt_part_keys prompt_part_keys_of(std::vector<std::string> const& parts);

/// What gateways exchange. Ages and rests are those at the time of sending.
struct crash_evidence
{
    struct incident
    {
        std::uint64_t endpoint = 0; // hash of its id
        std::chrono::milliseconds age{0};
    };

    struct part
    {
        std::uint64_t key = 0;
        std::vector<incident> incidents;
        std::optional<std::chrono::milliseconds> proven_age;      // last proof
        std::optional<std::chrono::milliseconds> quarantined_for; // rest
        std::uint32_t quarantines = 0;                            // so far
        std::optional<std::uint8_t> position; // in prompts, if known
    };

    std::vector<part> parts;
};

class prompt_quarantine
{
public:
    // An attempt is proven once it has written for this long.
    static constexpr std::chrono::milliseconds proving_time{1000};

    // Losing a zone takes down many endpoints at once.
    static constexpr std::chrono::milliseconds min_incident_spacing{1000};

    // With a part in two requests a minute, three incidents take longer than
    // one: the repetitions of a request crash within a second.
    static constexpr std::chrono::seconds incident_window{300};

    // Two zones may be lost in short order.
    static constexpr std::size_t min_incidents = 3;

    // A crashed endpoint is back and a request has proven its parts.
    static constexpr std::chrono::seconds tentative_refusal{10};

    // Parts that cannot be told apart or were proven before may be sound, and
    // only requests with them can show it. These are let through for a moment
    // after the first interval, and again each time that the time since the
    // last incident has doubled.
    static constexpr std::chrono::seconds first_trial{30};
    static constexpr std::chrono::milliseconds trial_duration{500};

    static constexpr std::chrono::minutes first_quarantine{5};
    static constexpr std::chrono::minutes max_quarantine{60};
    static constexpr std::chrono::minutes renewal_memory{60};

    // Received ages omit the time on the network. Without a tolerance, times
    // that gateways repeat to each other would move on with every exchange.
    static constexpr std::chrono::milliseconds age_tolerance{1000};

    static constexpr std::chrono::seconds proof_offer_time{60};
    static constexpr std::size_t max_parts = 256; // with evidence

    // Peers' evidence must not displace what this gateway saw itself.
    static constexpr std::size_t max_learnt_parts = 128;

    static constexpr std::size_t max_incidents = 8; // of a part
    static constexpr std::size_t max_proofs = 4096;
    static constexpr std::size_t max_exchanged_parts = 24;

    // Kept for proofs, so that they reach the peers that quarantine most.
    static constexpr std::size_t min_exchanged_proofs = 8;

    /// An unproven attempt with these parts ended because its endpoint was
    /// lost.
    void record_crash(
        endpoint_id const& endpoint, prompt_part_keys const& parts,
        steady_time now)
    {
        record_crash(endpoint, parts, now, now);
    }

    /// As above, for a loss at `at` that was recognised as one only now.
    void record_crash(
        endpoint_id const& endpoint, prompt_part_keys const& parts,
        steady_time at, steady_time now);

    /// An attempt with these parts has proven itself; `first_event` is the time
    /// of its first event.
    void record_proof(
        prompt_part_keys const& parts, steady_time first_event,
        steady_time now);

    /// Rest of the quarantine if a request with these parts must be refused.
    std::optional<duration>
    quarantined_for(prompt_part_keys const& parts, steady_time now) const;

    /// Evidence to send, the most incriminating parts first.
    crash_evidence evidence(steady_time now) const;

    /// Merges a peer's evidence. Returns true if it added anything.
    bool merge(crash_evidence const& evidence, steady_time now);

    void remove_expired(steady_time now);

    /// Number of parts that lead to refusals, for a metric.
    std::size_t quarantined_parts(steady_time now) const;

private:
    struct incident
    {
        std::uint64_t endpoint = 0;
        steady_time at{};
    };

    // Shared by all parts that are suspects of the incident.
    using incident_pointer = std::shared_ptr<incident>;
    using incident_list = std::vector<incident_pointer>;
    using incident_set = std::set<incident const*>;

    struct part_state
    {
        bool quarantined(steady_time now) const
        {
            return quarantines > 0 && now < until;
        }

        incident_list incidents;
        std::uint32_t quarantines = 0;
        steady_time until{};    // of the last quarantine, if there was one
        bool justified = false; // or other parts explain the incidents
        bool seen_here = false; // this gateway saw an incident
        std::optional<std::uint8_t> position; // the lowest one seen
    };

    // Parts that cannot be told apart; a request with all of them is refused.
    struct refused_group
    {
        std::vector<std::uint64_t> keys;
        steady_time until{};
        steady_time last_incident{};
        bool tentative = false; // one of several suspects
        bool doubtful = false;  // may be sound; has trials
    };

    struct rank;

    static bool in_trial(refused_group const& group, steady_time now);
    static duration quarantine_length(std::uint32_t quarantines);
    static incident_list
    counting(part_state const& part, incident_set const& explained);
    static std::optional<steady_time> last_incident(part_state const& part);
    static rank rank_of(part_state const& part, steady_time now);

    static void learn_position(part_state& part, std::uint8_t position)
    {
        part.position = std::min(part.position.value_or(position), position);
    }

    incident_pointer find_incident(std::uint64_t endpoint, steady_time at);
    void add_incident(part_state& part, incident_pointer const& added);
    bool put_proof(std::uint64_t key, steady_time first_event);
    std::optional<steady_time> proof_of(std::uint64_t key) const;
    void offer_proof(std::uint64_t key, steady_time now);
    bool apply_proof(std::uint64_t key, part_state& part);
    void merge_part(crash_evidence::part const& received, steady_time now);

    void update(steady_time now);
    void remove_old(steady_time now);
    void remove_excess_parts(steady_time now);
    void attribute_incidents(steady_time now);
    static void quarantine(part_state& part, steady_time now);
    void refuse_one_suspect(refused_group const& group, steady_time now);

    using summary = std::vector<std::uint64_t>;
    summary summarise(steady_time now) const;

    std::map<std::uint64_t, part_state> parts_;
    std::unordered_multimap<std::uint64_t, std::weak_ptr<incident>>
        incidents_; // by endpoint
    std::unordered_map<std::uint64_t, steady_time> proofs_;
    std::set<std::pair<steady_time, std::uint64_t>> proofs_by_time_;
    std::map<std::uint64_t, steady_time> offers_; // proofs offered until
    std::vector<refused_group> refused_;
};

} // namespace dotterellock

#endif
