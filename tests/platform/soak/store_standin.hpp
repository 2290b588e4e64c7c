// The platform's store on loopback: rows with versions, listings, a feed of
// changes and transactions. Each gateway has a port of its own, so that one of
// them can be turned away.
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

#include "wire_server.hpp"

namespace dotterellock::soak
{

struct store_faults
{
    bool down = false;   // every call is answered 503
    bool silent = false; // no call is answered
    std::chrono::milliseconds extra_delay{0};
    double lost_answers = 0;       // share of calls; done, but not answered
    std::set<std::size_t> refused; // gateways that are turned away
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

    /// Discards the history of changes up to now.
    void forget_history() { history_from_ = version_; }

    /// For the operator and the endpoints, which call from elsewhere.
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

    struct feed
    {
        std::size_t gateway;
        std::shared_ptr<wire_connection> connection;
        std::string table;
        std::uint64_t after;
    };

    void handle(
        std::size_t gateway, std::shared_ptr<wire_connection> const& c,
        wire_request const& r);
    void list(std::shared_ptr<wire_connection> const& c, wire_request const& r);
    void follow(
        std::size_t gateway, std::shared_ptr<wire_connection> const& c,
        wire_request const& r);
    void
    change(std::shared_ptr<wire_connection> const& c, wire_request const& r);
    bool serves(std::size_t gateway) const
    {
        return available() && faults.refused.count(gateway) == 0;
    }
    bool answer_changes(feed const& f, bool even_none);
    void changed();
    void answer(
        std::shared_ptr<wire_connection> const& c, unsigned status,
        std::string const& body);

    asio::io_context& io_;
    random_source& random_;
    std::vector<std::unique_ptr<wire_server>> servers_;
    std::map<std::string, table> tables_;
    std::uint64_t version_ = 1;
    std::uint64_t history_from_ = 0;
    std::map<std::uint64_t, feed> feeds_;
    std::uint64_t last_feed_ = 0;
};

} // namespace dotterellock::soak

#endif
