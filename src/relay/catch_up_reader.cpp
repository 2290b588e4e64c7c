#include "catch_up_reader.hpp"

#include <algorithm>
#include <utility>

namespace dotterellock
{

namespace
{

std::string milliseconds_text(duration d)
{
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(d).count());
}

} // namespace

void catch_up_reader::list(
    std::string const& table, std::string const& from, handler done)
{
    done_ = nullptr;
    usual_.list(table, from, std::move(done));
}

void catch_up_reader::changes(
    std::string const& table, std::uint64_t after,
    std::chrono::milliseconds wait, handler done)
{
    auto const call = ++call_;
    table_ = table;
    after_ = after;
    began_ = clock_.now();
    done_ = std::move(done);
    asking_ = false;
    usual_.changes(
        table, after, wait,
        [this, call](row_read_result answer)
        {
            if (call == call_)
                finish(std::move(answer));
        });
}

void catch_up_reader::poll()
{
    auto const now = clock_.now();
    if (!done_ || asking_ || now - last_asked_ < ask_interval ||
        !announced_.overdue(after_, now))
        return;
    if (auto const* const peer = next_peer(now))
        ask(*peer);
}

table_peer const* catch_up_reader::next_peer(steady_time now) const
{
    auto const& peers = selector_.peers();
    auto const found = std::find_if(
        peers.begin(), peers.end(),
        [this, now](table_peer const& peer)
        {
            auto const before = asked_.find(peer.host);
            return announced_.ahead(peer.host, after_) &&
                   (before == asked_.end() ||
                    now - before->second >= retry_interval);
        });
    return found == peers.end() ? nullptr : &*found;
}

void catch_up_reader::ask(table_peer const& peer)
{
    asking_ = true;
    asked_[peer.host] = last_asked_ = clock_.now();
    peers_.changes(
        peer.address, table_, after_, std::chrono::milliseconds(0),
        [this, peer, call = call_, sent = clock_.now()](row_read_result answer)
        { on_answer(call, peer, sent, std::move(answer)); });
}

void catch_up_reader::on_answer(
    std::uint64_t call, table_peer const& peer, steady_time sent,
    row_read_result answer)
{
    if (call != call_ || !done_)
        return;
    asking_ = false;
    bool const circular =
        std::count(answer.via.begin(), answer.via.end(), selector_.self()) > 0;
    bool const usable = answer.status == row_read_status::ok && !circular &&
                        !answer.rows.empty();
    auto const now = clock_.now();
    log_.record(
        usable ? event_level::info : event_level::warn,
        usable ? "table_caught_up" : "table_catch_up_failed",
        {{"table", table_},
         {"source", peer.host.value()},
         {"after", std::to_string(after_)},
         {"revision", std::to_string(answer.revision)},
         {"detail", circular                ? "copy came from this gateway"
                    : answer.detail.empty() ? "-"
                                            : answer.detail},
         {"rows", std::to_string(answer.rows.size())},
         {"bytes", std::to_string(answer.received_bytes)},
         {"took_ms", milliseconds_text(now - sent)},
         {"usual_ms", milliseconds_text(now - began_)}});
    if (!usable)
        return;
    asked_.clear();
    answer.via.insert(answer.via.begin(), peer.host);
    finish(std::move(answer));
}

void catch_up_reader::finish(row_read_result answer)
{
    // Answers to what is still on the way belong to no call.
    ++call_;
    asking_ = false;
    if (auto const done = std::exchange(done_, nullptr))
        done(std::move(answer));
}

} // namespace dotterellock
