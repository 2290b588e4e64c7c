// Index: keys; recording; queries; exchange; incidents and proofs; update.
#include "prompt_quarantine.hpp"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace dotterellock
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Later quarantines are no longer.
constexpr std::uint32_t max_counted_quarantines = 8;

std::uint64_t hash_of(std::string const& text)
{
    return XXH64(text.data(), text.size(), 0);
}

constexpr std::size_t max_positions = 256;

prompt_part_keys distinct(prompt_part_keys keys)
{
    std::sort(keys.begin(), keys.end());
    keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
    return keys;
}

} // namespace

// Keys -----------------------------------------------------------------------

prompt_part_keys prompt_part_keys_of(std::vector<std::string> const& parts)
{
    prompt_part_keys keys;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        keys.push_back(hash_of(parts[i]));
    return keys;
}

// Recording ------------------------------------------------------------------

void prompt_quarantine::record_crash(
    endpoint_id const& endpoint, prompt_part_keys const& parts, steady_time at,
    steady_time now)
{
    auto const recorded = find_incident(hash_of(endpoint.value()), at);
    recorded->at = std::min(recorded->at, at);
    for (auto const key : distinct(parts))
    {
        auto& part = parts_[key];
        part.seen_here = true;
        add_incident(part, recorded);
    }
    for (std::size_t i = 0; i < std::min(parts.size(), max_positions); ++i)
        learn_position(parts_.at(parts[i]), std::uint8_t(i));
    update(now);
}

void prompt_quarantine::record_proof(
    prompt_part_keys const& parts, steady_time first_event, steady_time now)
{
    bool removed = false;
    for (auto const key : distinct(parts))
    {
        put_proof(key, first_event);
        auto const found = parts_.find(key);
        if (found == parts_.end() || !apply_proof(key, found->second))
            continue;
        offer_proof(key, now); // peers may have the same evidence
        removed = true;
    }
    if (removed)
        update(now);
}

void prompt_quarantine::remove_expired(steady_time now)
{
    for (auto i = incidents_.begin(); i != incidents_.end();)
        i = i->second.expired() ? incidents_.erase(i) : std::next(i);
    update(now);
}

// Queries --------------------------------------------------------------------

std::optional<duration> prompt_quarantine::quarantined_for(
    prompt_part_keys const& parts, steady_time now) const
{
    std::optional<duration> rest;
    for (auto const& group : refused_)
    {
        bool const refused =
            now < group.until && !in_trial(group, now) &&
            std::all_of(
                group.keys.begin(), group.keys.end(),
                [&](std::uint64_t key) {
                    return std::find(parts.begin(), parts.end(), key) !=
                           parts.end();
                });
        if (refused)
            rest = std::max(rest.value_or(duration{0}), group.until - now);
    }
    return rest;
}

bool prompt_quarantine::in_trial(refused_group const& group, steady_time now)
{
    if (!group.doubtful)
        return false;
    duration begin = first_trial;
    while (group.last_incident + begin * 2 <= now)
        begin *= 2;
    auto const since = now - group.last_incident;
    return since >= begin && since < begin + trial_duration;
}

std::size_t prompt_quarantine::quarantined_parts(steady_time now) const
{
    std::size_t count = 0;
    for (auto const& group : refused_)
        count += now < group.until && !group.tentative ? group.keys.size() : 0;
    return count;
}

// Exchange -------------------------------------------------------------------

// Orders parts by how incriminating their evidence is.
struct prompt_quarantine::rank
{
    bool quarantined = false;
    std::size_t incidents = 0; // that count
    steady_time last_incident{};

    friend bool operator<(rank const& a, rank const& b)
    {
        return std::tie(a.quarantined, a.incidents, a.last_incident) <
               std::tie(b.quarantined, b.incidents, b.last_incident);
    }
};

prompt_quarantine::rank
prompt_quarantine::rank_of(part_state const& part, steady_time now)
{
    rank r;
    r.quarantined = part.quarantined(now);
    r.incidents = counting(part, {}).size();
    r.last_incident = last_incident(part).value_or(steady_time{});
    return r;
}

