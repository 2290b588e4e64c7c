// Index
//   construction : local_fleet, start_*, *_settings
//   control      : busy_engine, stop
//   HTTP         : http_get, http_post
#include "local_fleet.hpp"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace dotterellock::standins
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds start_limit{20000};
constexpr milliseconds poll_interval{10};
constexpr long request_limit_ms = 60000;

std::string make_directory()
{
    std::string name =
        (std::filesystem::temp_directory_path() / "dotterellock-XXXXXX")
            .string();
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create temporary directory " + name);
    return name;
}

/// Returns an address with a port that is free at the moment. The settings of
/// each router list the other routers, so their ports must be known before
/// they start.
std::string free_address()
{
    asio::io_context context;
    asio::ip::tcp::acceptor const acceptor(
        context, {asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

constexpr char const* any_port = "127.0.0.1:0";

std::string address_of(std::string const& url)
{
    return url.substr(std::string("http://").size());
}

std::string endpoint_name(std::size_t number)
{
    return "e" + std::to_string(number + 1);
}

std::string zone_of(std::size_t index)
{
    return "zone-" + std::to_string(index % 2 + 1);
}

std::size_t
append_to_body(char* data, std::size_t size, std::size_t count, void* body)
{
    static_cast<std::string*>(body)->append(data, size * count);
    return size * count;
}

simple_response perform_request(CURL* easy)
{
    simple_response response;
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, request_limit_ms);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append_to_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response.body);
    if (curl_easy_perform(easy) == CURLE_OK)
    {
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        response.status = static_cast<int>(status);
    }
    curl_easy_cleanup(easy);
    return response;
}

} // namespace

// ---- construction ---------------------------------------------------------

local_fleet::local_fleet(std::string binary_directory, fleet_options options)
    : binary_directory_(std::move(binary_directory)),
      options_(std::move(options)), directory_(make_directory())
{
    auto table = start_standin("table", {"--kind", "table"});
    table_ = std::move(table.process);
    table_url_ = table.url;
    auto objects = start_standin("objects", {"--kind", "objects"});
    objects_ = std::move(objects.process);
    object_url_ = objects.url;
    agents_.resize(options_.engines + options_.services);
    for (std::size_t i = 0; i < options_.engines; ++i)
    {
        engines_.push_back(start_standin(
            "engine-" + std::to_string(i + 1), engine_arguments(any_port)));
        start_agent(i);
    }
    for (std::size_t i = 0; i < options_.services; ++i)
    {
        services_.push_back(start_standin(
            "service-" + std::to_string(i + 1), {"--kind", "service"}));
        start_agent(options_.engines + i);
    }
    routers_.resize(options_.routers);
    for (auto& r : routers_)
    {
        r.url = std::string("http://") + any_port;
        r.peer_address = free_address();
    }
    for (std::size_t i = 0; i < options_.routers; ++i)
        start_router(i);
    wait_until_ready();
}

local_fleet::~local_fleet()
{
    routers_.clear();
    links_.clear();
    agents_.clear();
    engines_.clear();
    services_.clear();
    table_.reset();
    objects_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
}

local_fleet::fleet_process local_fleet::start_standin(
    std::string const& name, std::vector<std::string> const& arguments)
{
    fleet_process started;
    started.process = std::make_unique<child_process>(
        binary_directory_ + "/dotterellock-standin", arguments,
        directory_ + "/" + name + ".log");
    started.url =
        "http://" + started.process->logged_value("http", start_limit);
    return started;
}

std::vector<std::string>
local_fleet::engine_arguments(std::string const& listen) const
{
    return {"--kind",          "engine",
            "--listen",        listen,
            "--model",         model,
            "--model-version", model_version,
            "--answer-tokens", std::to_string(options_.answer_tokens),
            "--step-ms",       std::to_string(options_.step_ms),
            "--max-running",   std::to_string(options_.capacity)};
}

