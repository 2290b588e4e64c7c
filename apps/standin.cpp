// dotterellock-standin: simulates one external system for the demo, tests and
// benchmarks.
#include <csignal>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "../standins/engine_standin.hpp"
#include "../standins/link_standin.hpp"
#include "../standins/plain_service_standin.hpp"
#include "../standins/storage_standins.hpp"

namespace
{

using namespace dotterellock::standins;

constexpr int exit_runtime = 1;
constexpr int exit_usage = 2;

struct listen_address
{
    std::string ip;
    std::uint16_t port = 0;
};

listen_address parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("expected IP:PORT, got '" + text + "'");
    unsigned long const port = std::stoul(text.substr(colon + 1));
    if (port > UINT16_MAX)
        throw std::invalid_argument("port is above 65535");
    return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "dotterellock-standin",
        "Stands in for an outside system. Port 0 lets the system choose; the "
        "chosen address is the first line of output.");
    auto add = options.add_options();
    add("kind", "engine, service, table, objects, weights, fleet or link",
        cxxopts::value<std::string>());
    add("listen", "IP:PORT",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("model", "engine: model name",
        cxxopts::value<std::string>()->default_value("m"));
    add("model-version", "engine: version label",
        cxxopts::value<std::string>()->default_value("1"));
    add("step-ms", "engine: time of one batch step",
        cxxopts::value<unsigned>()->default_value("20"));
    add("max-running", "engine: streams in one batch",
        cxxopts::value<unsigned>()->default_value("64"));
    add("prefill-per-step", "engine: prompt tokens of a stream in one step",
        cxxopts::value<unsigned>()->default_value("2048"));
    add("answer-tokens", "engine: length of an answer",
        cxxopts::value<unsigned>()->default_value("200"));
    add("ignore-fencing", "engine: accept orders with an old token");
    add("writes-per-second", "table: limit",
        cxxopts::value<unsigned>()->default_value("500"));
    add("reads-per-second", "table: limit",
        cxxopts::value<unsigned>()->default_value("2000"));
    add("weight-bytes", "weights: size of every model",
        cxxopts::value<std::uint64_t>()->default_value("16000000000"));
    add("lag-ms", "fleet: age of the list shown",
        cxxopts::value<unsigned>()->default_value("5000"));
    add("target", "link: IP:PORT to forward to", cxxopts::value<std::string>());
    add("forward", "link: IP:PORT that is forwarded",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("delay-ms", "link: one way",
        cxxopts::value<unsigned>()->default_value("0"));
    add("bytes-per-second", "link: each direction; 0: unlimited",
        cxxopts::value<std::uint64_t>()->default_value("0"));
    add("help", "show this text");
    add("version", "show the version");
    return options;
}

engine_settings parse_engine_settings(cxxopts::ParseResult const& args)
{
    engine_settings s;
    s.model = args["model"].as<std::string>();
    s.version = args["model-version"].as<std::string>();
    s.step = milliseconds(args["step-ms"].as<unsigned>());
    s.max_running = args["max-running"].as<unsigned>();
    s.prefill_per_step = args["prefill-per-step"].as<unsigned>();
    s.answer_tokens = args["answer-tokens"].as<unsigned>();
    s.checks_fencing_token = args.count("ignore-fencing") == 0;
    return s;
}

asio::ip::tcp::endpoint parse_tcp_endpoint(std::string const& text)
{
    auto const address = parse_address(text);
    return {asio::ip::make_address(address.ip), address.port};
}

std::unique_ptr<standin>
make_link(asio::io_context& context, cxxopts::ParseResult const& args)
{
    if (args.count("target") == 0)
        throw std::invalid_argument("--target is required");
    link_settings settings;
    settings.target = parse_tcp_endpoint(args["target"].as<std::string>());
    settings.delay = milliseconds(args["delay-ms"].as<unsigned>());
    settings.bytes_per_second = args["bytes-per-second"].as<std::uint64_t>();
    asio::ip::tcp::acceptor acceptor(
        context, parse_tcp_endpoint(args["forward"].as<std::string>()));
    std::cout << "event=forwarding peer=" << acceptor.local_endpoint()
              << std::endl;
    return std::make_unique<link_standin>(
        context, std::move(acceptor), settings);
}

std::unique_ptr<standin>
make_standin(asio::io_context& context, cxxopts::ParseResult const& args)
{
    if (args.count("kind") == 0)
        throw std::invalid_argument("--kind is required");
    auto const kind = args["kind"].as<std::string>();
    if (kind == "engine")
        return std::make_unique<engine_standin>(
            context, parse_engine_settings(args));
    if (kind == "service")
        return std::make_unique<plain_service_standin>(context);
    if (kind == "table")
        return std::make_unique<table_service_standin>(
            context, args["writes-per-second"].as<unsigned>(),
            args["reads-per-second"].as<unsigned>());
    if (kind == "objects")
        return std::make_unique<object_store_standin>();
    if (kind == "weights")
        return std::make_unique<weight_store_standin>(
            args["weight-bytes"].as<std::uint64_t>());
    if (kind == "fleet")
        return std::make_unique<fleet_view_standin>(
            context, milliseconds(args["lag-ms"].as<unsigned>()));
    if (kind == "link")
        return make_link(context, args);
    throw std::invalid_argument("unknown kind '" + kind + "'");
}

int run(cxxopts::ParseResult const& args)
{
    auto const address = parse_address(args["listen"].as<std::string>());
    asio::io_context context(1);
    auto const service = make_standin(context, args);
    http_server const server(
        context, address.ip, address.port,
        [&](http_call const& call, std::shared_ptr<http_reply> reply)
        { service->handle(call, std::move(reply)); });
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](auto const&, int) { context.stop(); });
    std::cout << "event=listening http=" << address.ip << ':' << server.port()
              << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    try
    {
        auto const args = options.parse(argc, argv);
        if (args.count("help") != 0)
        {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (args.count("version") != 0)
        {
            std::cout << "dotterellock-standin " DOTTERELLOCK_VERSION "\n";
            return 0;
        }
        return run(args);
    }
    catch (cxxopts::exceptions::exception const& e)
    {
        std::cerr << "dotterellock-standin: " << e.what() << '\n';
        return exit_usage;
    }
    catch (std::invalid_argument const& e)
    {
        std::cerr << "dotterellock-standin: " << e.what() << '\n';
        return exit_usage;
    }
    catch (std::exception const& e)
    {
        std::cerr << "dotterellock-standin: " << e.what() << '\n';
        return exit_runtime;
    }
}
