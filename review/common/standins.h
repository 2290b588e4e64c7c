// Stand-ins of the review: the platform's store, plain HTTP servers and
// clients, each connection on a thread of its own. Loopback only.
#ifndef REVIEW_COMMON_STANDINS_H
#define REVIEW_COMMON_STANDINS_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace review
{

using json = nlohmann::json;
using clock_type = std::chrono::steady_clock;

inline clock_type::time_point const start_time = clock_type::now();

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               clock_type::now() - start_time)
        .count();
}

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Record ---------------------------------------------------------------------

/// Appends lines with the time in milliseconds to record.txt.
class record_file
{
public:
    explicit record_file(std::string const& path) : out_(path) {}

    void line(std::string const& text)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        out_ << now_ms() << " ms " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream out_;
};

// Sockets --------------------------------------------------------------------

inline sockaddr_in loopback(int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    a.sin_port = htons(std::uint16_t(port));
    return a;
}

/// Opens a listener on a free port, or on `port`.
inline int open_listener(int& port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto a = loopback(port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 ||
        ::listen(fd, 512) != 0)
    {
        std::perror("listen");
        std::exit(2);
    }
    socklen_t n = sizeof a;
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
    port = ntohs(a.sin_port);
    return fd;
}

/// A port that is free now.
inline int free_port()
{
    int port = 0;
    ::close(open_listener(port));
    return port;
}

inline int connect_to(int port)
{
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto a = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0)
    {
        ::close(fd);
        return -1;
    }
    int const on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string const& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        auto const n =
            ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        done += std::size_t(n);
    }
    return true;
}

// HTTP -----------------------------------------------------------------------

struct message
{
    std::string start;                          // first line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    bool complete = false;  // its framing says that it ended
    bool malformed = false; // bytes that are no message

    std::string header(std::string const& name) const
    {
        auto const found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    int status() const
    {
        return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0;
    }
    std::string target() const
    {
        auto const a = start.find(' ');
        auto const b = start.rfind(' ');
        return a == std::string::npos || b <= a
                   ? std::string()
                   : start.substr(a + 1, b - a - 1);
    }
};

/// Reads messages from a socket.
class message_reader
{
public:
    explicit message_reader(int fd) : fd_(fd) {}

    /// Reads one message. `response` without framing ends with the connection.
    /// @param head_only  the response to a HEAD request
    message read(bool response, int timeout_ms = 60000, bool head_only = false)
    {
        deadline_ = now_ms() + timeout_ms;
        message m;
        std::string line;
        do
        {
            if (!read_line(line))
                return m;
        } while (line.empty());
        m.start = line;
        if (response && line.rfind("HTTP/1.", 0) != 0)
        {
            m.malformed = true;
            return m;
        }
        while (true)
        {
            if (!read_line(line))
                return m;
            if (line.empty())
                break;
            auto const colon = line.find(':');
            std::string name = line.substr(0, colon);
            std::transform(
                name.begin(), name.end(), name.begin(),
                [](unsigned char c) { return char(std::tolower(c)); });
            auto const value = colon == std::string::npos
                                   ? line.size()
                                   : line.find_first_not_of(' ', colon + 1);
            m.headers[name] =
                value == std::string::npos ? "" : line.substr(value);
        }
        bool const interim = response && m.status() < 200;
        if (head_only || interim || (response && m.status() == 204))
        {
            m.complete = true;
            return m;
        }
        if (m.header("transfer-encoding") == "chunked")
        {
            while (read_line(line))
            {
                std::size_t const size =
                    std::strtoul(line.c_str(), nullptr, 16);
                if (!read_bytes(size, m.body) || !read_line(line))
                    return m;
                if (size == 0)
                {
                    m.complete = true;
                    return m;
                }
            }
            return m;
        }
        if (m.headers.count("content-length") != 0)
        {
            m.complete = read_bytes(
                std::strtoul(m.header("content-length").c_str(), nullptr, 10),
                m.body);
            return m;
        }
        if (!response)
        {
            m.complete = true;
            return m;
        }
        while (fill())
            m.body.append(std::exchange(buffer_, {}));
        m.body.append(std::exchange(buffer_, {}));
        m.complete = orderly_end_;
        return m;
    }