crash_evidence prompt_quarantine::evidence(steady_time now) const
{
    auto const age = [&](steady_time at) {
        return std::max(duration_cast<milliseconds>(now - at), milliseconds(0));
    };
    std::vector<std::pair<rank, std::uint64_t>> suspects;
    for (auto const& [key, part] : parts_)
        if (!part.incidents.empty() || part.quarantined(now))
            suspects.emplace_back(rank_of(part, now), key);
    std::sort(
        suspects.begin(), suspects.end(),
        [](auto const& a, auto const& b)
        {
            if (a.first < b.first || b.first < a.first)
                return b.first < a.first;
            return a.second < b.second;
        });

    std::vector<std::pair<steady_time, std::uint64_t>> offers;
    for (auto const& [key, until] : offers_)
        if (now < until)
            offers.emplace_back(until, key);
    std::sort(offers.rbegin(), offers.rend());

    auto const offered = std::max(
        std::min(offers.size(), min_exchanged_proofs),
        max_exchanged_parts - std::min(suspects.size(), max_exchanged_parts));
    suspects.resize(std::min(
        suspects.size(),
        max_exchanged_parts - std::min(offers.size(), offered)));

    crash_evidence result;
    std::set<std::uint64_t> sent;
    for (auto const& [rank, key] : suspects)
    {
        auto const& state = parts_.at(key);
        crash_evidence::part part;
        part.key = key;
        for (auto const& i : state.incidents)
            part.incidents.push_back({i->endpoint, age(i->at)});
        if (auto const proof = proof_of(key))
            part.proven_age = age(*proof);
        if (state.quarantined(now))
            part.quarantined_for =
                duration_cast<milliseconds>(state.until - now);
        part.quarantines = state.quarantines;
        part.position = state.position;
        result.parts.push_back(std::move(part));
        sent.insert(key);
    }
    for (auto const& [until, key] : offers)
    {
        auto const proof = proof_of(key);
        if (result.parts.size() == max_exchanged_parts)
            break;
        if (!proof || sent.count(key) > 0)
            continue;
        crash_evidence::part part;
        part.key = key;
        part.proven_age = age(*proof);
        result.parts.push_back(std::move(part));
    }
    return result;
}

bool prompt_quarantine::merge(crash_evidence const& evidence, steady_time now)
{
    update(now);
    auto const before = summarise(now);
    auto const count = std::min(evidence.parts.size(), max_exchanged_parts);
    for (std::size_t i = 0; i < count; ++i)
        merge_part(evidence.parts[i], now);
    update(now);
    return summarise(now) != before;
}

void prompt_quarantine::merge_part(
    crash_evidence::part const& received, steady_time now)
{
    auto const key = received.key;
    auto& part = parts_[key];
    if (received.position)
        learn_position(part, *received.position);
    if (received.proven_age && *received.proven_age <= renewal_memory)
    {
        auto const proven = now - *received.proven_age;
        auto const known = proof_of(key);
        if (!known || proven >= *known + age_tolerance)
            put_proof(key, proven);
        if (apply_proof(key, part))
            offer_proof(key, now);
    }

    auto const proof = proof_of(key);
    bool const quarantined =
        received.quarantined_for && *received.quarantined_for > milliseconds(0);
    bool disproved = false;
    auto const incidents = std::min(received.incidents.size(), max_incidents);
    for (std::size_t i = 0; i < incidents; ++i)
    {
        auto const& [endpoint, age] = received.incidents[i];
        // An incident that this gateway just forgot must not come back.
        bool const current = quarantined || part.quarantined(now)
                                 ? age <= max_quarantine
                                 : age < incident_window - age_tolerance;
        if (!current)
            continue;
        auto const merged = find_incident(endpoint, now - age);
        merged->at = std::min(merged->at, now - age);
        if (proof && merged->at <= *proof)
            disproved = true;
        else
            add_incident(part, merged);
    }

    if (quarantined)
    {
        auto const quarantines =
            std::clamp(received.quarantines, 1U, max_counted_quarantines);
        auto const length = quarantine_length(quarantines);
        auto const until = now + std::min(
                                     *received.quarantined_for,
                                     duration_cast<milliseconds>(length));
        bool const unfounded =
            disproved && counting(part, {}).size() < min_incidents;
        bool const outdated =
            received.incidents.empty() && proof && until - length <= *proof;
        if (unfounded || outdated)
            disproved = true;
        else
        {
            if (part.quarantines == 0 || until >= part.until + age_tolerance)
                part.until = until;
            part.quarantines = std::max(part.quarantines, quarantines);
        }
    }
    if (disproved)
        offer_proof(key, now);
}