void local_fleet::start_agent(std::size_t number)
{
    std::string const name = "agent-" + endpoint_name(number);
    fleet_process& started = agents_[number];
    if (started.peer_address.empty())
        started.peer_address = options_.links ? free_address() : any_port;
    if (options_.links && links_.size() == number)
        start_link(number);
    std::string const file = write_settings(name, agent_settings(number));
    started.process = std::make_unique<child_process>(
        binary_directory_ + "/dotterellock-agent",
        std::vector<std::string>{"--config", file},
        directory_ + "/" + name + ".log");
    started.peer_address = started.process->logged_value("peer", start_limit);
}

void local_fleet::start_link(std::size_t number)
{
    fleet_process started = start_standin(
        "link-" + endpoint_name(number),
        {"--kind", "link", "--target", agents_[number].peer_address});
    started.peer_address = started.process->logged_value("peer", start_limit);
    links_.push_back(std::move(started));
}

void local_fleet::start_router(std::size_t index)
{
    std::string const name = "router-" + std::to_string(index + 1);
    std::string const file = write_settings(name, router_settings(index));
    fleet_process& started = routers_[index];
    started.process = std::make_unique<child_process>(
        binary_directory_ + "/dotterellock-router",
        std::vector<std::string>{"--config", file},
        directory_ + "/" + name + ".log");
    started.url =
        "http://" + started.process->logged_value("http", start_limit);
}

void local_fleet::wait_until_ready() const
{
    auto const end = std::chrono::steady_clock::now() + start_limit;
    for (auto const& r : routers_)
    {
        while (http_get(r.url + "/readyz").status != 200)
        {
            if (std::chrono::steady_clock::now() >= end)
                throw std::runtime_error(
                    "router did not become ready within the time limit:\n" +
                    r.process->log());
            std::this_thread::sleep_for(poll_interval);
        }
    }
}

std::string local_fleet::write_settings(
    std::string const& name, std::string const& text) const
{
    std::string const file = directory_ + "/" + name + ".yaml";
    std::ofstream out(file);
    out << text;
    return file;
}

std::string local_fleet::agent_settings(std::size_t number) const
{
    bool const is_engine = number < options_.engines;
    std::size_t const index = is_engine ? number : number - options_.engines;
    std::string const endpoint = endpoint_name(number);
    std::ostringstream yaml;
    yaml << "endpoint: " << endpoint << "\nhost: host-" << endpoint
         << "\nzone: " << zone_of(index) << "\nregion: region-1\n"
         << "http_listen: 127.0.0.1:0\npeer_listen: "
         << agents_[number].peer_address << "\ncapacity: " << options_.capacity
         << "\ntable_service_url: " << table_url_ << "\n";
    if (options_.links)
        yaml << "peer_address: " << links_[number].peer_address << "\n";
    if (is_engine)
        yaml << "engine_url: " << engines_[index].url
             << "\nengine_checks_fencing_token: true\nmodels:\n  - name: "
             << model << "\n    version: \"" << model_version << "\"\n";
    else
        yaml << "service_url: " << services_[index].url
             << "\nservices: [orders]\n";
    if (!options_.policy.empty())
        yaml << "policy:\n" << options_.policy;
    return yaml.str();
}

std::string local_fleet::router_settings(std::size_t index) const
{
    std::ostringstream yaml;
    yaml << "router: r" << index + 1 << "\nhost: host-r" << index + 1
         << "\nzone: " << zone_of(index) << "\nregion: region-1\n"
         << "http_listen: " << address_of(routers_[index].url)
         << "\npeer_listen: " << routers_[index].peer_address
         << "\nshards: " << options_.shards
         << "\ntable_service_url: " << table_url_ << "\nrouters:\n";
    for (std::size_t i = 0; i < routers_.size(); ++i)
        yaml << "  - router: r" << i + 1
             << "\n    address: " << routers_[i].peer_address
             << "\n    zone: " << zone_of(i) << "\n    region: region-1\n";
    yaml << "endpoints:\n";
    for (std::size_t i = 0; i < agents_.size(); ++i)
    {
        bool const is_engine = i < options_.engines;
        std::size_t const local = is_engine ? i : i - options_.engines;
        yaml << "  - endpoint: " << endpoint_name(i) << "\n    address: "
             << (options_.links ? links_ : agents_)[i].peer_address
             << "\n    host: host-" << endpoint_name(i)
             << "\n    zone: " << zone_of(local) << "\n    region: region-1\n";
        if (is_engine)
            yaml << "    models:\n      - name: " << model
                 << "\n        version: \"" << model_version << "\"\n";
        else
            yaml << "    services: [orders]\n";
    }
    yaml << "organisations:\n  - organisation: a\n    api_key: " << api_key
         << "\n    rank: standard\n  - organisation: b\n    api_key: "
         << other_api_key << "\n    rank: standard\n"
         << "policy:\n"
         << options_.policy
         << "  operations:\n    orders/book:\n      repeatable: false\n"
         << "    orders/stock:\n      repeatable: true\n";
    return yaml.str();
}

