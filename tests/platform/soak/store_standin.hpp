// A simulated platform store on loopback: versioned rows, paged listings, long
// polling for changes, and transactions. Each gateway has its own port, so that
// the store can refuse a single gateway.
#ifndef DOTTERELLOCK_TESTS_SOAK_STORE_STANDIN_HPP
#define DOTTERELLOCK_TESTS_SOAK_STORE_STANDIN_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <dotterellock/runtime.hpp>

#include "raw_http_server.hpp"

namespace dotterellock::soak
{

struct store_faults
{
    bool down = false;   // every call is answered 503
    bool silent = false; // no call is answered
    std::chrono::milliseconds extra_delay{0};
    double lost_response_share = 0; // share of calls executed without response
    std::set<std::size_t> refused_gateways; // by index; answered 503
};

class store_standin
{
public:
    store_standin(
        asio::io_context& io, random_source& random, std::size_t gateways);

    std::string address(std::size_t gateway) const;

    void
    put(std::string const& table, std::string const& key,
        std::string const& value);
    void remove(std::string const& table, std::string const& key);

    /// Value of a row; empty if there is none.
    std::string value(std::string const& table, std::string const& key) const
    {
        return find(table, key).value;
    }

    /// Goes back to the state of some time ago. Versions are given out again.
    /// The operator and the endpoints repeat what they wrote since, gateways do
    /// not.
    void restore(std::chrono::milliseconds age);

    /// Discards the change history: polls from older versions are answered 410.
    void forget_history() { history_from_ = version_; }

    /// Whether the operator and the endpoints, which bypass the ports, may
    /// write.
    bool available() const { return !faults.down && !faults.silent; }

    store_faults faults;

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };
    using table = std::map<std::string, row>;

    struct change
    {
        std::chrono::steady_clock::time_point at;
        std::string table;
        std::string key;
        row after;
        bool repeated = false; // by its writer, if a restoration loses it
    };

    struct pending_poll
    {
        std::size_t gateway;
        std::shared_ptr<raw_http_connection> connection;
        std::string table;
        std::uint64_t after;
    };

    void handle(
        std::size_t gateway, std::shared_ptr<raw_http_connection> const& c,
        raw_http_request const& r);
    void list(
        std::shared_ptr<raw_http_connection> const& c,
        raw_http_request const& r);
    void handle_poll(
        std::size_t gateway, std::shared_ptr<raw_http_connection> const& c,
        raw_http_request const& r);
    void handle_write(
        std::shared_ptr<raw_http_connection> const& c,
        raw_http_request const& r);
    row find(std::string const& table, std::string const& key) const;
    void write(
        std::string const& table, std::string const& key, row written,
        bool repeated);
    void
    remove_row(std::string const& table, std::string const& key, bool repeated);
    bool serves(std::size_t gateway) const
    {
        return available() && faults.refused_gateways.count(gateway) == 0;
    }
    bool answer_changes(pending_poll const& f, bool answer_if_empty);
    void answer_polls();
    void answer(
        std::shared_ptr<raw_http_connection> const& c, unsigned status,
        std::string const& body);

    asio::io_context& io_;
    random_source& random_;
    std::vector<std::unique_ptr<raw_http_server>> servers_;
    std::map<std::string, table> tables_;
    std::uint64_t version_ = 1;
    std::uint64_t history_from_ = 0;
    std::uint64_t era_ = 1;
    std::vector<change> changes_;
    std::map<std::uint64_t, pending_poll> pending_polls_;
    std::uint64_t last_poll_ = 0;
};

} // namespace dotterellock::soak

#endif