    bool ended() const { return ended_; }

    /// Whether bytes were received that no message has used.
    bool has_rest() const { return !buffer_.empty(); }

private:
    bool fill()
    {
        if (ended_)
            return false;
        pollfd p{fd_, POLLIN, 0};
        auto const left = deadline_ - now_ms();
        if (left <= 0 || ::poll(&p, 1, int(left)) <= 0)
            return false;
        char bytes[16384];
        auto const n = ::recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
        {
            ended_ = true;
            orderly_end_ = n == 0;
            return false;
        }
        buffer_.append(bytes, std::size_t(n));
        return true;
    }

    bool read_line(std::string& line)
    {
        std::size_t end;
        while ((end = buffer_.find('\n')) == std::string::npos)
        {
            if (!fill())
                return false;
        }
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 1);
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        return true;
    }

    bool read_bytes(std::size_t n, std::string& to)
    {
        while (buffer_.size() < n)
        {
            if (!fill())
            {
                to += std::exchange(buffer_, {});
                return false;
            }
        }
        to.append(buffer_, 0, n);
        buffer_.erase(0, n);
        return true;
    }

    int const fd_;
    std::int64_t deadline_ = 0;
    std::string buffer_;
    bool ended_ = false;
    bool orderly_end_ = false;
};

/// Accepts connections until the process ends, each handled on a thread.
class server
{
public:
    using connection_handler = std::function<void(int fd)>;

    explicit server(connection_handler handler, int port = 0)
        : handler_(std::move(handler)), port_(port)
    {
        fd_ = open_listener(port_);
        std::thread(
            [this]
            {
                while (true)
                {
                    int const c =
                        ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                    if (c < 0)
                        return;
                    int const on = 1;
                    ::setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                    std::thread(
                        [this, c]
                        {
                            handler_(c);
                            ::close(c);
                        })
                        .detach();
                }
            })
            .detach();
    }

    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    connection_handler const handler_;
    int port_;
    int fd_ = -1;
};

// Store ----------------------------------------------------------------------

inline std::string base64(std::string const& in)
{
    static char const* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        std::uint32_t v = 0;
        for (std::size_t k = 0; k < 3; ++k)
            v = v << 8 | (i + k < in.size() ? (unsigned char)in[i + k] : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            out += i + k > in.size() ? '=' : digits[v >> (18 - 6 * k) & 63];
    }
    return out;
}

/// The platform's store as PROTOCOL.md tells it: linearizable, no call lost.
class store
{
public:
    store() : server_([this](int fd) { serve(fd); }) {}

    std::string address() const { return server_.address(); }

    /// Writes a row, given as text; returns its version.
    std::uint64_t
    put(std::string const& table, std::string const& key, json const& value)
    {
        return write(table, key, base64(value.dump()), false);
    }

    std::uint64_t remove(std::string const& table, std::string const& key)
    {
        return write(table, key, {}, true);
    }

private:
    struct row
    {
        std::string value; // base64
        std::uint64_t version = 0;
        bool deleted = false;
    };