prompt_quarantine::summary prompt_quarantine::summarise(steady_time now) const
{
    summary s;
    for (auto const& [key, part] : parts_)
    {
        s.push_back(key);
        s.push_back(part.quarantined(now) ? 1 : 0);
        s.push_back(part.quarantines);
        std::vector<std::uint64_t> endpoints;
        for (auto const& i : part.incidents)
            endpoints.push_back(i->endpoint);
        std::sort(endpoints.begin(), endpoints.end());
        s.push_back(endpoints.size());
        s.insert(s.end(), endpoints.begin(), endpoints.end());
    }
    for (auto const& [key, until] : offers_)
        s.push_back(key);
    return s;
}

// Incidents and proofs -------------------------------------------------------

duration prompt_quarantine::quarantine_length(std::uint32_t quarantines)
{
    duration length = first_quarantine;
    for (std::uint32_t i = 1; i < quarantines && length < max_quarantine; ++i)
        length *= 2;
    return std::min<duration>(length, max_quarantine);
}

// Returns the known incident at this endpoint and time, or a new one.
prompt_quarantine::incident_pointer
prompt_quarantine::find_incident(std::uint64_t endpoint, steady_time at)
{
    incident_pointer nearest;
    duration nearest_distance = age_tolerance;
    auto const [first, last] = incidents_.equal_range(endpoint);
    for (auto i = first; i != last; ++i)
    {
        auto const known = i->second.lock();
        if (!known)
            continue;
        auto const distance = known->at < at ? at - known->at : known->at - at;
        if (distance >= nearest_distance)
            continue;
        nearest = known;
        nearest_distance = distance;
    }
    if (nearest)
        return nearest;
    auto const added = std::make_shared<incident>(incident{endpoint, at});
    incidents_.emplace(endpoint, added);
    return added;
}

void prompt_quarantine::add_incident(
    part_state& part, incident_pointer const& added)
{
    auto& list = part.incidents;
    if (std::find(list.begin(), list.end(), added) != list.end())
        return;
    list.push_back(added);
    if (list.size() <= max_incidents)
        return;
    // All gateways keep the same incidents: first those that count, then those
    // with the lowest endpoint hashes.
    auto const counted = counting(part, {});
    auto const counts = [&](incident_pointer const& i)
    { return std::find(counted.begin(), counted.end(), i) != counted.end(); };
    auto const excess = std::max_element(
        list.begin(), list.end(),
        [&](auto const& a, auto const& b)
        {
            if (counts(a) != counts(b))
                return counts(a);
            return counts(a) ? b->at < a->at : a->endpoint < b->endpoint;
        });
    list.erase(excess);
}

// Incidents in order of time that are neither explained nor too close to the
// one before.
prompt_quarantine::incident_list prompt_quarantine::counting(
    part_state const& part, incident_set const& explained)
{
    auto ordered = part.incidents;
    std::sort(
        ordered.begin(), ordered.end(),
        [](auto const& a, auto const& b) {
            return std::tie(a->at, a->endpoint) < std::tie(b->at, b->endpoint);
        });
    incident_list result;
    for (auto const& i : ordered)
        if (explained.count(i.get()) == 0 &&
            (result.empty() ||
             i->at >= result.back()->at + min_incident_spacing))
            result.push_back(i);
    return result;
}

std::optional<steady_time>
prompt_quarantine::last_incident(part_state const& part)
{
    std::optional<steady_time> last;
    for (auto const& i : part.incidents)
        last = last ? std::max(*last, i->at) : i->at;
    if (!last && part.quarantines > 0)
        last = part.until - quarantine_length(part.quarantines);
    return last;
}

