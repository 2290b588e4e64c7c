#include "prompt_cache_lookup.hpp"

#include <utility>

#include <dotterellock/error.hpp>

namespace dotterellock
{

void prompt_cache_lookup::find(
    endpoint_requirements const& work, std::size_t fleet_size, handler done)
{
    auto const now = clock_.now();
    auto const known = known_endpoint(work, now);
    if (!known.empty())
    {
        done(known);
        return;
    }
    auto const s = std::make_shared<search>();
    s->part = work.affinity_key;
    s->done = std::move(done);
    s->open = 1; // until all listings have been started
    auto const candidates =
        selection_.likely_caches(work, endpoints_per_prompt(fleet_size), now);
    for (auto const& endpoint : candidates)
        list(endpoint, s);
    if (--s->open == 0)
        finish(*s, false);
}

void prompt_cache_lookup::list(
    endpoint_ptr const& endpoint, std::shared_ptr<search> const& s)
{
    auto const now = clock_.now();
    auto& l = listings_[endpoint->record().id.value()];
    bool const recent = now - l.began < listing_interval;
    if (!l.open && recent)
        return; // its answer is in the index
    ++s->open;
    l.searches.push_back(s);
    if (l.open)
        return;
    l.open = true;
    l.began = now;
    call_(
        endpoint, listing_timeout, protocol_.cache_list_request(),
        [this, endpoint](endpoint_reply const& reply)
        { on_listed(*endpoint, reply); });
}

void prompt_cache_lookup::on_listed(
    endpoint_state const& endpoint, endpoint_reply const& reply)
{
    auto const now = clock_.now();
    auto const& id = endpoint.record().id;
    try
    {
        if (reply.status == 200)
            index_.put(id, protocol_.read_cache_list(reply.body), now);
    }
    catch (error const& e)
    {
        log_.record(
            event_level::warn, "cache_list_unreadable",
            {{"endpoint", id.value()}, {"detail", e.detail()}});
    }
    auto& l = listings_[id.value()];
    l.open = false;
    for (auto const& s : std::exchange(l.searches, {}))
    {
        bool const found = !index_.best_endpoint(s->part, now).empty();
        if (--s->open == 0 || found)
            finish(*s, true);
    }
}

void prompt_cache_lookup::finish(search& s, bool listed)
{
    if (!s.done)
        return; // found before all listings were answered
    auto const at = index_.best_endpoint(s.part, clock_.now());
    log_.record(
        event_level::info, "prompt_cache_lookup",
        {{"part", s.part},
         {"endpoint", at.empty() ? "-" : at.value()},
         {"listed", listed ? "1" : "0"}});
    auto const done = std::exchange(s.done, nullptr);
    done(at);
}

void prompt_cache_lookup::remove_expired(steady_time now)
{
    index_.remove_expired(now);
    for (auto i = listings_.begin(); i != listings_.end();)
    {
        bool const old =
            !i->second.open && now - i->second.began >= listing_interval;
        i = old ? listings_.erase(i) : std::next(i);
    }
}

} // namespace dotterellock
