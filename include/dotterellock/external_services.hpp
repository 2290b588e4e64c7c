// Interfaces to external systems: engine, plain service, table service, object
// store, weight store, fleet view. src/clients implements them with libcurl;
// tests use small fakes. All are asynchronous: a callback is invoked once,
// never from within the call that registered it, while the lock of the calling
// component is held.
//
// Index
//   engine, plain_service      : run next to an agent
//   table_service, object_store: conditional writes; either may be unavailable
//   weight_store, fleet_view   : used by placement and membership
#ifndef DOTTERELLOCK_EXTERNAL_SERVICES_HPP
#define DOTTERELLOCK_EXTERNAL_SERVICES_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <dotterellock/messages.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

// ---- engine ---------------------------------------------------------------

using engine_run_id = std::uint64_t; // 0 is never a valid run

/// on_tokens is called any number of times, then either on_finished or
/// on_failed exactly once, unless the run was cancelled.
struct engine_events
{
    std::function<void(std::vector<std::string> tokens)> on_tokens;
    std::function<void(finish_reason)> on_finished;
    std::function<void(error const&)> on_failed;
};

enum class order_kind : std::uint8_t
{
    load,
    unload,
    set_role
};

struct engine_order
{
    order_kind kind = order_kind::load;
    model_ref model;
    std::string role;
    fencing_token token = 0;
};

class engine
{
public:
    virtual ~engine() = default;

    /// Starts a run that continues after dispatch.resume_tokens.
    virtual engine_run_id
    start(dispatch_generation const& dispatch, engine_events events) = 0;

    /// No event of the run is delivered after this returns.
    virtual void cancel(engine_run_id run) = 0;

    /// `done` receives no error on success.
    virtual void order(
        engine_order const& order,
        std::function<void(std::optional<error>)> done) = 0;
};

// ---- plain service --------------------------------------------------------

struct service_answer
{
    bool sent = false;     // false: the service never received the call
    bool answered = false; // false: answer lost or timed out
    int status = 0;
    std::string content_type;
    std::string body;
    std::string detail; // description of the failure
};

class plain_service
{
public:
    virtual ~plain_service() = default;
    virtual void call(
        dispatch_call const& call,
        std::function<void(service_answer)> done) = 0;
};

// ---- table service --------------------------------------------------------

using row_version = std::uint64_t; // 0: the row is absent

struct row
{
    std::string key;
    std::string value;
    row_version version = 0;
};

/// A write that is applied only if the row has the expected version.
struct row_write
{
    std::string key;
    std::optional<std::string> value;    // empty: delete the row
    std::optional<row_version> expected; // 0: absent; empty: no condition
};

enum class store_status : std::uint8_t
{
    ok,
    conflict,    // a condition failed; nothing was written
    unavailable, // certainly nothing was written
    unknown      // no answer; the write may have taken effect
};

struct commit_result
{
    store_status status = store_status::unknown;
    std::vector<row> conflicts;        // present rows whose condition failed
    std::vector<row_version> versions; // new versions, in the order of writes
};

struct read_result
{
    store_status status = store_status::unknown; // ok or unavailable
    std::vector<row> rows; // read: one per key, version 0 if absent
};

class table_service
{
public:
    virtual ~table_service() = default;

    /// Atomic: all writes are applied or none is.
    virtual void commit(
        std::vector<row_write> writes, duration timeout,
        std::function<void(commit_result)> done) = 0;

    virtual void read(
        std::vector<std::string> keys, duration timeout,
        std::function<void(read_result)> done) = 0;

    /// Returns the rows whose key begins with prefix, in key order.
    virtual void scan(
        std::string prefix, duration timeout,
        std::function<void(read_result)> done) = 0;
};

// ---- object store ---------------------------------------------------------

struct object_result
{
    store_status status = store_status::unknown;
    std::string body;
    bool found = false;
};

class object_store
{
public:
    virtual ~object_store() = default;
    virtual void
    put(std::string key, std::string body, duration timeout,
        std::function<void(object_result)> done) = 0;
    virtual void fetch(
        std::string key, duration timeout,
        std::function<void(object_result)> done) = 0;
};

// ---- weight store and fleet view ------------------------------------------

struct weight_info
{
    bool found = false;
    byte_count size = 0;
};

class weight_store
{
public:
    virtual ~weight_store() = default;
    virtual void describe(
        model_ref const& model, duration timeout,
        std::function<void(weight_info)> done) = 0;
};

enum class host_state : std::uint8_t
{
    live,
    leaving
};

struct host_entry
{
    host_id host;
    zone_id zone;
    region_id region;
    host_state state = host_state::live;
};

struct fleet_result
{
    store_status status = store_status::unknown;
    std::vector<host_entry> hosts; // may be out of date
};

class fleet_view
{
public:
    virtual ~fleet_view() = default;
    virtual void
    hosts(duration timeout, std::function<void(fleet_result)> done) = 0;
};

} // namespace dotterellock

#endif