bool prompt_quarantine::put_proof(std::uint64_t key, steady_time first_event)
{
    auto const [known, added] = proofs_.emplace(key, first_event);
    if (!added)
    {
        if (first_event <= known->second)
            return false;
        proofs_by_time_.erase({known->second, key});
        known->second = first_event;
    }
    proofs_by_time_.emplace(first_event, key);
    if (proofs_.size() > max_proofs)
    {
        auto const oldest = proofs_by_time_.begin();
        proofs_.erase(oldest->second);
        offers_.erase(oldest->second);
        proofs_by_time_.erase(oldest);
    }
    return true;
}

std::optional<steady_time> prompt_quarantine::proof_of(std::uint64_t key) const
{
    auto const found = proofs_.find(key);
    if (found == proofs_.end())
        return std::nullopt;
    return found->second;
}

void prompt_quarantine::offer_proof(std::uint64_t key, steady_time now)
{
    if (proofs_.count(key) > 0)
        offers_[key] = now + proof_offer_time;
}

// Removes what the part's last proof disproves. Returns true if that was
// anything. A quarantine ends if the rest would not have started it: the proof
// may arrive after the quarantine began.
bool prompt_quarantine::apply_proof(std::uint64_t key, part_state& part)
{
    auto const proof = proof_of(key);
    if (!proof)
        return false;
    auto const last = last_incident(part);
    auto& list = part.incidents;
    auto const kept = std::remove_if(
        list.begin(), list.end(),
        [&](auto const& i) { return i->at <= *proof; });
    bool const removed = kept != list.end();
    list.erase(kept, list.end());
    bool const ends = part.quarantines > 0 &&
                      (*last <= *proof ||
                       (removed && counting(part, {}).size() < min_incidents));
    if (ends)
    {
        part.quarantines = 0;
        part.until = {};
    }
    return removed || ends;
}

// Update ---------------------------------------------------------------------

void prompt_quarantine::update(steady_time now)
{
    // A merged incident may have become older than a known proof.
    for (auto& [key, part] : parts_)
        apply_proof(key, part);
    remove_old(now);
    remove_excess_parts(now);
    attribute_incidents(now);
}

void prompt_quarantine::remove_old(steady_time now)
{
    for (auto i = parts_.begin(); i != parts_.end();)
    {
        auto& part = i->second;
        auto& list = part.incidents;
        if (!part.quarantined(now))
            list.erase(
                std::remove_if(
                    list.begin(), list.end(),
                    [&](auto const& known)
                    {
                        // Those of the last quarantine must not renew it.
                        bool const served =
                            part.quarantines > 0 && known->at < part.until;
                        return served || known->at + incident_window < now;
                    }),
                list.end());
        if (part.quarantines > 0 && part.until + renewal_memory <= now)
        {
            part.quarantines = 0;
            part.until = {};
        }
        bool const empty = list.empty() && part.quarantines == 0;
        i = empty ? parts_.erase(i) : std::next(i);
    }
    for (auto i = offers_.begin(); i != offers_.end();)
        i = i->second <= now ? offers_.erase(i) : std::next(i);
}

