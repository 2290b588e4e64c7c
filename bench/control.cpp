// Measures the control plane in virtual time. Runs many configuration nodes
// and registrations in one process and counts their messages as frames of
// src/wire. The baseline is a fleet in which every process polls the store once
// per second. Prints records as JSON.
//
// Index
//   document        : about 20 kB of YAML, as for 5,200 organisations
//   cpu_meter       : CPU time spent in the measured objects
//   metered_process : counts the messages and store requests of a process
//   fleets          : the measured fleet and the baseline fleet
//   measurement     : idle cost, cost of a change, memory
#include <algorithm>
#include <cmath>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "configuration/configuration_node.hpp"
#include "configuration/configuration_operator.hpp"
#include "control_fakes.hpp"
#include "fake_network.hpp"
#include "membership/registration.hpp"
#include "records.hpp"
#include "settings/fleet_document.hpp"
#include "wire/codec.hpp"

namespace
{

using namespace dotterellock;
using bench::record_list;
using namespace dotterellock::testing;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- document -------------------------------------------------------------

constexpr unsigned listed_organisations = 260;
constexpr unsigned listed_exceptions = 12;

std::string configuration_document(unsigned number)
{
    std::string text =
        "defaults:\n  queue: {quantum_tokens: " + std::to_string(number) +
        "}\n  organisations:\n";
    for (unsigned i = 0; i < listed_organisations; ++i)
    {
        text += "    organisation-" + std::to_string(i) +
                ": {requests_per_second: 80, weight: 2}\n";
    }
    text += "exceptions:\n";
    for (unsigned i = 0; i < listed_exceptions; ++i)
    {
        text += "  - {name: e" + std::to_string(i) +
                ", reason: hosts of another generation, owner: ann, scope: "
                "{host: h" +
                std::to_string(i) +
                "}, settings: {queue: {max_reservations: 100}}}\n";
    }
    return text;
}

/// Parses each document once and returns copies, so that 960 nodes do not parse
/// the same text 960 times. The cost of parsing is measured separately.
class caching_parser : public configuration_parser
{
public:
    policy_settings effective(
        std::string const& document, node_location const& node,
        wall_time now) const override
    {
        auto& slot = policies_[document];
        if (!slot)
            slot = std::make_unique<policy_settings>(
                parser_.effective(document, node, now));
        return *slot;
    }

    std::vector<configuration_exception>
    exceptions(std::string const&) const override
    {
        return {};
    }

private:
    yaml_configuration_parser parser_;
    mutable std::map<std::string, std::unique_ptr<policy_settings>> policies_;
};

// ---- cpu_meter ------------------------------------------------------------

class cpu_meter
{
public:
    template<typename Function>
    void run(Function&& f)
    {
        if (depth_++ == 0)
            begin_us_ = cpu_time_us();
        f();
        if (--depth_ == 0)
            spent_us += cpu_time_us() - begin_us_;
    }

    double spent_us = 0;

private:
    static double cpu_time_us()
    {
        timespec t{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
        return static_cast<double>(t.tv_sec) * 1e6 +
               static_cast<double>(t.tv_nsec) / 1e3;
    }

    int depth_ = 0;
    double begin_us_ = 0;
};

struct fleet_counters
{
    cpu_meter cpu;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

// ---- metered_process ------------------------------------------------------

class metered_process : public timer_service,
                        public table_service,
                        public peer_transport,
                        public message_handler
{
public:
    metered_process(
        manual_scheduler& scheduler, fake_table_service& table,
        peer_transport& transport, duration store_delay, fleet_counters& t)
        : scheduler_(scheduler), table_(table), transport_(transport),
          store_delay_(store_delay), counters_(t)
    {
    }

    void set_handler(message_handler& handler) { handler_ = &handler; }

    timer_id schedule(duration delay, std::function<void()> callback) override
    {
        return scheduler_.schedule(
            delay, [this, callback] { counters_.cpu.run(callback); });
    }
    void cancel(timer_id id) override { scheduler_.cancel(id); }

    void commit(
        std::vector<row_write> writes, duration timeout,
        std::function<void(commit_result)> done) override
    {
        ++counters_.writes;
        table_.commit(
            std::move(writes), timeout, metered_reply(std::move(done)));
    }
    void read(
        std::vector<std::string> keys, duration timeout,
        std::function<void(read_result)> done) override
    {
        ++counters_.reads;
        table_.read(std::move(keys), timeout, metered_reply(std::move(done)));
    }
    void scan(
        std::string prefix, duration timeout,
        std::function<void(read_result)> done) override
    {
        ++counters_.reads;
        table_.scan(std::move(prefix), timeout, metered_reply(std::move(done)));
    }

    void send(peer_id const& to, message m) override
    {
        std::string frame;
        append_frame(frame, m);
        ++counters_.messages;
        counters_.bytes += frame.size();
        transport_.send(to, std::move(m));
    }
    void reconnect(peer_id const& to) override { transport_.reconnect(to); }

    void on_message(peer_id const& from, message const& m) override
    {
        counters_.cpu.run([&] { handler_->on_message(from, m); });
    }
    void on_disconnected(peer_id const& peer) override
    {
        handler_->on_disconnected(peer);
    }

private:
    template<typename Result>
    std::function<void(Result)> metered_reply(std::function<void(Result)> done)
    {
        return [this, done = std::move(done)](Result const& result)
        {
            scheduler_.schedule(
                store_delay_, [this, done, result]
                { counters_.cpu.run([&] { done(result); }); });
        };
    }

    manual_scheduler& scheduler_;
    fake_table_service& table_;
    peer_transport& transport_;
    duration store_delay_;
    fleet_counters& counters_;
    message_handler* handler_ = nullptr;
};

// ---- fleets ---------------------------------------------------------------

struct fleet_size
{
    std::size_t routers = 0;
    std::size_t agents = 0;
    std::size_t zones = 7; // the last three are in the other region

