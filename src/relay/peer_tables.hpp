// Calls between gateways for changes of the store's tables: the service that
// answers them from this gateway's copies, and the client.
#ifndef DOTTERELLOCK_RELAY_PEER_TABLES_HPP
#define DOTTERELLOCK_RELAY_PEER_TABLES_HPP

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "gateway/shared_table.hpp"
#include "http_caller.hpp"
#include "session_listener.hpp"
#include "shared_row_reader.hpp"

namespace dotterellock
{

class peer_table_service : public session_listener
{
public:
    /// Whether the host with this IP address is a registered gateway. Others
    /// get nothing, as the tables hold API keys.
    using peer_check = std::function<bool(std::string const& ip)>;

    peer_table_service(
        asio::io_context& io, clock_source const& clock, memory_budget& memory,
        std::string const& address, peer_check is_peer);

    /// @param table  outlives this object
    void offer(std::string const& name, shared_table& table);

    /// Refuses further calls, as the process is about to stop.
    void stop() { stopped_ = true; }

    /// Answers held calls and enforces the timeouts; called often.
    void poll(steady_time now);

private:
    void on_request(
        std::shared_ptr<client_session> session,
        client_request message) override;
    bool close_after_response(client_session const&) const override
    {
        return stopped_;
    }

    peer_check const is_peer_;
    std::map<std::string, shared_table*> tables_;
    bool stopped_ = false;
};

class peer_table_client : public peer_table_reader
{
public:
    // Added to the time for which a gateway may hold a call. A frozen gateway
    // is noticed after this.
    static constexpr std::chrono::milliseconds answer_timeout{300};

    // A listing of 3,000 endpoints takes 1 MB.
    static constexpr std::size_t max_body_bytes = 8u << 20;

    /// @param copy  the table that the calls are about; null: rows come whole
    /// @param form  of large rows
    peer_table_client(
        asio::io_context& io, clock_source const& clock, memory_budget& memory,
        shared_table const* copy = nullptr,
        large_row_form form = large_row_form::whole)
        : caller_(io, clock, memory, memory_use::peers, max_body_bytes),
          copy_(copy), form_(form)
    {
    }

    void changes(
        std::string const& address, std::string const& table,
        std::uint64_t after, std::chrono::milliseconds wait,
        row_reader::handler done) override;
    std::size_t receiving() const override { return caller_.receiving(); }
    void cancel() override { caller_.cancel(); }

private:
    void apply_updates(row_read_result& result);

    http_caller caller_;
    shared_table const* const copy_;
    large_row_form const form_;
    bool needs_whole_rows_ = false; // in the next answer
};

} // namespace dotterellock

#endif
