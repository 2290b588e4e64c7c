// The operator takes away the only tenant's keys by removing the tenant. From
// revokeMs after the store's acknowledgement on, no request that needs a key
// may run.
#include "../common/standins.h"

#include <set>

using namespace review;

namespace
{

constexpr int revoke_ms = 5000; // bound of the settings
constexpr int margin_ms = 1000; // beyond it

json configuration(int version, json const& tenants)
{
    return {
        {"version", version},
        {"routes",
         {{{"name", "r-book"},
           {"host", "shop.example"},
           {"prefix", "/book/"},
           {"service", "till"},
           {"routeType", "unsafe"},
           {"timeoutMs", 4000},
           {"targetLatencyMs", 250},
           {"priority", 2},
           {"maxAttempts", 1},
           {"anonymous", false}}}},
        {"services",
         {{{"name", "till"}, {"healthPath", "/health"}, {"maxConns", 100}}}},
        {"limits", default_limits()},
        {"tenants", tenants}};
}

std::mutex mutex;
std::set<std::string> run; // requests that the server has run

bool has_run(std::string const& id)
{
    std::lock_guard<std::mutex> const lock(mutex);
    return run.count(id) != 0;
}

} // namespace

int main(int argc, char** argv)
{
    case_arguments const args(argc, argv);
    record_file record(args.folder + "/record.txt");
    record.line(args.trouble ? "with the disruption" : "without disruption");

    server const a(
        [&](int fd)
        {
            message_reader in(fd);
            while (true)
            {
                auto const m = in.read(false, 600000);
                if (!m.complete)
                    return;
                auto const id = m.header("request-id");
                {
                    std::lock_guard<std::mutex> const lock(mutex);
                    run.insert(id);
                }
                record.line(
                    "i-a runs " + id + " Tenant-Id '" + m.header("tenant-id") +
                    "'");
                if (!send_all(
                        fd, "HTTP/1.1 200 OK\r\nRequest-Id: " + id +
                                "\r\nResponse-Seal: i-a." + id +
                                "\r\nContent-Length: 6\r\n\r\nbooked"))
                    return;
            }
        });

    store platform;
    platform.put(
        "op", "config",
        configuration(1, {{{"name", "t1"}, {"apiKeys", {"key-1"}}}}));
    platform.put("servers", "i-a", endpoint_row("till", a.address(), 6));
    gateway g(platform.address(), args.scratch);
    if (!g.wait_ready())
        end_case(2);
    sleep_ms(500);

    auto const call = [&](std::string const& id, std::string const& key)
    {
        int const fd = connect_to(g.front());
        if (fd < 0)
            end_case(2);
        send_all(
            fd,
            "POST /book/kettle HTTP/1.1\r\nHost: shop.example\r\n"
            "Request-Id: " +
                id + "\r\nDeadline-Ms: 4000\r\n" +
                (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") +
                "Content-Length: 3\r\n\r\none");
        message_reader in(fd);
        auto const m = in.read(true, 6000);
        ::close(fd);
        record.line(
            "client sent " + id + " with " +
            (key.empty() ? "no key" : "key " + key) + ", got " +
            std::to_string(m.status()) + ' ' + m.body.substr(0, 40));
        return m.status();
    };

    // All of this holds as long as the tenant exists.
    bool const works = call("before-right", "key-1") == 200 &&
                       call("before-never", "never-held") == 401 &&
                       call("before-none", "") == 401;
    if (!works)
        end_case(2);

    if (args.trouble)
    {
        platform.put("op", "config", configuration(2, json::array()));
        record.line("store acknowledged version 2, without the tenant");
    }
    sleep_ms(revoke_ms + margin_ms);

    int broken = 0;
    for (int i = 0; i < 5; ++i)
    {
        auto const n = std::to_string(i);
        bool const withdrawn = args.trouble;
        call("after-right-" + n, "key-1");
        call("after-never-" + n, "never-held");
        call("after-none-" + n, "");
        broken += withdrawn && has_run("after-right-" + n) ? 1 : 0;
        broken += has_run("after-never-" + n) ? 1 : 0;
        broken += has_run("after-none-" + n) ? 1 : 0;
    }
    record.line(
        std::to_string(broken) +
        " requests ran whose key was taken away or never existed");
    if (!args.trouble && !has_run("after-right-0"))
        end_case(2);
    end_case(broken > 0 ? 1 : 0);
}