// Attributes all incidents anew, so that the order in which they became known
// does not matter: the suspects of one failure are reported one by one.
void prompt_quarantine::attribute_incidents(steady_time now)
{
    using candidate = std::pair<std::uint64_t, incident_list>;
    refused_.clear();
    for (auto& [key, part] : parts_)
    {
        if (!part.quarantined(now))
            continue;
        part.justified = part.incidents.empty();
        if (part.justified)
            refused_.push_back({{key}, part.until, now, false, false});
    }

    incident_set explained;
    while (true)
    {
        std::vector<candidate> candidates;
        for (auto const& [key, part] : parts_)
        {
            auto unexplained = counting(part, explained);
            // A first quarantine that lost incidents to another part must still
            // be justified by the rest.
            bool const first =
                part.quarantined(now)
                    ? part.quarantines == 1 &&
                          unexplained.size() < counting(part, {}).size()
                    : part.quarantines == 0 || !part.justified;
            if (unexplained.size() >= (first ? min_incidents : 1))
                candidates.emplace_back(key, std::move(unexplained));
        }
        if (candidates.empty())
            return;
        // A part that crashes endpoints is never proven, so a part that was
        // is suspected only of what others do not explain.
        auto const rank = [&](candidate const& c)
        {
            return std::make_tuple(
                proofs_.count(c.first) == 0, c.second.size(),
                parts_.at(c.first).incidents.size());
        };
        auto const best = std::max_element(
            candidates.begin(), candidates.end(),
            [&](auto const& a, auto const& b) { return rank(a) < rank(b); });
        refused_group group;
        for (auto const& [key, unexplained] : candidates)
        {
            if (unexplained != best->second ||
                proofs_.count(key) != proofs_.count(best->first))
                continue;
            auto& part = parts_.at(key);
            quarantine(part, now);
            group.keys.push_back(key);
            group.until = std::max(group.until, part.until);
            group.last_incident =
                std::max(group.last_incident, *last_incident(part));
            for (auto const& i : part.incidents)
                explained.insert(i.get());
        }
        group.doubtful =
            group.keys.size() > 1 || proofs_.count(group.keys.front()) > 0;
        refuse_one_suspect(group, now);
        refused_.push_back(std::move(group));
    }
}

// No request may have all suspects that cannot be told apart, as prompts have
// one of several parts at each position. Refuses one suspect at a time: either
// crashes end and the attempts that go on prove the others, or the next crash
// shows that it was another one.
void prompt_quarantine::refuse_one_suspect(
    refused_group const& group, steady_time now)
{
    if (group.keys.size() < 2)
        return;
    std::map<std::uint8_t, prompt_part_keys> suspects; // by position
    for (auto const key : group.keys)
        if (auto const position = parts_.at(key).position)
            suspects[*position].push_back(key);
    std::map<std::uint8_t, std::size_t> alternatives;
    for (auto const& [key, part] : parts_)
        if (part.position)
            ++alternatives[*part.position];

    std::vector<std::pair<std::size_t, std::uint8_t>> order;
    for (auto const& [position, keys] : suspects)
        if (alternatives.at(position) > 1)
            order.emplace_back(alternatives.at(position), position);
    std::sort(order.rbegin(), order.rend());
    auto const since = std::max(now - group.last_incident, duration{0});
    auto const turn = std::size_t(since / tentative_refusal);
    // Without known alternatives all requests may have the part. It is refused
    // only once, and if crashes went on after the quarantine began. Fewer
    // requests share the later parts.
    bool const continued =
        counting(parts_.at(group.keys.front()), {}).size() > min_incidents;
    if (order.empty() && turn == 0 && continued && !suspects.empty())
        order.emplace_back(1, suspects.rbegin()->first);
    if (order.empty())
        return;
    auto const& keys = suspects.at(order[turn % order.size()].second);
    refused_.push_back(
        {{keys[turn % keys.size()]},
         group.last_incident + tentative_refusal * (turn + 1),
         group.last_incident,
         true,
         false});
}

// Starts, renews or extends the part's quarantine.
void prompt_quarantine::quarantine(part_state& part, steady_time now)
{
    if (!part.quarantined(now))
        part.quarantines = part.justified ? part.quarantines + 1 : 1;
    part.justified = true;
    part.until = std::max(
        part.until, *last_incident(part) + quarantine_length(part.quarantines));
}

void prompt_quarantine::remove_excess_parts(steady_time now)
{
    if (parts_.size() <= max_learnt_parts)
        return;
    std::vector<std::pair<rank, std::uint64_t>> ranked;
    std::size_t learnt = 0;
    for (auto const& [key, part] : parts_)
    {
        ranked.emplace_back(rank_of(part, now), key);
        learnt += part.seen_here ? 0 : 1;
    }
    std::sort(ranked.begin(), ranked.end());
    for (auto const& [rank, key] : ranked)
    {
        auto const found = parts_.find(key);
        bool const is_learnt = !found->second.seen_here;
        if ((is_learnt && learnt > max_learnt_parts) ||
            (learnt <= max_learnt_parts && parts_.size() > max_parts))
        {
            learnt -= is_learnt ? 1 : 0;
            parts_.erase(found);
        }
    }
}

} // namespace dotterellock