    std::size_t process_count() const { return routers + agents; }
};

/// A process of the measured fleet or of the baseline fleet.
class fleet_member
{
public:
    virtual ~fleet_member() = default;
    virtual configuration_version version() const = 0;
};

/// A process that receives configuration pushes and registers itself.
class push_member : public fleet_member
{
public:
    push_member(
        manual_scheduler& scheduler, metered_process& process,
        endpoint_info const& info, configuration_parser const& parser,
        std::vector<configuration_peer> const& peers, std::uint64_t seed)
        : random_(seed),
          node_(
              info.agent, {info.region, info.zone, info.host}, scheduler,
              process, random_, process, process, parser, peers, counters_),
          member_(info, scheduler, process, random_, process, counters_)
    {
        process.set_handler(node_);
        node_.start();
        member_.start();
    }

    configuration_version version() const override { return node_.version(); }

private:
    seeded_random random_;
    counter_registry counters_;
    configuration_node node_;
    registration member_;
};

/// Baseline: reads the version row once per second, and the document after the
/// version has changed.
class polling_member : public fleet_member, public message_handler
{
public:
    polling_member(
        metered_process& process, configuration_parser const& parser,
        std::uint64_t seed)
        : process_(process), parser_(parser)
    {
        process.set_handler(*this);
        seeded_random random(seed);
        process_.schedule(milliseconds(random.below(1000)), [this] { tick(); });
    }

    configuration_version version() const override { return version_; }
    void on_message(peer_id const&, message const&) override {}
    void on_disconnected(peer_id const&) override {}

private:
    void tick()
    {
        process_.schedule(seconds(1), [this] { tick(); });
        process_.read(
            {current_configuration_key}, seconds(2),
            [this](read_result const& r)
            {
                auto const record = decode_version_record(r.rows[0].value);
                if (record && record->version > version_)
                    fetch(record->version);
            });
    }

    void fetch(configuration_version version)
    {
        process_.read(
            {document_key(version)}, seconds(2),
            [this, version](read_result const& r)
            {
                policy_ = std::make_unique<policy_settings>(
                    parser_.effective(r.rows[0].value, {}, {}));
                version_ = version;
            });
    }

    metered_process& process_;
    configuration_parser const& parser_;
    configuration_version version_ = 0;
    std::unique_ptr<policy_settings> policy_;
};

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

class fleet
{
public:
    fleet(fleet_size const& size, bool baseline) : size_(size)
    {
        std::vector<endpoint_info> infos;
        for (std::size_t i = 0; i < size.process_count(); ++i)
            infos.push_back(info_of(i));
        std::vector<configuration_peer> peers;
        for (auto const& info : infos)
        {
            peers.push_back({info.agent, info.zone});
            infos_[info.agent] = info;
            hosts_.result.hosts.push_back({info.host, {}, {}, {}});
        }
        network_.set_delay(duration{});
        network_.set_delivery_rule(
            [this](auto const& from, auto const& to, auto const&) {
                return fake_network::delivery_plan{1, latency(from, to)};
            });
        std::size_t const before = heap_bytes();
        for (std::size_t i = 0; i < infos.size(); ++i)
            add(infos[i], peers, baseline, i + 1);
        apply(configuration_document(1));
        heap_bytes_per_process_ = static_cast<double>(heap_bytes() - before) /
                                  static_cast<double>(size.process_count());
    }

