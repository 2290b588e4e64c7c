#include "shared_table.hpp"

#include <algorithm>
#include <exception>
#include <utility>

#include "store_revision.hpp"

namespace dotterellock
{

namespace
{

row_read_result refusal(char const* why)
{
    row_read_result result;
    result.status = row_read_status::refused;
    result.detail = why;
    return result;
}

} // namespace

void shared_table::changes(
    std::uint64_t after, std::chrono::milliseconds wait, handler done,
    large_row_form form)
{
    auto const now = clock_.now();
    held_call call{after, now, now + wait, form, std::move(done)};
    if (auto result = answer(call, now))
        call.done(std::move(*result));
    else if (held_.size() >= max_held_calls)
        call.done(refusal("too many calls"));
    else
        held_.push_back(std::move(call));
}

std::optional<row_read_result>
shared_table::answer(held_call const& call, steady_time now)
{
    if (!current(now))
        return refusal("copy is stale");
    row_read_result result;
    if (!history_reaches(call.after))
    {
        result.status = row_read_status::history_lost;
        return result;
    }
    auto const changed = changes_.lower_bound({call.after + 1, {}});
    if (changed == changes_.end() && now < call.deadline)
        return std::nullopt;
    for (auto at = changed; at != changes_.end(); ++at)
    {
        auto const& row = rows_.at(at->second);
        bool const large = row.value.size() >= min_delta_row_bytes;
        auto update = large && call.form != large_row_form::whole
                          ? update_of(row, call.after)
                          : std::nullopt;
        if (update)
            result.updates.push_back(std::move(*update));
        else if (large && call.form == large_row_form::only_updates)
            return refusal("no difference is kept");
        else
            result.rows.push_back(row);
    }
    result.changes_skipped = std::any_of(
        gaps_.begin(), gaps_.end(),
        [&call](history_gap const& gap) { return gap.before > call.after; });
    result.status = row_read_status::ok;
    // The caller's copy may be ahead, as the revision counts the changes of all
    // tables; then it holds at least what was proven here.
    result.revision = std::max(revision_, call.after);
    result.proven_after_sending =
        std::chrono::floor<std::chrono::milliseconds>(*proven_ - call.arrived);
    result.via = via_;
    return result;
}

bool shared_table::history_reaches(std::uint64_t after) const
{
    return after >= history_start_ &&
           std::none_of(
               gaps_.begin(), gaps_.end(),
               [after](history_gap const& gap)
               { return after > gap.after && after < gap.before; });
}

void shared_table::answer_held()
{
    auto const now = clock_.now();
    auto calls = std::exchange(held_, {});
    for (auto& call : calls)
    {
        if (auto result = answer(call, now))
            call.done(std::move(*result));
        else
            held_.push_back(std::move(call));
    }
}

void shared_table::poll()
{
    if (!held_.empty())
        answer_held();
}

void shared_table::on_listing(
    std::vector<store_row> const& rows, change_period const& period)
{
    listing_ = rows;
    to_pass_on_.emplace_back([this, rows, period]
                             { next_.on_listing(rows, period); });
}

void shared_table::on_change(store_row const& row, change_period const& period)
{
    add_to_history(row);
    to_pass_on_.emplace_back([this, row, period]
                             { next_.on_change(row, period); });
}

void shared_table::on_current(copy_state const& state)
{
    if (proven_ && state.changes_skipped && state.revision > revision_)
        add_gap(state.revision);
    if (listing_)
        add_listing_to_history(state.revision);
    proven_ = state.proven;
    via_ = state.via;
    revision_ = state.revision;
    // Callers first: to use a large row here may take a while.
    answer_held();
    to_pass_on_.emplace_back([this, state] { next_.on_current(state); });
    pass_on();
}

/// Passes on what came with an answer. An error ends that part only; the first
/// one is thrown afterwards.
void shared_table::pass_on()
{
    std::exception_ptr failure;
    for (auto const& part : std::exchange(to_pass_on_, {}))
    {
        try
        {
            part();
        }
        catch (...)
        {
            if (!failure)
                failure = std::current_exception();
        }
    }
    if (failure)
        std::rethrow_exception(failure);
}

void shared_table::add_gap(std::uint64_t revision)
{
    gaps_.push_back({revision_, revision});
    if (gaps_.size() <= max_gaps)
        return;
    history_start_ = std::max(history_start_, gaps_.front().before);
    gaps_.pop_front();
}

void shared_table::add_to_history(store_row const& row)
{
    auto const known = rows_.find(row.key);
    if (known != rows_.end())
    {
        if (known->second.revision >= row.revision)
            return;
        note_change(known->second, row);
        changes_.erase({known->second.revision, row.key});
        deleted_.erase({known->second.revision, row.key});
    }
    changes_.emplace(row.revision, row.key);
    if (row.deleted)
        deleted_.emplace(row.revision, row.key);
    rows_[row.key] = row;
    forget_deleted();
}

void shared_table::forget_deleted()
{
    while (deleted_.size() > max_history_rows)
    {
        auto const oldest = deleted_.begin();
        history_start_ = std::max(history_start_, oldest->first);
        changes_.erase(*oldest);
        rows_.erase(oldest->second);
        deleted_.erase(oldest);
    }
}

void shared_table::note_change(store_row const& from, store_row const& to)
{
    if (to.deleted || to.value.size() < min_delta_row_bytes)
    {
        steps_.erase(to.key);
        return;
    }
    auto& kept = steps_[to.key];
    // Nobody asked for the change before, so it was not worked out.
    if (kept.previous)
        kept = {};
    kept.previous = from;
}

/// Works out the last change of a large row, if it is much smaller than that.
void shared_table::add_step(row_steps& kept, store_row const& to)
{
    auto const limit = to.value.size() / kept_deltas_divisor;
    auto const from = std::move(*kept.previous);
    kept.previous.reset();
    auto delta = make_value_delta(from.value, to.value, limit);
    if (!delta)
    {
        kept = {};
        return;
    }
    kept.bytes += delta->size();
    kept.steps.push_back({from.revision, to.revision, std::move(*delta)});
    while (kept.bytes > limit || kept.steps.size() > max_kept_deltas)
    {
        kept.bytes -= kept.steps.front().delta.size();
        kept.steps.pop_front();
    }
}

/// The changes of a row since the one that a copy as of `after` holds, if all
/// of them are kept.
std::optional<row_update>
shared_table::update_of(store_row const& row, std::uint64_t after)
{
    auto const kept = steps_.find(row.key);
    if (kept == steps_.end())
        return std::nullopt;
    if (kept->second.previous)
        add_step(kept->second, row);
    auto const& steps = kept->second.steps;
    auto const first = std::find_if(
        steps.begin(), steps.end(),
        [after](row_step const& step) { return step.to > after; });
    if (first == steps.end() || first->from > after)
        return std::nullopt;
    row_update update;
    update.key = row.key;
    update.base = first->from;
    update.revision = row.revision;
    for (auto at = first; at != steps.end(); ++at)
        update.steps.push_back(at->delta);
    return update;
}

store_row const* shared_table::find(std::string const& key) const
{
    auto const found = rows_.find(key);
    bool const exists = found != rows_.end() && !found->second.deleted;
    return exists ? &found->second : nullptr;
}

void shared_table::restart_history(std::uint64_t revision)
{
    history_start_ = revision;
    gaps_.clear();
    rows_.clear();
    changes_.clear();
    deleted_.clear();
    steps_.clear();
}

/// Turns a listing into the changes since the previous state, so that those who
/// follow this copy need not list the table when the store lost its history.
void shared_table::add_listing_to_history(std::uint64_t revision)
{
    auto const listed = std::move(*listing_);
    listing_.reset();
    // Copies of an earlier era may hold rows that this one never had and that
    // the restored store lost.
    if (!proven_ || store_era_of(revision) != store_era_of(revision_))
        restart_history(revision);
    std::set<std::string> keys;
    for (auto const& row : listed)
    {
        keys.insert(row.key);
        add_to_history(row);
    }
    std::vector<store_row> missing;
    for (auto const& [key, row] : rows_)
    {
        if (!row.deleted && keys.count(key) == 0)
            missing.push_back({key, {}, revision, true});
    }
    for (auto const& row : missing)
        add_to_history(row);
}

} // namespace dotterellock
