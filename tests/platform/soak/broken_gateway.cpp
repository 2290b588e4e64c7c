// dotterellock-broken-gateway PROMISE SETTINGS: runs a gateway with one faulty
// component, to verify that the soak's checker detects the broken promise.
#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <iterator>

#include <unistd.h>

#include "platform/platform_protocol.hpp"
#include "platform/platform_row_codec.hpp"
#include "platform/row_store_client.hpp"
#include "process/bounded_log.hpp"
#include "process/system_runtime.hpp"
#include "relay/gateway_process.hpp"
#include "relay/loop_timer_service.hpp"

namespace
{

using namespace dotterellock;
using std::chrono::milliseconds;

class broken_protocol : public platform_protocol
{
public:
    explicit broken_protocol(std::string const& promise) : promise_(promise) {}

    request_metadata read_request(message_head const& head) const override
    {
        auto metadata = platform_protocol::read_request(head);
        if (promise_ == "deadline" && metadata.deadline)
            *metadata.deadline += milliseconds(1500);
        return metadata;
    }

    response_metadata read_response(message_head const& head) const override
    {
        auto metadata = platform_protocol::read_response(head);
        if (promise_ == "refusal" && head.status >= 500)
        {
            // Treats a failure after execution as a refusal.
            metadata.not_run = true;
            metadata.sealed = false;
        }
        return metadata;
    }

    bool forwards_header(std::string_view header) const override
    {
        return promise_ == "key_passed_on" ||
               platform_protocol::forwards_header(header);
    }

    void append_headers(
        forwarding_metadata const& metadata, std::string& head) const override
    {
        auto forwarded = metadata;
        if (promise_ == "order" && forwarded.last_event_id)
            ++*forwarded.last_event_id; // skips one event
        if (promise_ == "organisation")
            forwarded.organisation = organisation_id("somebody-1");
        platform_protocol::append_headers(forwarded, head);
    }

private:
    std::string const promise_;
};

class broken_row_codec : public platform_row_codec
{
public:
    explicit broken_row_codec(std::string const& promise) : promise_(promise) {}

    std::optional<gateway_configuration>
    read_configuration(store_row const& row) const override
    {
        auto c = platform_row_codec::read_configuration(row);
        if (!c)
            return c;
        for (auto& route : c->routes)
        {
            if (promise_ == "once")
                route.idempotent = true;
            if (promise_ == "attempts")
                route.max_attempts = 9;
            if (promise_ == "timeout")
                route.timeout = std::chrono::seconds(60);
        }
        return c;
    }

    endpoint_record read_endpoint(store_row const& row) const override
    {
        auto record = platform_row_codec::read_endpoint(row);
        if (promise_ == "drain")
            record.draining = false;
        return record;
    }

private:
    std::string const promise_;
};

/// Optionally reports no changes to callers that poll for them.
class change_dropping_reader : public row_reader
{
public:
    change_dropping_reader(row_reader& store, bool drops_changes)
        : store_(store), drops_changes_(drops_changes)
    {
    }

    void list(std::string const& t, std::string const& from, handler h) override
    {
        store_.list(t, from, std::move(h));
    }

    void changes(
        std::string const& table, std::uint64_t after, milliseconds wait,
        handler done) override
    {
        store_.changes(
            table, after, wait,
            [this, done = std::move(done)](row_read_result answer)
            {
                if (drops_changes_)
                    answer.rows.clear();
                done(std::move(answer));
            });
    }

private:
    row_reader& store_;
    bool const drops_changes_;
};

void run(std::string const& promise, std::string const& file)
{
    std::ifstream in(file);
    std::string const text{std::istreambuf_iterator<char>(in), {}};
    auto settings = read_gateway_settings(text, file);
    if (promise == "budget" || promise == "attempts")
    {
        settings.retries.ratio = 100;
        settings.retries.allowance = 1e6;
    }
    boottime_clock const clock;
    system_random random;
    bounded_log log(STDOUT_FILENO, clock, settings.log_lines_per_second);
    counter_registry counters;
    broken_protocol const protocol(promise);
    broken_row_codec const codec(promise);
    memory_budget memory(settings.memory_for_others());
    asio::io_context io(1);
    loop_timer_service timers(io);
    row_store_client configuration_store(io, clock, memory, settings.store);
    change_dropping_reader configuration(
        configuration_store, promise == "revocation");
    row_store_client endpoints(io, clock, memory, settings.store);
    row_store_client peers(io, clock, memory, settings.store);
    row_store_client peer_writer(io, clock, memory, settings.store);
    row_store_client status_store(io, clock, memory, settings.store);
    gateway_process process(
        file, text, settings,
        {io, timers, clock, random, protocol, codec, configuration, endpoints,
         peers, peer_writer, status_store, log, counters, memory});
    if (promise == "stop")
        std::signal(SIGTERM, [](int) { ::_exit(0); }); // drops open requests
    process.run();
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
    {
        std::cerr << "usage: dotterellock-broken-gateway PROMISE SETTINGS\n";
        return 2;
    }
    try
    {
        run(argv[1], argv[2]);
        return 0;
    }
    catch (std::exception const& e)
    {
        std::cerr << "dotterellock-broken-gateway: " << e.what() << '\n';
        return 1;
    }
}
