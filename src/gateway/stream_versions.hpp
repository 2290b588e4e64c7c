// Which software version began each stream, so that it goes on at that version
// only: within its answer, and when its caller takes it up at any gateway.
//
// Each service has a base version, kept in the platform's store. Streams of the
// base version are not recorded. One of another version is recorded in the
// store, under its first request, before its first event is passed on. So a
// stream without a record is of the base version, also for a gateway that never
// saw it and after all gateways were lost together.
//
// The base moves when another version has served alone for longer than a stream
// can last. In between there is none, until all gateways have learned of it:
// then every stream is recorded, and one without a record is not known.
//
// Designed for services that run one version most of the time: they cost one
// reading of the table a gateway from time to time.
#ifndef DOTTERELLOCK_GATEWAY_STREAM_VERSIONS_HPP
#define DOTTERELLOCK_GATEWAY_STREAM_VERSIONS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/runtime.hpp>
#include <dotterellock/types.hpp>

namespace dotterellock
{

/// Streams by version, as a gateway writes them for one service.
struct stream_records
{
    service_name service;
    host_id gateway;
    std::map<std::string, std::vector<std::uint64_t>> streams; // by version
};

/// A service's base version as the store holds it.
struct base_version
{
    service_name service;
    std::string version; // empty: none, as it is about to move
    std::uint64_t revision = 0;
};

/// The whole table, as of one reading of it.
struct stream_table
{
    std::vector<base_version> bases;
    std::vector<stream_records> records;
};

class stream_versions
{
public:
    // Callers take a stream up within their deadline.
    static constexpr std::chrono::seconds record_margin{5};

    // Longer than a caller waits for the rest of its stream.
    static constexpr std::chrono::seconds base_absence{60};

    // Longer than gateways go without reading the table.
    static constexpr std::chrono::seconds base_pause{45};
    static constexpr std::chrono::seconds reading_interval{20};

    // Writing a record takes less, unless the store is in trouble.
    static constexpr std::chrono::milliseconds longest_write{1000};

    // An entry takes nine bytes of a row.
    static constexpr std::size_t max_records = 6000;

    explicit stream_versions(host_id self) : self_(std::move(self)) {}

    // Streams ----------------------------------------------------------------

    /// An attempt that may bring the first event starts at an endpoint of this
    /// version.
    /// @param until  its caller's deadline
    void on_attempt(
        service_name const& service, request_id const& id,
        std::string const& version, steady_time until, steady_time now);

    /// Whether the first event may be passed on: no gateway takes the stream
    /// for one of another version.
    bool may_begin(
        service_name const& service, request_id const& id,
        steady_time now) const;

    /// The recorded version of a stream.
    std::optional<std::string>
    recorded(service_name const& service, request_id const& id) const;

    /// The version of streams without a record; nothing if it is not known.
    std::optional<std::string> base(service_name const& service) const;

    /// As base(), while the table cannot be read: only if no other version can
    /// have begun a stream that is not known here.
    std::optional<std::string>
    base_without_reading(service_name const& service) const;

    // Endpoints --------------------------------------------------------------

    /// The versions of a service's endpoints now, by number of endpoints.
    void observe(
        service_name const& service,
        std::map<std::string, std::size_t> const& versions, steady_time now);

    /// The base version to write now, if any.
    std::optional<base_version>
    base_to_write(service_name const& service, steady_time now) const;

    // Table ------------------------------------------------------------------

    void on_read(stream_table const& table, steady_time now);
    bool read() const { return read_; }

    /// The base version was written, or found to be another one.
    void on_base(base_version const& base, steady_time now);

    /// Services whose records differ from what the store holds.
    std::vector<service_name> unwritten() const;

    /// The records of this gateway that still count.
    stream_records to_write(service_name const& service, steady_time now);

    /// The store holds what to_write() returned last.
    void on_written(service_name const& service);

    /// The store lost what was written, as it was restored.
    void on_store_restored();

private:
    using stream_key = std::uint64_t; // hash of the request's id

    struct own_record
    {
        std::string version;
        steady_time until{};
        steady_time since{};
        bool written = false;
        bool being_written = false;
        bool replaces = false; // a record of another version
    };

    struct service_state
    {
        std::optional<base_version> base;
        steady_time base_since{};
        std::map<stream_key, own_record> own;
        std::map<stream_key, std::string> others;
        std::string sole_version; // of all endpoints, if they have the same
        std::optional<steady_time> sole_since;
        std::map<std::string, std::size_t> listed;
        bool quiet = false; // no record of another version since sole_since
    };

    static stream_key key_of(request_id const& id);
    static std::string assumed_version(service_state const& state);
    service_state const* find(service_name const& service) const;
    void
    adopt(service_state& state, stream_records const& records, steady_time now);

    host_id self_;
    std::map<service_name, service_state> services_;
    bool read_ = false;
};

} // namespace dotterellock

#endif