    fleet_counters& counters() { return counters_; }
    double heap_bytes_per_process() const { return heap_bytes_per_process_; }
    manual_scheduler& scheduler() { return scheduler_; }

    /// Seconds from the store write of a version until it is in force in the
    /// last process, and until the operator is notified of that.
    struct propagation_times
    {
        double in_force = 0;
        double accepted = 0;
    };

    propagation_times apply(std::string const& document)
    {
        std::optional<apply_result> result;
        apply_request request;
        request.document = document;
        request.author = "bench";
        if (version_ > 0)
            request.base = version_;
        op_.apply(
            request, {}, [&result](apply_result r) { result = std::move(r); });
        ++version_;
        scheduler_.run_until(
            [this]
            {
                auto const record = decode_version_record(
                    table_.row_at(current_configuration_key).value);
                return record && record->version == version_;
            },
            seconds(10));
        steady_time const recorded = scheduler_.now();
        propagation_times times;
        while (!in_force_everywhere())
            scheduler_.advance(milliseconds(1));
        times.in_force = seconds_since(recorded);
        // Baseline processes report no version, so the operator never learns
        // that it is in force.
        scheduler_.run_until(
            [&result] { return result.has_value(); }, seconds(20));
        times.accepted = seconds_since(recorded);
        return times;
    }

private:
    endpoint_info info_of(std::size_t i) const
    {
        endpoint_info info;
        bool const router = i < size_.routers;
        std::string const number = std::to_string(i);
        std::size_t const zone = i % size_.zones;
        info.agent = peer_id((router ? "router/" : "agent/") + number);
        if (!router)
            info.endpoint = endpoint_id("endpoint-" + number);
        info.host = host_id("h" + number);
        info.zone = zone_id("z" + std::to_string(zone));
        info.region = region_id(zone < 4 ? "main" : "far");
        info.address = "10.0.0.1:7000";
        if (!router)
            info.models = {{"model-1", "", "2026-11"}};
        return info;
    }

    duration latency(peer_id const& from, peer_id const& to) const
    {
        endpoint_info const& a = infos_.at(from);
        endpoint_info const& b = infos_.at(to);
        if (a.region != b.region)
            return milliseconds(20);
        return microseconds(a.zone == b.zone ? 100 : 500);
    }

    void
    add(endpoint_info const& info, std::vector<configuration_peer> const& peers,
        bool baseline, std::uint64_t seed)
    {
        duration const store_delay =
            milliseconds(info.region.value() == "far" ? 40 : 1);
        processes_.push_back(std::make_unique<metered_process>(
            scheduler_, table_, network_.transport_of(info.agent), store_delay,
            counters_));
        metered_process& p = *processes_.back();
        network_.attach(info.agent, p);
        if (baseline)
            members_.push_back(
                std::make_unique<polling_member>(p, parser_, seed));
        else
            members_.push_back(std::make_unique<push_member>(
                scheduler_, p, info, parser_, peers, seed));
    }

    bool in_force_everywhere() const
    {
        return std::all_of(
            members_.begin(), members_.end(),
            [this](auto const& m) { return m->version() >= version_; });
    }

    double seconds_since(steady_time begin) const
    {
        return std::chrono::duration<double>(scheduler_.now() - begin).count();
    }

