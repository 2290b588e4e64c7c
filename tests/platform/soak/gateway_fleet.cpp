#include "gateway_fleet.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <unistd.h>

#include <fmt/format.h>

#include "relay/connection_pool.hpp"

namespace dotterellock::soak
{

namespace
{

using standins::after;

constexpr milliseconds readiness_timeout{1000};
constexpr milliseconds readiness_interval{200};
constexpr std::size_t zones = 3;

// Ports outside the ephemeral range, on loopback addresses derived from this
// process id, so that no other process can bind them while a gateway is down.
constexpr int caller_port = 8001;
constexpr int status_port = 8002;
constexpr int peer_port = 8003;

std::string loopback_address(std::size_t gateway, int port)
{
    auto const pid = unsigned(::getpid());
    return fmt::format(
        "127.{}.{}.{}:{}", 1 + (pid >> 8) % 250, pid % 256, 1 + gateway, port);
}

// Outlives the connections, which the I/O context holds to its end.
memory_budget query_memory(1u << 20);

/// Queries the readiness of a gateway once.
class readiness_query : public response_handler,
                        public std::enable_shared_from_this<readiness_query>
{
public:
    readiness_query(
        asio::io_context& io, clock_source const& clock,
        std::function<void(bool)> done)
        : connection_(std::make_shared<http_connection>(
              io, clock, query_memory, memory_use::peers)),
          done_(std::move(done))
    {
    }

    void start(asio::io_context& io, std::string const& address)
    {
        self_ = shared_from_this();
        connection_->send(
            *parse_address(address),
            {"GET /readiness HTTP/1.1\r\nHost: status\r\n\r\n", nullptr},
            *this);
        after(
            io, readiness_timeout,
            [self = std::weak_ptr<readiness_query>(self_)]
            {
                if (auto const c = self.lock())
                    c->finish(false);
            });
    }

    void on_response_head(message_head head) override
    {
        ready_ = head.status == 200;
    }
    void on_response_body(std::string_view) override {}
    void on_response_complete() override { finish(ready_); }
    void on_failure(connection_failure) override { finish(false); }

private:
    void finish(bool ready)
    {
        if (!self_)
            return;
        auto const keep = std::move(self_);
        self_.reset();
        connection_->abandon();
        done_(ready);
    }

    std::shared_ptr<http_connection> connection_;
    std::function<void(bool)> done_;
    std::shared_ptr<readiness_query> self_;
    bool ready_ = false;
};

} // namespace

gateway_fleet::gateway_fleet(
    asio::io_context& io, clock_source const& clock, history& h,
    gateway_program program, std::vector<std::string> const& stores)
    : io_(io), clock_(clock), history_(h), program_(std::move(program))
{
    for (auto const& store : stores)
    {
        auto m = std::make_unique<member>();
        m->listen = loopback_address(members_.size(), caller_port);
        m->status_listen = loopback_address(members_.size(), status_port);
        m->peer_listen = loopback_address(members_.size(), peer_port);
        m->caller_link = make_link(m->listen);
        m->store_link = make_link(store);
        members_.push_back(std::move(m));
    }
}

gateway_fleet::~gateway_fleet() = default;

std::unique_ptr<standins::link_standin>
gateway_fleet::make_link(std::string const& target)
{
    standins::link_settings settings;
    settings.target = *parse_address(target);
    return std::make_unique<standins::link_standin>(
        io_,
        asio::ip::tcp::acceptor(
            io_, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        settings);
}

std::string gateway_fleet::address(std::size_t i) const
{
    return members_[i]->caller_link->address();
}

standins::link_standin& gateway_fleet::caller_link(std::size_t i)
{
    return *members_[i]->caller_link;
}

standins::link_standin& gateway_fleet::store_link(std::size_t i)
{
    return *members_[i]->store_link;
}

void gateway_fleet::write_settings(std::size_t i, bool broken)
{
    auto const file =
        program_.directory + "/gateway-" + std::to_string(i) + ".yaml";
    // Renaming is atomic: a starting process never reads a partial file.
    std::ofstream(file + ".new") << settings_text(i, broken);
    std::filesystem::rename(file + ".new", file);
}

std::string gateway_fleet::settings_text(std::size_t i, bool broken)
{
    if (broken)
        return "host: [\n";
    auto& m = *members_[i];
    std::ostringstream out;
    out << "host: gateway-" << i << "\navailability_zone: z" << i % zones
        << "\nregions:\n";
    for (std::size_t z = 0; z < zones; ++z)
        out << "  z" << z << ": r" << z / 2 << '\n';
    out << "listen: " << m.listen << "\nstatus_listen: " << m.status_listen
        << "\npeer_listen: " << m.peer_listen
        << "\nstore: " << m.store_link->address()
        << "\nkey_withdrawal_bound_ms: "
        << history_.key_withdrawal_bound.count()
        << "\ndrain_bound_ms: " << history_.drain_bound.count()
        << "\nshutdown_grace_s: "
        << double(history_.shutdown_grace.count()) / 1000
        << "\nfirst_start: " << (m.process == 0 ? "true" : "false")
        << "\nretries:\n  ratio: " << history_.retry_ratio
        << "\n  window_s: " << double(history_.retry_window.count()) / 1000
        << "\n  allowance: " << history_.retry_allowance
        << "\nrollouts:\n  exposure_share: " << history_.exposure_share
        << "\n  exposure_slack: " << history_.exposure_slack
        << "\n  rollback_bound_ms: " << history_.rollback_bound.count()
        << "\nlog_lines_per_second: " << 400 + m.settings++ << '\n';
    return out.str();
}

void gateway_fleet::start(std::size_t i)
{
    auto& m = *members_[i];
    if (m.child)
        return;
    write_settings(i, false);
    auto const name = program_.directory + "/gateway-" + std::to_string(i);
    auto arguments = program_.arguments;
    arguments.push_back(name + ".yaml");
    process_record record;
    record.gateway = i;
    record.process = ++m.process;
    record.started = clock_.now();
    m.record = history_.processes.size();
    history_.processes.push_back(record);
    m.child = std::make_unique<standins::child_process>(
        program_.path, arguments,
        name + '-' + std::to_string(m.process) + ".log");
}

void gateway_fleet::signal(std::size_t i, int number)
{
    auto& m = *members_[i];
    if (!m.child)
        return;
    auto& record = history_.processes[m.record];
    if (number == SIGTERM && !record.stop_requested)
        record.stop_requested = clock_.now();
    if (number == SIGKILL)
        record.killed = clock_.now();
    m.child->signal(number);
}

void gateway_fleet::poll()
{
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        auto& m = *members_[i];
        if (!m.child)
            continue;
        if (auto const status = m.child->wait(milliseconds(0)))
        {
            auto& record = history_.processes[m.record];
            record.ended = clock_.now();
            record.exit_status = *status;
            m.child.reset();
            m.ready = false;
            continue;
        }
        if (!m.readiness_pending)
            query_readiness(i);
    }
}

void gateway_fleet::query_readiness(std::size_t i)
{
    auto& m = *members_[i];
    m.readiness_pending = true;
    std::make_shared<readiness_query>(
        io_, clock_,
        [this, i](bool ready)
        {
            members_[i]->ready = ready;
            after(
                io_, readiness_interval,
                [this, i] { members_[i]->readiness_pending = false; });
        })
        ->start(io_, m.status_listen);
}

} // namespace dotterellock::soak
