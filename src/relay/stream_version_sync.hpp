// Keeps the versions of streams in step with the platform's store: writes this
// gateway's records, reads those of others when a caller takes up a stream that
// is not known here, and moves the base version of a service.
#ifndef DOTTERELLOCK_RELAY_STREAM_VERSION_SYNC_HPP
#define DOTTERELLOCK_RELAY_STREAM_VERSION_SYNC_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/observability.hpp>

#include "gateway/event_log.hpp"
#include "gateway/stream_versions.hpp"
#include "gateway/table_watcher.hpp"
#include "peer_load_sync.hpp"

namespace dotterellock
{

/// How the version of a stream is known.
enum class version_source
{
    recorded,
    base,      // it has no record
    unanimous, // the table cannot be read, and there is no other version
    unknown
};

char const* to_string(version_source source);

struct stream_origin
{
    version_source source = version_source::unknown;
    std::string version;
};

class stream_version_sync
{
public:
    using origin_handler = std::function<void(stream_origin)>;

    /// What the gateway knows.
    struct surroundings
    {
        /// Services whose streams may be resumed, with the versions of their
        /// endpoints by number.
        std::function<
            std::map<service_name, std::map<std::string, std::size_t>>()>
            services;

        /// Position of this gateway among those that may write for a service.
        std::function<std::size_t(service_name const&)> rank;

        std::function<bool(host_id const&)> is_gateway;

        /// First events that were waited for may be passed on.
        std::function<void()> on_written;
    };

    // Streams that begin at the same time are written together.
    static constexpr std::chrono::milliseconds write_interval{100};
    static constexpr std::chrono::milliseconds retry_interval{200};
    static constexpr std::chrono::milliseconds observation_interval{200};

    // After a reading failed, callers are answered without another one.
    static constexpr std::chrono::milliseconds failure_memory{1000};

    // Until the table is read once more for a version that serves alone.
    static constexpr std::chrono::milliseconds second_reading{2000};

    // Rows of hosts that are no gateways any more are removed after this.
    static constexpr std::chrono::seconds abandoned_row_age{120};

    /// @param reader, writer  one call at a time; used by nothing else
    stream_version_sync(
        stream_versions& versions, host_id self, row_reader& reader,
        row_writer& writer, clock_source const& clock, event_log& log,
        counter_registry& counters, surroundings gateway);

    stream_version_sync(stream_version_sync const&) = delete;
    stream_version_sync& operator=(stream_version_sync const&) = delete;

    /// Calls the store as needed; called many times a second.
    void poll();

    /// Finds out which version began a stream. The handler runs once, possibly
    /// before this returns.
    /// @param first  request that brought the stream's first event; empty if
    ///               the caller does not tell
    void find_origin(
        service_name const& service, request_id const& first,
        origin_handler done);

private:
    struct waiting_caller
    {
        service_name service;
        request_id first;
        origin_handler done;
    };

    struct seen_row
    {
        std::uint64_t revision = 0;
        steady_time since{};
    };

    void observe(steady_time now);
    bool write_records(steady_time now);
    bool write_base(steady_time now);
    bool remove_abandoned(steady_time now);
    bool reading_due(steady_time now) const;
    void read(std::string const& from);
    void on_page(row_read_result answer);
    void on_whole_table(steady_time now);
    void on_read_failed(std::string const& detail);
    void on_base_written(
        base_version base, row_writer::conditional_result const& result);
    void answer_callers(bool table_read);
    std::optional<stream_origin>
    known_origin(waiting_caller const& caller) const;
    stream_origin
    origin_after_reading(waiting_caller const& caller, bool table_read) const;

    stream_versions& versions_;
    host_id const self_;
    row_reader& reader_;
    row_writer& writer_;
    clock_source const& clock_;
    event_log& log_;
    counter_registry& counters_;
    surroundings const gateway_;
    bool reading_ = false;
    bool writing_ = false;
    steady_time next_read_{};
    steady_time next_write_{};
    steady_time last_read_{};
    steady_time last_observed_{};
    std::optional<steady_time> last_failed_; // reading, unless one succeeded
    bool second_reading_done_ = false;
    std::uint64_t era_ = 0;
    std::vector<store_row> rows_; // of the reading in progress
    std::map<std::string, seen_row> seen_;
    std::vector<std::string> abandoned_;
    std::vector<waiting_caller> waiting_; // for the next reading
    std::vector<waiting_caller> served_;  // by the reading in progress
};

} // namespace dotterellock

#endif
