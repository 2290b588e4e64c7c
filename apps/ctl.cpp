// dotterellock-ctl: the operators' command-line tool. Connects the commands of
// src/ctl to the platform's clients; all callbacks run on the main thread.
#include <iostream>
#include <optional>
#include <stdexcept>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "clients/http_stores.hpp"
#include "ctl/commands.hpp"
#include "ctl/placement_command.hpp"
#include "process/asio_timer_service.hpp"
#include "process/shard_executor.hpp"
#include "process/system_runtime.hpp"

namespace
{

using namespace dotterellock;

void require_url(std::string const& url, char const* option)
{
    if (url.empty())
        throw usage_error(std::string("--") + option + " is required");
}

/// Runs the event loop until `done`. Throws what a callback threw.
void run_loop(
    asio::io_context& io, std::optional<std::string> const& callback_error,
    std::function<bool()> const& done)
{
    while (!done())
    {
        io.run_one();
        if (callback_error)
            throw std::runtime_error(*callback_error);
    }
}

ctl_exit ask_gateway(ctl_options const& options)
{
    require_url(options.placement.gateway_url, "gateway");
    asio::io_context io;
    auto const work = asio::make_work_guard(io);
    std::optional<std::string> callback_error;
    shard_executor executor(
        io, [&callback_error](std::exception const& e)
        { callback_error = e.what(); });
    counter_registry counters;
    curl_executor curl(counters);
    http_status_reader gateway(
        options.placement.gateway_url, curl, executor.poster());
    return run_gateway_command(
        options, gateway,
        [&](std::function<bool()> const& done)
        { run_loop(io, callback_error, done); },
        std::cout, std::cerr);
}

ctl_exit run_with_store(ctl_options const& options)
{
    bool const is_endpoint_command = options.command == "endpoint";
    require_url(options.table_url, "table");
    if (!is_endpoint_command)
    {
        require_url(options.objects_url, "objects");
        require_url(options.fleet_url, "fleet");
    }
    asio::io_context io;
    auto const work = asio::make_work_guard(io);
    std::optional<std::string> callback_error;
    shard_executor executor(
        io, [&callback_error](std::exception const& e)
        { callback_error = e.what(); });
    monotonic_clock clock;
    system_random random;
    asio_timer_service timers(executor);
    counter_registry counters;
    curl_executor curl(counters);
    http_table_service table(options.table_url, curl, executor.poster());
    http_object_store objects(options.objects_url, curl, executor.poster());
    http_fleet_view fleet(options.fleet_url, curl, executor.poster());
    auto const run_until =
        [&io, &callback_error](std::function<bool()> const& done)
    { run_loop(io, callback_error, done); };
    ctl_environment environment{clock, timers,    random,    table,    objects,
                                fleet, run_until, std::cout, std::cerr};
    return run_store_command(options, environment);
}

ctl_exit run(std::vector<std::string> const& arguments)
{
    ctl_options const options = parse_ctl_options(arguments);
    if (options.help)
        std::cout << ctl_help();
    else if (options.version)
        std::cout << "dotterellock-ctl " DOTTERELLOCK_VERSION "\n";
    else if (is_file_command(options))
        return run_file_command(options, std::cout, std::cerr);
    else if (is_gateway_command(options))
        return ask_gateway(options);
    else
        return run_with_store(options);
    return ctl_exit::ok;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return static_cast<int>(run({argv + 1, argv + argc}));
    }
    catch (usage_error const& e)
    {
        std::cerr << "dotterellock-ctl: " << e.what()
                  << "; see dotterellock-ctl --help\n";
        return static_cast<int>(ctl_exit::usage);
    }
    catch (std::exception const& e)
    {
        std::cerr << "dotterellock-ctl: " << e.what() << "\n";
        return static_cast<int>(ctl_exit::internal);
    }
}
