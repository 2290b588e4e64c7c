#include "endpoint_table.hpp"

#include <algorithm>

namespace dotterellock
{

bool endpoint_table::put(endpoint_record const& record, steady_time changed_at)
{
    auto const found = by_id_.find(record.id.value());
    if (found != by_id_.end())
    {
        auto const& known = found->second->record();
        bool const same = known.incarnation_start == record.incarnation_start &&
                          known.address == record.address &&
                          known.service == record.service;
        if (same)
        {
            // A row from before the departure comes from a restored store.
            bool const left = known.draining && known.incarnation_start > 0;
            auto current = record;
            current.draining = record.draining || left;
            found->second->update(current);
            if (current.draining)
                return found->second->set_leaving(
                    changed_at + last_resort_period_);
            found->second->clear_leaving();
            return false;
        }
        detach(found->second);
    }
    // An address belongs to one endpoint: the previous owner has left.
    for (auto const& [id, other] : by_id_)
    {
        if (other->record().address == record.address &&
            id != record.id.value() &&
            other->record().incarnation_start <= record.incarnation_start)
            other->set_leaving(changed_at);
    }
    auto endpoint = std::make_shared<endpoint_state>(record);
    if (record.draining)
        endpoint->set_leaving(changed_at + last_resort_period_);
    by_id_[record.id.value()] = endpoint;
    by_service_[record.service.value()].push_back(std::move(endpoint));
    return record.draining;
}

bool endpoint_table::remove(endpoint_id const& id, steady_time changed_at)
{
    auto const found = by_id_.find(id.value());
    if (found == by_id_.end())
        return false;
    found->second->mark_unlisted();
    return found->second->set_leaving(changed_at + last_resort_period_);
}

std::vector<endpoint_id> endpoint_table::keep_only(
    std::set<std::string> const& ids, steady_time changed_at)
{
    std::vector<endpoint_id> leaving;
    for (auto const& [id, endpoint] : by_id_)
    {
        if (ids.count(id) != 0)
            continue;
        if (endpoint->set_leaving(changed_at + last_resort_period_))
            leaving.push_back(endpoint->record().id);
        endpoint->mark_unlisted();
    }
    return leaving;
}

void endpoint_table::remove_unused(steady_time now)
{
    std::vector<endpoint_ptr> unused;
    for (auto const& [id, endpoint] : by_id_)
    {
        if (endpoint->has_left(now) && endpoint->load.requests == 0)
            unused.push_back(endpoint);
    }
    for (auto const& endpoint : unused)
    {
        // A listed row is kept, so that a later change of it is not taken for a
        // new endpoint.
        if (endpoint->listed())
            continue;
        auto const announced = endpoint->announced_deadline();
        if (announced && now < *announced + announcement_retention)
            continue;
        by_id_.erase(endpoint->record().id.value());
        detach(endpoint);
    }
}

std::vector<endpoint_ptr> const&
endpoint_table::of_service(service_name const& service) const
{
    static std::vector<endpoint_ptr> const none;
    auto const found = by_service_.find(service.value());
    return found == by_service_.end() ? none : found->second;
}

endpoint_ptr endpoint_table::find(endpoint_id const& id) const
{
    auto const found = by_id_.find(id.value());
    return found == by_id_.end() ? nullptr : found->second;
}

void endpoint_table::detach(endpoint_ptr const& endpoint)
{
    auto& list = by_service_[endpoint->record().service.value()];
    list.erase(std::remove(list.begin(), list.end(), endpoint), list.end());
}

} // namespace dotterellock
