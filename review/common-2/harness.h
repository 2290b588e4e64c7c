// Small stand-ins for the scripts in review/6 and later: the platform's store,
// runners, and clients, on loopback. One thread serves each connection; the
// gateways are separate processes.
#ifndef REVIEW_2_HARNESS_HPP
#define REVIEW_2_HARNESS_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <tuple>
#include <utility>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline steady::time_point const began = steady::now();

inline double seconds_now()
{
    return std::chrono::duration<double>(steady::now() - began).count();
}

inline void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

/// Exit codes of a script.
enum verdict
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

// Record ---------------------------------------------------------------------

/// Lines of record.txt: seconds since the start, then what was seen.
class record_file
{
public:
    explicit record_file(std::string const& name)
        : file_(std::fopen(name.c_str(), "w"))
    {
    }
    ~record_file()
    {
        if (file_)
            std::fclose(file_);
    }
    __attribute__((format(printf, 2, 3))) void line(char const* format, ...)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        if (!file_)
            return;
        std::fprintf(file_, "%8.3f ", seconds_now());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_;
    std::mutex mutex_;
};

// Sockets --------------------------------------------------------------------

inline sockaddr_in loopback(int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(std::uint16_t(port));
    a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return a;
}

inline int port_of(int fd)
{
    sockaddr_in a{};
    socklen_t size = sizeof a;
    getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
    return ntohs(a.sin_port);
}