    std::uint64_t write(
        std::string const& table, std::string const& key,
        std::string const& value, bool deleted)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        rows_[{table, key}] = {value, ++version_, deleted};
        changed_.notify_all();
        return version_;
    }

    static std::map<std::string, std::string> query(std::string const& target)
    {
        std::map<std::string, std::string> q;
        auto const mark = target.find('?');
        std::istringstream in(
            mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string part;
        while (std::getline(in, part, '&'))
        {
            auto const eq = part.find('=');
            q[part.substr(0, eq)] =
                eq == std::string::npos ? "" : part.substr(eq + 1);
        }
        return q;
    }

    json to_json(
        std::string const& table, std::string const& key, row const& r) const
    {
        json j = {
            {"table", table},
            {"part", ""},
            {"key", key},
            {"value", r.value},
            {"ver", r.version}};
        if (r.deleted)
            j["isDeleted"] = true;
        return j;
    }

    json answer(json rows)
    {
        return {
            {"rows", std::move(rows)},
            {"hasMore", false},
            {"ver", version_},
            {"nowMs", now_ms() + 50000}};
    }

    void serve(int fd)
    {
        message_reader in(fd);
        while (true)
        {
            auto const m = in.read(false, 600000);
            if (!m.complete)
                return;
            auto const target = m.target();
            auto const path = target.substr(0, target.find('?'));
            auto q = query(target);
            json body;
            std::unique_lock<std::mutex> lock(mutex_);
            if (path == "/rows-get")
            {
                json rows = json::array();
                for (auto const& [id, r] : rows_)
                {
                    if (id.first == q["table"] && !r.deleted &&
                        id.second >= q["fromRev"])
                        rows.push_back(to_json(id.first, id.second, r));
                }
                body = answer(rows);
            }
            else if (path == "/rows-feed")
            {
                std::uint64_t const after =
                    std::strtoull(q["afterRev"].c_str(), nullptr, 10);
                auto const until =
                    clock_type::now() +
                    std::chrono::milliseconds(std::atoi(q["waitMs"].c_str()));
                auto const news = [&]
                {
                    std::map<std::uint64_t, json> ordered;
                    for (auto const& [id, r] : rows_)
                    {
                        if (id.first == q["table"] && r.version > after)
                            ordered[r.version] =
                                to_json(id.first, id.second, r);
                    }
                    json rows = json::array();
                    for (auto const& entry : ordered)
                        rows.push_back(entry.second);
                    return rows;
                };
                json rows = news();
                while (rows.empty() && changed_.wait_until(lock, until) !=
                                           std::cv_status::timeout)
                    rows = news();
                body = answer(news());
            }
            else if (path == "/rows-tx")
            {
                auto const tx = json::parse(m.body, nullptr, false);
                ++version_;
                if (tx.is_object() && tx.contains("writes"))
                {
                    for (auto const& w : tx["writes"])
                        rows_[{w.value("table", ""), w.value("key", "")}] = {
                            w.value("value", ""), version_, false};
                }
                if (tx.is_object() && tx.contains("deletes"))
                {
                    for (auto const& w : tx["deletes"])
                        rows_[{w.value("table", ""), w.value("key", "")}] = {
                            "", version_, true};
                }
                changed_.notify_all();
                body = {{"ver", version_}, {"nowMs", now_ms() + 50000}};
            }
            lock.unlock();
            auto const text = body.dump();
            if (!send_all(
                    fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json"
                        "\r\nContent-Length: " +
                            std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 0;
    server server_;
};

// Gateway --------------------------------------------------------------------

/// Processes of gateways that have not been waited for.
inline std::set<pid_t>& started_gateways()
{
    static std::set<pid_t> pids;
    return pids;
}

/// The deployed gateway as a process of its own, started with the command of
/// deploy/system.toml and with settings like those that the platform renders
/// from deploy/gateway.yaml.in.
class gateway
{
public:
    gateway(
        std::string const& store_address, std::string const& folder,
        std::string const& name = "front-1", bool first_start = true,
        std::string const& zone = "zone-a")
        : front_(free_port()), ready_(free_port()),
          file_(folder + "/" + name + ".yaml"),
          log_(folder + "/" + name + ".log")
    {
        std::ofstream(file_)
            << "host: \"" << name << "\"\navailability_zone: \"" << zone
            << "\"\nregions:\n  zone-a: \"region-a\"\n  zone-b: \"region-a\"\n"
            << "listen: \"127.0.0.1:" << front_ << "\"\nstatus_listen: "
            << "\"127.0.0.1:" << ready_
            << "\"\nmetrics_listen: \"127.0.0.1:" << free_port()
            << "\"\npeer_listen: \"127.0.0.1:" << free_port() << "\"\nstore: \""
            << store_address
            << "\"\nkey_withdrawal_bound_ms: 5000\ndrain_bound_ms: 2500\n"
            << "shutdown_grace_s: 8\nfirst_start: "
            << (first_start ? "true" : "false")
            << "\nretries:\n  ratio: 0.8\n  window_s: 10\n  allowance: 150\n"
            << "memory_mb: 110\nmax_descriptors: 4100\n";
        start();
    }

    ~gateway() { kill(); }

    void start()
    {
        pid_ = ::fork();
        if (pid_ == 0)
        {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case
            ::setenv("DOTTERELLOCK_CONFIG", file_.c_str(), 1);
            if (std::freopen(log_.c_str(), "a", stdout) == nullptr)
                ::_exit(126);
            ::execl(
                "target/dotterellock-gateway", "target/dotterellock-gateway",
                static_cast<char*>(nullptr));
            ::_exit(127);
        }
        started_gateways().insert(pid_);
    }

    void signal(int number) const { ::kill(pid_, number); }

    void kill()
    {
        if (pid_ <= 0)
            return;
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        started_gateways().erase(pid_);
        pid_ = -1;
    }

    /// Whether the process ended by itself.
    bool ended()
    {
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_)
        {
            started_gateways().erase(pid_);
            pid_ = -1;
            exit_status_ = status;
        }
        return pid_ <= 0;
    }

    pid_t pid() const { return pid_; }
    int exit_status() const { return exit_status_; }
    int front() const { return front_; }

    /// Waits until the readiness check succeeds.
    bool wait_ready(int timeout_ms = 10000)
    {
        auto const until = now_ms() + timeout_ms;
        while (now_ms() < until)
        {
            if (is_ready())
                return true;
            sleep_ms(50);
        }
        return false;
    }

    bool is_ready() const
    {
        int const fd = connect_to(ready_);
        if (fd < 0)
            return false;
        send_all(fd, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        message_reader in(fd);
        bool const ready = in.read(true, 1000).status() == 200;
        ::close(fd);
        return ready;
    }

private:
    int const front_;
    int const ready_;
    std::string const file_;
    std::string const log_;
    pid_t pid_ = -1;
    int exit_status_ = 0;
};

// Documents ------------------------------------------------------------------

/// The Unix millisecond, for the start of a server.
inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline json
endpoint_row(std::string const& service, std::string const& address, int slots)
{
    return {{"service", service}, {"address", address}, {"zone", "zone-a"},
            {"version", "v1"},    {"slots", slots},     {"state", "ready"},
            {"coldLeftMs", 0},    {"seqNo", 1},         {"born", unix_ms()}};
}

inline json default_limits()
{
    return {
        {"maxHeaderBytes", 16384},
        {"maxBodyBytes", 4194304},
        {"headerTimeoutMs", 3000},
        {"idleTimeoutMs", 15000}};
}

/// Ends the case and the gateways that it started.
[[noreturn]] inline void end_case(int status)
{
    for (auto const pid : started_gateways())
    {
        ::kill(pid, SIGKILL);
        ::waitpid(pid, nullptr, 0);
    }
    std::fflush(nullptr);
    std::_Exit(status);
}

/// A case's arguments: its folder for record.txt, a temporary folder.
struct case_arguments
{
    std::string folder;
    std::string scratch;
    bool trouble = true;

    case_arguments(int argc, char** argv)
    {
        ::alarm(115); // no case may take longer
        if (argc < 3)
            std::exit(2);
        folder = argv[1];
        scratch = argv[2];
        auto const* const t = std::getenv("TROUBLE");
        trouble = t == nullptr || std::string(t) != "0";
    }
};

} // namespace review

#endif