    fleet_size size_;
    manual_scheduler scheduler_;
    fake_network network_{scheduler_};
    fake_table_service table_{scheduler_};
    fake_object_store objects_{scheduler_};
    fake_fleet_view hosts_{scheduler_};
    caching_parser parser_;
    fleet_counters counters_;
    std::map<peer_id, endpoint_info> infos_;
    std::vector<std::unique_ptr<metered_process>> processes_;
    std::vector<std::unique_ptr<fleet_member>> members_;
    simulated_process operator_process_{scheduler_, table_, &objects_};
    seeded_random random_{7};
    configuration_operator op_{
        scheduler_,
        operator_process_,
        random_,
        operator_process_,
        operator_process_,
        hosts_,
        parser_};
    configuration_version version_ = 0;
    double heap_bytes_per_process_ = 0;
};

// ---- measurement ----------------------------------------------------------

constexpr unsigned change_count = 20;
constexpr seconds settle_time{30};
constexpr seconds idle_time{60};
constexpr seconds change_interval{10}; // least time after each change

using figures = std::map<std::string, std::pair<double, std::string>>;

double quantile(std::vector<double> values, double q)
{
    std::sort(values.begin(), values.end());
    auto const last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(std::lround(q * last))];
}

struct resource_usage
{
    double cpu_us;
    double messages;
    double bytes;
    double reads;
    double writes;
};

resource_usage usage_since(fleet_counters const& t, resource_usage const& from)
{
    return {
        t.cpu.spent_us - from.cpu_us, double(t.messages) - from.messages,
        double(t.bytes) - from.bytes, double(t.reads) - from.reads,
        double(t.writes) - from.writes};
}

figures measure(fleet_size const& size, bool baseline)
{
    fleet f(size, baseline);
    fleet_counters& t = f.counters();
    double const n = static_cast<double>(size.process_count());
    f.scheduler().advance(settle_time);

    resource_usage const none{0, 0, 0, 0, 0};
    resource_usage mark = usage_since(t, none);
    f.scheduler().advance(idle_time);
    resource_usage const idle = usage_since(t, mark);
    double const span = static_cast<double>(idle_time.count());

    std::vector<double> in_force;
    std::vector<double> accepted;
    mark = usage_since(t, none);
    steady_time const begin = f.scheduler().now();
    for (unsigned i = 0; i < change_count; ++i)
    {
        auto const times = f.apply(configuration_document(i + 2));
        in_force.push_back(times.in_force);
        accepted.push_back(times.accepted);
        // Not a multiple of the poll period, so that changes fall into
        // different phases of it.
        f.scheduler().advance(change_interval + milliseconds(137) * i);
    }
    double const elapsed =
        std::chrono::duration<double>(f.scheduler().now() - begin).count();
    resource_usage const busy = usage_since(t, mark);
    auto const per_change = [&](double resource_usage::*counter)
    { return (busy.*counter - idle.*counter * elapsed / span) / change_count; };

    figures result;
    result["in_force_p50"] = {quantile(in_force, 0.5), "s"};
    result["in_force_p95"] = {quantile(in_force, 0.95), "s"};
    result["in_force_max"] = {quantile(in_force, 1), "s"};
    if (!baseline)
    {
        result["accepted_p50"] = {quantile(accepted, 0.5), "s"};
        result["accepted_p95"] = {quantile(accepted, 0.95), "s"};
    }
    result["idle_messages"] = {idle.messages / span / n, "1/s/node"};
    result["idle_bytes"] = {idle.bytes / span / n, "B/s/node"};
    result["idle_store_reads"] = {idle.reads / span, "1/s"};
    result["idle_store_writes"] = {idle.writes / span, "1/s"};
    result["idle_cpu"] = {idle.cpu_us / span / n, "us/s/node"};
    result["change_messages"] = {
        per_change(&resource_usage::messages) / n, "1/node"};
    result["change_bytes"] = {per_change(&resource_usage::bytes) / n, "B/node"};
    result["change_store_reads"] = {per_change(&resource_usage::reads), "1"};
    result["change_store_writes"] = {per_change(&resource_usage::writes), "1"};
    result["change_cpu_without_parsing"] = {
        per_change(&resource_usage::cpu_us) / n, "us/node"};
    result["memory"] = {f.heap_bytes_per_process(), "B/node"};
    return result;
}

double parse_time_us()
{
    yaml_configuration_parser const parser;
    std::string const text = configuration_document(1);
    cpu_meter meter;
    constexpr unsigned rounds = 20;
    for (unsigned i = 0; i < rounds; ++i)
    {
        meter.run(
            [&]
            {
                parser.effective(text, {}, {});
                parser.exceptions(text);
            });
    }
    return meter.spent_us / rounds;
}

} // namespace

int main()
{
    record_list records;
    std::pair<char const*, fleet_size> const sizes[] = {
        {"10_nodes", {4, 6, 2}},
        {"100_nodes", {40, 60, 7}},
        {"960_nodes", {360, 600, 7}}};
    for (auto const& [label, size] : sizes)
    {
        figures const value = measure(size, false);
        figures baseline = measure(size, true);
        for (auto const& [name, figure] : value)
        {
            auto const other = baseline.find(name);
            records.add(
                "control_" + name + "_" + label, figure.second, figure.first,
                other == baseline.end() ? std::nullopt
                                        : std::optional(other->second.first));
        }
    }
    records.add(
        "control_document_size", "B", double(configuration_document(1).size()));
    // Processes of both fleets parse each document; the measured fleet also
    // reads the expiry dates of its exceptions.
    records.add("control_change_cpu_parsing", "us/node", parse_time_us());
    records.print();
    return 0;
}