/// Ports that are free now, below those that the system gives to outgoing
/// connections.
inline std::vector<int> free_ports(int count)
{
    constexpr int lowest = 12000;
    constexpr int highest = 30000;
    static std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> any(lowest, highest);
    static std::set<int> given;
    std::vector<int> ports;
    while (ports.size() < std::size_t(count))
    {
        int const port = any(random);
        int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto a = loopback(port);
        bool const free =
            bind(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0;
        close(fd);
        if (free && given.insert(port).second)
            ports.push_back(port);
    }
    return ports;
}

inline int connect_to(int port)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto a = loopback(port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0)
    {
        close(fd);
        return -1;
    }
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool send_all(int fd, std::string const& bytes)
{
    std::size_t at = 0;
    while (at < bytes.size())
    {
        auto const n =
            send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        at += std::size_t(n);
    }
    return true;
}

// HTTP -----------------------------------------------------------------------

struct message
{
    std::string first;                          // request or status line
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;

    std::string header(std::string const& name) const
    {
        auto const found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        auto const begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
    int status() const
    {
        return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0;
    }
};

/// Reads one message at a time from a connection.
class reader
{
public:
    explicit reader(int fd) : fd_(fd) {}

    /// False at the end of the connection, or after `timeout_ms` without a byte
    /// (-1: none).
    bool read(message& m, int timeout_ms = -1)
    {
        timeout_ms_ = timeout_ms;
        complete_ = false;
        m = {};
        std::string line;
        if (!read_line(m.first))
            return false;
        while (read_line(line) && !line.empty())
        {
            auto const colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (auto& c : name)
                c = char(std::tolower(c));
            auto const begin = line.find_first_not_of(' ', colon + 1);
            m.headers[name] =
                begin == std::string::npos ? "" : line.substr(begin);
        }
        if (!line.empty())
            return false;
        bool const answer = m.first.compare(0, 5, "HTTP/") == 0;
        if (m.header("transfer-encoding") == "chunked")
            return complete_ = read_chunks(m.body);
        if (m.headers.count("content-length"))
            return complete_ = read_bytes(
                       m.body,
                       std::strtoull(
                           m.header("content-length").c_str(), nullptr, 10));
        if (answer && m.status() != 204 && m.status() != 304)
        {
            while (fill())
            {
            }
            m.body = std::exchange(buffer_, {});
        }
        return complete_ = true;
    }

    bool complete() const { return complete_; } // the last message
    bool buffered() const { return !buffer_.empty(); }

private:
    bool fill()
    {
        pollfd p{fd_, POLLIN, 0};
        if (timeout_ms_ >= 0 && poll(&p, 1, timeout_ms_) <= 0)
            return false;
        char bytes[65536];
        auto const n = recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0)
            return false;
        buffer_.append(bytes, std::size_t(n));
        return true;
    }
    bool read_line(std::string& line)
    {
        std::size_t end;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
        {
            if (!fill())
                return false;
        }
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
    }
    bool read_bytes(std::string& to, std::size_t count)
    {
        while (buffer_.size() < count)
        {
            if (!fill())
            {
                to.append(std::exchange(buffer_, {}));
                return false;
            }
        }
        to.append(buffer_, 0, count);
        buffer_.erase(0, count);
        return true;
    }
    bool read_chunks(std::string& to)
    {
        std::string line;
        while (read_line(line))
        {
            auto const size = std::strtoull(line.c_str(), nullptr, 16);
            if (size == 0)
                return read_line(line);
            if (!read_bytes(to, size) || !read_line(line))
                return false;
        }
        return false;
    }

    int fd_;
    int timeout_ms_ = -1;
    bool complete_ = false;
    std::string buffer_;
};

inline std::string base64(std::string const& bytes)
{
    static char const digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3)
    {
        unsigned v = 0;
        for (std::size_t k = 0; k < 3; ++k)
            v = v << 8 |
                (i + k < bytes.size() ? std::uint8_t(bytes[i + k]) : 0u);
        for (std::size_t k = 0; k < 4; ++k)
            text +=
                i + k <= bytes.size() ? digits[v >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

inline std::string
query_value(std::string const& target, std::string const& name)
{
    for (auto at = target.find('?'); at != std::string::npos;
         at = target.find('&', at + 1))
    {
        if (target.compare(at + 1, name.size() + 1, name + "=") != 0)
            continue;
        auto const begin = at + name.size() + 2;
        auto const text = target.substr(begin, target.find('&', begin) - begin);
        std::string value;
        for (std::size_t i = 0; i < text.size(); ++i)
        {
            bool const escaped = text[i] == '%' && i + 2 < text.size();
            value += escaped ? char(std::strtol(
                                   text.substr(i + 1, 2).c_str(), nullptr, 16))
                             : text[i];
            i += escaped ? 2 : 0;
        }
        return value;
    }
    return "";
}

/// Accepts connections and serves each by a thread of its own.
class server
{
public:
    using connection_handler = std::function<void(int fd)>;

    explicit server(connection_handler handler, int port = 0)
        : handler_(std::move(handler))
    {
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto a = loopback(port);
        if (bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 ||
            listen(fd_, 1024) != 0)
            std::perror("listen");
        port_ = port_of(fd_);
        std::thread(
            [this]
            {
                for (;;)
                {
                    int const c = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
                    if (c < 0)
                        return;
                    int const no_delay = 1;
                    setsockopt(
                        c, IPPROTO_TCP, TCP_NODELAY, &no_delay,
                        sizeof no_delay);
                    std::thread(
                        [this, c]
                        {
                            handler_(c);
                            close(c);
                        })
                        .detach();
                }
            })
            .detach();
    }
    int port() const { return port_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    connection_handler handler_;
    int fd_ = -1;
    int port_ = 0;
};

// Store ----------------------------------------------------------------------

/// The platform's store: /rows-get, /rows-feed and /rows-tx.
class store
{
public:
    store() : server_([this](int fd) { serve(fd); }) {}

    std::string address() const { return server_.address(); }

    /// Writes a row as the operator or a runner does. The return is the
    /// acknowledgement.
    void
    put(std::string const& table, std::string const& key,
        std::string const& json, std::string const& part = "")
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        set({table, part, key}, base64(json), false);
    }
    void remove(
        std::string const& table, std::string const& key,
        std::string const& part = "")
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        set({table, part, key}, "", true);
    }

    /// Keeps a copy of the rows and the version, as for a backup.
    void back_up()
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        backup_ = rows_;
        backup_version_ = version_;
    }

    /// The store is away for a moment and comes back from the backup: versions
    /// go back, and Store-Era rises by one.
    void restore(int away_ms)
    {
        away_ = true;
        {
            std::lock_guard<std::mutex> const lock(mutex_);
            changed_.notify_all();
        }
        sleep_ms(away_ms);
        std::lock_guard<std::mutex> const lock(mutex_);
        rows_ = backup_;
        version_ = backup_version_;
        ++era_;
        away_ = false;
        changed_.notify_all();
    }

private:
    using row_key =
        std::tuple<std::string, std::string, std::string>; // table, part, key
    struct row
    {
        std::string value; // base64
        std::uint64_t version = 0;
        bool deleted = false;
    };

    void set(row_key const& key, std::string const& value, bool deleted)
    {
        rows_[key] = {value, ++version_, deleted};
        changed_.notify_all();
    }

    static std::string text(row_key const& key, row const& r)
    {
        return "{\"table\":\"" + std::get<0>(key) + "\",\"part\":\"" +
               std::get<1>(key) + "\",\"key\":\"" + std::get<2>(key) +
               "\",\"ver\":" + std::to_string(r.version) +
               (r.deleted ? ",\"isDeleted\":true}"
                          : ",\"value\":\"" + r.value + "\"}");
    }

    std::string tail() const
    {
        auto const now =
            std::chrono::duration_cast<milliseconds>(steady::now() - began)
                .count() +
            50000;
        return "\"ver\":" + std::to_string(version_) +
               ",\"nowMs\":" + std::to_string(now) + "}";
    }

    void serve(int fd)
    {
        reader in(fd);
        message m;
        while (in.read(m))
        {
            int status = 200;
            int const era = era_;
            std::string const body = answer(m, status);
            // What was asked before the store was restored gets no answer.
            if (away_ || era != era_)
                return;
            if (!send_all(
                    fd,
                    "HTTP/1.1 " + std::to_string(status) +
                        " OK\r\nContent-Type: application/json\r\nStore-Era: " +
                        std::to_string(era) + "\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::string answer(message const& m, int& status)
    {
        auto const target = m.target();
        auto const path = target.substr(0, target.find('?'));
        if (path == "/rows-get")
            return list(target);
        if (path == "/rows-feed")
            return feed(target, status);
        if (path == "/rows-tx")
            return commit(m.body, status);
        status = 404;
        return "{}";
    }

    std::string list(std::string const& target)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const table = query_value(target, "table");
        auto const part = query_value(target, "part");
        auto const from = query_value(target, "fromRev");
        auto const limit = query_value(target, "limit");
        std::size_t left =
            limit.empty() ? 500 : std::strtoul(limit.c_str(), nullptr, 10);
        std::string rows;
        bool more = false;
        for (auto const& [key, r] : rows_)
        {
            if (std::get<0>(key) != table || std::get<1>(key) != part ||
                std::get<2>(key) < from || r.deleted)
                continue;
            more = left == 0;
            if (more)
                break;
            rows += (rows.empty() ? "" : ",") + text(key, r);
            --left;
        }
        return "{\"rows\":[" + rows +
               "],\"hasMore\":" + (more ? "true," : "false,") + tail();
    }

    std::string feed(std::string const& target, int& status)
    {
        auto const table = query_value(target, "table");
        auto const after =
            std::strtoull(query_value(target, "afterRev").c_str(), nullptr, 10);
        auto const wait =
            milliseconds(std::atoi(query_value(target, "waitMs").c_str()));
        auto const end = steady::now() + wait;
        std::unique_lock<std::mutex> lock(mutex_);
        int const era = era_;
        if (after > version_)
        {
            status = 410;
            return "{" + tail();
        }
        for (;;)
        {
            if (away_ || era != era_)
                return "{}"; // not sent
            std::map<std::uint64_t, std::string> changes;
            for (auto const& [key, r] : rows_)
            {
                if (std::get<0>(key) == table && r.version > after)
                    changes[r.version] = text(key, r);
            }
            if (!changes.empty() || steady::now() >= end)
            {
                std::string rows;
                for (auto const& [version, row] : changes)
                    rows += (rows.empty() ? "" : ",") + row;
                return "{\"rows\":[" + rows + "]," + tail();
            }
            changed_.wait_until(lock, end);
        }
    }

    static std::string field(std::string const& object, std::string const& name)
    {
        auto const at = object.find("\"" + name + "\":");
        if (at == std::string::npos)
            return "";
        auto begin = at + name.size() + 3;
        bool const quoted = object[begin] == '"';
        begin += quoted ? 1 : 0;
        return object.substr(
            begin, object.find_first_of(quoted ? "\"" : ",}]", begin) - begin);
    }
    static std::vector<std::string>
    objects(std::string const& body, std::string const& name)
    {
        std::vector<std::string> found;
        auto const at = body.find("\"" + name + "\":[");
        if (at == std::string::npos)
            return found;
        auto const end = body.find(']', at);
        for (auto b = body.find('{', at); b < end; b = body.find('{', b + 1))
            found.push_back(body.substr(b, body.find('}', b) - b + 1));
        return found;
    }

    std::string commit(std::string const& body, int& status)
    {
        std::lock_guard<std::mutex> const lock(mutex_);
        auto const key_of = [](std::string const& o) {
            return row_key{
                field(o, "table"), field(o, "part"), field(o, "key")};
        };
        for (auto const& o : objects(body, "expectedRev"))
        {
            auto const found = rows_.find(key_of(o));
            bool const exists = found != rows_.end() && !found->second.deleted;
            if ((exists ? found->second.version : 0) ==
                std::strtoull(field(o, "ver").c_str(), nullptr, 10))
                continue;
            status = 412;
            return "{\"rows\":[" +
                   (exists ? text(found->first, found->second) : "") + "]," +
                   tail();
        }
        for (auto const& o : objects(body, "writes"))
            set(key_of(o), field(o, "value"), false);
        for (auto const& o : objects(body, "deletes"))
            set(key_of(o), "", true);
        return "{" + tail();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::map<row_key, row> backup_;
    std::uint64_t version_ = 100;
    std::uint64_t backup_version_ = 100;
    std::atomic<int> era_{1};
    std::atomic<bool> away_{false};
    server server_;
};

// Runners --------------------------------------------------------------------

inline std::string answer_to(
    message const& request, std::string const& body,
    std::string const& more_headers = "")
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + request.header("request-id") +
           "\r\nResponse-Seal: seal\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class runner
{
public:
    /// Answers a request; returns false to close the connection.
    using behaviour =
        std::function<bool(runner& self, message const& request, int fd)>;

    runner(std::string id, std::string service, behaviour does)
        : id_(std::move(id)), service_(std::move(service)),
          does_(std::move(does)), server_([this](int fd) { serve(fd); })
    {
    }

    std::string const& id() const { return id_; }
    int port() const { return server_.port(); }

    /// Its entry in the list of runners.
    std::string row(std::string const& state = "ready") const
    {
        return "{\"service\":\"" + service_ + "\",\"address\":\"" +
               server_.address() +
               "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":64,\"state\":"
               "\"" +
               state +
               "\",\"coldLeftMs\":0,\"seqNo\":4,\"born\":1700000000000}";
    }

private:
    void serve(int fd)
    {
        reader in(fd);
        message m;
        while (in.read(m))
        {
            auto const expected = m.header("expect-instance");
            if (!expected.empty() && expected != id_)
            {
                send_all(
                    fd, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " +
                            m.header("request-id") + "\r\nInstance-Id: " + id_ +
                            "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!does_(*this, m, fd))
                return;
        }
    }

    std::string const id_;
    std::string const service_;
    behaviour const does_;
    server server_;
};

// Configuration --------------------------------------------------------------

struct route
{
    std::string name, prefix, service, type = "safe";
    int timeout_ms = 4000, target_ms = 250, attempts = 3;
    std::string more = ""; // further fields, with a leading comma
    bool anonymous = true;
};

inline std::string configuration(
    int version, std::vector<route> const& routes,
    std::vector<std::string> const& services, std::string const& tenants = "")
{
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < routes.size(); ++i)
    {
        auto const& r = routes[i];
        text += std::string(i ? "," : "") + "{\"name\":\"" + r.name +
                "\",\"host\":\"desk.example\",\"prefix\":\"" + r.prefix +
                "\",\"routeType\":\"" + r.type +
                "\",\"timeoutMs\":" + std::to_string(r.timeout_ms) +
                ",\"targetLatencyMs\":" + std::to_string(r.target_ms) +
                ",\"priority\":1,\"service\":\"" + r.service +
                "\",\"maxAttempts\":" + std::to_string(r.attempts) +
                ",\"anonymous\":" + (r.anonymous ? "true" : "false") +
                ",\"sticky\":false" + r.more + "}";
    }
    text += "],\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i)
        text += std::string(i ? "," : "") + services[i];
    text += "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
    return text + (tenants.empty() ? "" : ",\"tenants\":" + tenants) + "}";
}

inline std::string plain_service(std::string const& name, int connections = 300)
{
    return "{\"name\":\"" + name +
           "\",\"healthPath\":\"/health\",\"maxConns\":" +
           std::to_string(connections) + ",\"protocol\":\"h1\",\"tls\":false}";
}

// Gateways -------------------------------------------------------------------

/// The deployed program with rendered settings. Ends with this process.
class gateway
{
public:
    gateway(
        std::string const& repository, std::string const& directory,
        store const& s, std::string const& name, int memory_mb,
        bool first_start = true)
        : repository_(repository), directory_(directory), name_(name)
    {
        auto const ports = free_ports(4);
        listen = ports[0];
        ready_port_ = ports[1];
        auto const at = [](int port)
        { return "\"127.0.0.1:" + std::to_string(port) + "\"\n"; };
        std::ofstream out(settings());
        out << "host: \"" << name
            << "\"\navailability_zone: \"z1\"\nregions:\n  z1: \"r1\"\n"
            << "listen: " << at(ports[0]) << "status_listen: " << at(ports[1])
            << "metrics_listen: " << at(ports[2])
            << "peer_listen: " << at(ports[3]) << "store: \"" << s.address()
            << "\"\n"
            << "key_withdrawal_bound_ms: 5000\ndrain_bound_ms: "
               "2500\nshutdown_grace_s: 8\nfirst_start: "
            << (first_start ? "true" : "false")
            << "\nretries:\n  ratio: 0.8\n  window_s: 10\n  allowance: 150\n"
            << "memory_mb: " << memory_mb << "\nmax_descriptors: 4100\n";
    }
    ~gateway() { stop(); }

    int listen = 0;

    void start()
    {
        auto const log = directory_ + "/" + name_ + ".log";
        auto const variable = "DOTTERELLOCK_CONFIG=" + settings();
        std::string const path =
            std::string("PATH=") +
            (std::getenv("PATH") ? std::getenv("PATH") : "");
        pid_ = fork();
        if (pid_ != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        int const out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        if (chdir(repository_.c_str()) != 0)
            _exit(127);
        char const* const environment[] = {
            variable.c_str(), path.c_str(), nullptr};
        char const* const arguments[] = {
            "target/dotterellock-gateway", nullptr};
        execve(
            arguments[0], const_cast<char**>(arguments),
            const_cast<char**>(environment));
        _exit(127);
    }

    void signal(int number) const { kill(pid_, number); }
    pid_t pid() const { return pid_; }

    bool running() { return pid_ > 0 && waitpid(pid_, &status_, WNOHANG) == 0; }

    void stop()
    {
        if (pid_ <= 0)
            return;
        kill(pid_, SIGKILL);
        waitpid(pid_, &status_, 0);
        pid_ = -1;
    }

    bool is_ready() const
    {
        int const fd = connect_to(ready_port_);
        if (fd < 0)
            return false;
        message m;
        bool const ok =
            send_all(fd, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n") &&
            reader(fd).read(m, 1000) && m.status() == 200;
        close(fd);
        return ok;
    }
    bool wait_ready() const
    {
        for (int i = 0; i < 200; ++i, sleep_ms(50))
        {
            if (is_ready())
                return true;
        }
        return false;
    }

private:
    std::string settings() const { return directory_ + "/" + name_ + ".yaml"; }

    std::string const repository_;
    std::string const directory_;
    std::string const name_;
    int ready_port_ = 0;
    pid_t pid_ = -1;
    int status_ = 0;
};

// Clients --------------------------------------------------------------------

inline std::string new_id()
{
    static std::atomic<unsigned> next{0};
    static unsigned const run =
        unsigned(steady::now().time_since_epoch().count());
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", run, ++next);
    return text;
}

inline std::string request_text(
    std::string const& method, std::string const& target, std::string const& id,
    int deadline_ms, std::string const& more_headers = "",
    std::string const& body = "")
{
    return method + ' ' + target +
           " HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: " + id +
           "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n" +
           more_headers +
           (body.empty()
                ? ""
                : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
           "\r\n" + body;
}

/// A new directory that is removed with its contents.
class temporary_directory
{
public:
    temporary_directory()
    {
        char name[] = "/tmp/review-2-XXXXXX";
        if (mkdtemp(name))
            name_ = name;
    }
    ~temporary_directory()
    {
        std::error_code ignored;
        if (!name_.empty())
            std::filesystem::remove_all(name_, ignored);
    }
    std::string const& name() const { return name_; }

private:
    std::string name_;
};

inline bool with_trouble()
{
    char const* const text = std::getenv("TROUBLE");
    return text == nullptr || std::strcmp(text, "0") != 0;
}

/// Runs a case: `run` gets the repository and the record. Ends the process
/// without waiting for the threads of the stand-ins.
[[noreturn]] inline void run_case(
    int argc, char** argv,
    std::function<
        verdict(std::string const& repository, record_file& record)> const& run)
{
    if (argc != 3)
        _exit(could_not_run);
    verdict v;
    {
        record_file record(argv[2]);
        v = run(argv[1], record);
        char const* const texts[] = {
            "the rule held", "THE RULE WAS BROKEN", "the case could not run"};
        record.line("%s", texts[v]);
        std::printf("%s\n", texts[v]);
    }
    std::fflush(nullptr);
    _exit(v);
}

} // namespace review

#endif