std::string const& local_fleet::router_url(std::size_t i) const
{
    return routers_.at(i).url;
}

std::string const& local_fleet::engine_url(std::size_t i) const
{
    return engines_.at(i).url;
}

std::string const& local_fleet::service_url(std::size_t i) const
{
    return services_.at(i).url;
}

std::string const& local_fleet::link_url(std::size_t i) const
{
    return links_.at(i).url;
}

// ---- control --------------------------------------------------------------

std::size_t local_fleet::busy_engine(milliseconds limit) const
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        for (std::size_t i = 0; i < engines_.size(); ++i)
        {
            auto const answer = http_get(engines_[i].url + "/admin/stats");
            auto const stats =
                nlohmann::json::parse(answer.body, nullptr, false);
            if (stats.is_object() && stats.value("running", 0) > 0)
                return i;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    throw std::runtime_error(
        "no engine started a stream within the time limit");
}

void local_fleet::restart_engine(std::size_t i)
{
    std::string const address = address_of(engines_.at(i).url);
    engines_[i].process.reset(); // frees the port
    engines_[i] = start_standin(
        "engine-" + std::to_string(i + 1), engine_arguments(address));
}

void local_fleet::restart_agent(std::size_t i)
{
    agents_.at(i).process.reset();
    start_agent(i);
}

void local_fleet::restart_router(std::size_t i)
{
    routers_.at(i).process.reset();
    start_router(i);
}

std::unique_ptr<child_process>
local_fleet::start_ctl(std::vector<std::string> arguments) const
{
    arguments.insert(
        arguments.end(), {"--table", table_url_, "--author", "local_fleet"});
    return std::make_unique<child_process>(
        binary_directory_ + "/dotterellock-ctl", arguments,
        directory_ + "/ctl.log");
}

bool local_fleet::stop(milliseconds limit)
{
    std::vector<child_process*> order;
    for (auto& r : routers_)
        order.push_back(r.process.get());
    for (auto& a : agents_)
        order.push_back(a.process.get());
    for (auto& l : links_)
        order.push_back(l.process.get());
    for (auto& e : engines_)
        order.push_back(e.process.get());
    for (auto& s : services_)
        order.push_back(s.process.get());
    order.push_back(table_.get());
    order.push_back(objects_.get());
    bool clean = true;
    for (child_process* const p : order)
    {
        if (p->wait(milliseconds(0)))
            continue; // stopped earlier by the test
        p->signal(SIGTERM);
        clean = p->wait(limit) == 0 && clean;
    }
    return clean;
}

// ---- HTTP -----------------------------------------------------------------

simple_response http_get(std::string const& url)
{
    CURL* const easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    return perform_request(easy);
}

simple_response http_post(
    std::string const& url, std::string const& body,
    std::vector<std::string> const& headers)
{
    CURL* const easy = curl_easy_init();
    curl_slist* list =
        curl_slist_append(nullptr, "Content-Type: application/json");
    for (auto const& line : headers)
        list = curl_slist_append(list, line.c_str());
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(
        easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    auto const response = perform_request(easy);
    curl_slist_free_all(list);
    return response;
}

} // namespace dotterellock::standins
