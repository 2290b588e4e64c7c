// Simulates the storage services and the fleet view of the platform. The
// protocols are described in src/clients/http_stores.hpp; POST /admin/fault
// injects faults.
#ifndef DOTTERELLOCK_STANDINS_STORAGE_STANDINS_HPP
#define DOTTERELLOCK_STANDINS_STORAGE_STANDINS_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "standin.hpp"

namespace dotterellock::standins
{

/// Table of versioned rows with conditional writes. Requests above the rate
/// limits are refused. Faults: {"down":b,"silent":b,"lose_answers":b,
/// "delay_ms":n,"apply_late_ms":n}.
class table_service_standin : public standin
{
public:
    table_service_standin(
        asio::io_context& context, std::uint32_t writes_per_second,
        std::uint32_t reads_per_second);

    void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) override;

private:
    struct stored_row
    {
        std::string value;
        std::uint64_t version = 0;
    };

    /// Limits the number of operations per second.
    struct rate_window
    {
        std::chrono::steady_clock::time_point start;
        std::uint32_t used = 0;
        std::uint32_t limit = 0;

        bool try_acquire(std::uint32_t n);
    };

    void
    commit(std::string const& body, std::shared_ptr<http_reply> const& reply);
    std::pair<int, std::string> apply(std::string const& body);
    void read(std::string const& body, http_reply& reply);
    void scan(std::string const& body, http_reply& reply);
    void handle_fault(std::string const& body, http_reply& reply);
    void report_stats(http_reply& reply);

    asio::io_context& context_;
    std::map<std::string, stored_row> rows_;
    std::uint64_t last_version_ = 0;
    std::vector<std::shared_ptr<http_reply>> unanswered_; // never sent
    rate_window writes_;
    rate_window reads_;
    std::uint64_t total_writes_ = 0;
    std::uint64_t total_reads_ = 0;
    std::uint64_t total_commits_ = 0;
    std::uint64_t refused_ = 0;
    bool down_ = false;
    bool silent_ = false;
    bool lose_answers_ = false;
    milliseconds delay_{2};
    milliseconds apply_late_{0};
};

/// Stores objects; PUT and GET under /v1/objects/.
class object_store_standin : public standin
{
public:
    void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) override;

private:
    std::map<std::string, std::string> objects_;
    bool down_ = false;
};

/// Reports the size of model weights, the same for every model.
class weight_store_standin : public standin
{
public:
    explicit weight_store_standin(std::uint64_t weight_bytes)
        : weight_bytes_(weight_bytes)
    {
    }

    void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) override;

private:
    std::uint64_t weight_bytes_;
};

/// Returns under /v1/hosts the list that was sent to /admin/hosts at least
/// `lag` ago.
class fleet_view_standin : public standin
{
public:
    fleet_view_standin(asio::io_context& context, milliseconds lag)
        : context_(context), lag_(lag)
    {
    }

    void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) override;

private:
    asio::io_context& context_;
    milliseconds lag_;
    std::string hosts_ = R"({"hosts":[]})";
};

} // namespace dotterellock::standins

#endif
