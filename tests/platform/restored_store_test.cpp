// A gateway beside a store that is restored from a backup: later writes are
// lost, and their versions are given out again. Index: store; tables; calls.
#include <catch2/catch.hpp>

#include <map>
#include <tuple>

#include <nlohmann/json.hpp>
#include <restinio/utils/base64.hpp>

#include "platform/row_store_client.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using nlohmann::json;

namespace
{

// Store ----------------------------------------------------------------------

/// Serves rows on loopback and can go back to an earlier state.
class restorable_store
{
public:
    explicit restorable_store(asio::io_context& io) : server_(io) {}

    std::string address() const { return server_.address(); }

    void
    put(std::string const& table, std::string const& key,
        std::string const& value)
    {
        rows_[{table, key}] = {value, ++version_};
    }

    bool has(std::string const& table, std::string const& key) const
    {
        return rows_.count({table, key}) != 0;
    }

    void take_backup() { backup_ = {rows_, version_}; }

    void restore()
    {
        std::tie(rows_, version_) = backup_;
        ++era_;
    }

    /// Writes rows that nobody reads, which takes versions.
    void write_others(int count)
    {
        for (int i = 0; i < count; ++i)
            put("others", "k", "v");
    }

    /// Answers what has arrived. Calls for changes are answered at once.
    void serve()
    {
        for (auto const& c : server_.connections)
        {
            auto const end = c->received.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            auto const length = content_length(c->received.substr(0, end));
            if (c->received.size() < end + 4 + length)
                continue;
            auto const target = c->received.substr(0, end);
            auto const body = c->received.substr(end + 4, length);
            c->received.erase(0, end + 4 + length);
            answer(*c, target, body);
        }
    }

private:
    struct stored_row
    {
        std::string value;
        std::uint64_t version = 0;
    };
    using row_map = std::map<std::pair<std::string, std::string>, stored_row>;

    static std::size_t content_length(std::string const& head)
    {
        auto const at = head.find("Content-Length: ");
        return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
    }

    static std::string parameter(std::string const& head, std::string name)
    {
        auto const at = head.find(name + "=");
        auto const from = at + name.size() + 1;
        return at == std::string::npos
                   ? ""
                   : head.substr(from, head.find_first_of("& ", from) - from);
    }

    void
    answer(test_connection& c, std::string const& head, std::string const& body)
    {
        if (head.find("/rows-tx") != std::string::npos)
        {
            for (auto const& w : json::parse(body).value("writes", json()))
                put(w.at("table"), w.at("key"),
                    *restinio::utils::base64::try_decode(
                        w.at("value").get<std::string>()));
            send(c, "200 OK", {{"ver", version_}});
            return;
        }
        bool const feed = head.find("/rows-feed") != std::string::npos;
        auto const after =
            feed ? std::stoull(parameter(head, "afterRev")) : std::uint64_t(0);
        if (after > version_)
        {
            send(c, "410 Gone", json::object());
            return;
        }
        json rows = json::array();
        for (auto const& [key, row] : rows_)
        {
            if (key.first == parameter(head, "table") && row.version > after)
                rows.push_back(
                    {{"key", key.second},
                     {"value", restinio::utils::base64::encode(row.value)},
                     {"ver", row.version}});
        }
        send(c, "200 OK", {{"ver", version_}, {"rows", rows}});
    }

    void send(test_connection& c, std::string const& status, json const& body)
    {
        auto const text = body.dump();
        c.send(
            "HTTP/1.1 " + status + "\r\nStore-Era: " + std::to_string(era_) +
            "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" +
            text);
    }

    scripted_endpoint server_;
    row_map rows_;
    std::uint64_t version_ = 0;
    std::uint64_t era_ = 1796574696; // only differences matter
    std::pair<row_map, std::uint64_t> backup_;
};

struct restoration_fixture : relay_fixture
{
    restoration_fixture()
    {
        settings.peer_listen = "127.0.0.1:" + std::to_string(free_port());
        store.put("op", "config", configuration_text(3));
        store.put("servers", "one", table.rows[0].value);
    }

    std::string configuration_text(int version) const
    {
        auto text = configuration.rows[0].value;
        std::string const from = R"("version":3)";
        return text.replace(
            text.find(from), from.size(),
            R"("version":)" + std::to_string(version));
    }

    void start_with_store()
    {
        subject = std::make_unique<gateway>(
            settings,
            gateway_environment{
                io, timers, clock, random, protocol, codec,
                configuration_client, endpoint_client, peer_client,
                peer_writer_client, status_store, log, counters, memory});
        subject->start();
        REQUIRE(serve_until(
            [&]
            { return subject->ready() && store.has("gateways", "gateway"); }));
    }

    bool serve_until(std::function<bool()> const& done)
    {
        return run_until(
            [&]
            {
                store.serve();
                return done();
            });
    }

    restorable_store store{io};
    row_store_client configuration_client{io, clock, memory, store.address()};
    row_store_client endpoint_client{io, clock, memory, store.address()};
    row_store_client peer_client{io, clock, memory, store.address()};
    row_store_client peer_writer_client{io, clock, memory, store.address()};
};

struct restoration
{
    char const* name;
    int lost_versions;   // that were read before the restoration
    int others_versions; // given out again before anything is read
};

restoration any_restoration()
{
    return GENERATE(values<restoration>(
        {{"versions below those read", 20, 0},
         {"the version read last", 20, 18},
         {"versions above those read", 20, 40}}));
}

} // namespace

// Tables ---------------------------------------------------------------------

// Guards against a gateway that keeps an old configuration, as the new one has
// a version of the store that it has seen before.
TEST_CASE("a configuration of a restored store applies", "[restored]")
{
    auto const r = any_restoration();
    CAPTURE(r.name);
    restoration_fixture f;
    f.start_with_store();
    f.store.take_backup();
    f.store.write_others(r.lost_versions - 1);
    f.store.put("op", "config", f.configuration_text(4));
    REQUIRE(f.serve_until(
        [&] { return f.logged("configuration_applied version=4"); }));
    f.store.restore();
    f.store.put("op", "config", f.configuration_text(4));
    f.store.put("op", "config", f.configuration_text(5));
    f.store.write_others(r.others_versions);
    REQUIRE(f.serve_until(
        [&] { return f.logged("configuration_applied version=5"); }));
    REQUIRE(f.serve_until([&] { return f.subject->ready(); }));
}

// Guards against a gateway that goes back to the configuration of the backup.
TEST_CASE("the configuration of the backup is not applied", "[restored]")
{
    auto const r = any_restoration();
    CAPTURE(r.name);
    restoration_fixture f;
    f.start_with_store();
    f.store.take_backup();
    f.store.write_others(r.lost_versions - 1);
    f.store.put("op", "config", f.configuration_text(4));
    REQUIRE(f.serve_until(
        [&] { return f.logged("configuration_applied version=4"); }));
    f.store.restore();
    f.store.write_others(r.others_versions);
    REQUIRE(f.serve_until(
        [&] { return f.logged("configuration_ignored version=3"); }));
    f.store.put("op", "config", f.configuration_text(5));
    REQUIRE(f.serve_until(
        [&] { return f.logged("configuration_applied version=5"); }));
}

// Guards against callers that find no endpoint, as it registered anew under
// versions that this gateway takes for read.
TEST_CASE("an endpoint of a restored store is used", "[restored]")
{
    auto const r = any_restoration();
    CAPTURE(r.name);
    restoration_fixture f;
    f.start_with_store();
    f.store.take_backup();
    f.store.write_others(r.lost_versions);
    f.store.put("servers", "late", f.table.rows[0].value);
    REQUIRE(f.serve_until([&] { return f.logged("endpoint endpoint=late"); }));
    f.store.restore();
    f.store.put("servers", "two", f.table.rows[1].value);
    f.store.write_others(r.others_versions);
    REQUIRE(f.serve_until([&] { return f.logged("endpoint endpoint=two"); }));
}

// Guards against gateways that do not know of each other, so that each takes a
// larger part of the retry budget than is its own.
TEST_CASE("a gateway registers again in a restored store", "[restored]")
{
    auto const r = any_restoration();
    CAPTURE(r.name);
    restoration_fixture f;
    f.store.take_backup();
    f.start_with_store();
    f.store.write_others(r.lost_versions);
    // The list of gateways is read by calls that may take long.
    REQUIRE(
        f.serve_until([&] { return f.logged("table_listed table=gateways"); }));
    f.store.restore();
    f.store.write_others(r.others_versions);
    REQUIRE(f.serve_until([&] { return f.store.has("gateways", "gateway"); }));
}

// Calls ----------------------------------------------------------------------

// Guards against changes that are taken for complete although the store lost
// what was read before, and against the order of answers being changed by one
// that comes late.
TEST_CASE("an answer counts by the era of the store", "[restored]")
{
    struct row
    {
        char const* name;
        char const* era; // header of the second answer
        row_read_status status;
        std::uint64_t era_of_revision;
    };
    auto const r = GENERATE(values<row>(
        {{"same era", "Store-Era: 4\r\n", row_read_status::ok, 4},
         {"none named", "", row_read_status::ok, 4},
         {"later era", "Store-Era: 5\r\n", row_read_status::history_lost, 0},
         {"earlier era", "Store-Era: 3\r\n", row_read_status::failed, 0},
         {"no number", "Store-Era: x\r\n", row_read_status::failed, 0},
         {"negative", "Store-Era: -1\r\n", row_read_status::failed, 0},
         {"large era", "Store-Era: 1796574696\r\n",
          row_read_status::history_lost, 0}}));
    CAPTURE(r.name);
    relay_fixture f;
    row_store_client client(f.io, f.clock, f.memory, f.endpoints[0]->address());
    auto const answer = [&](std::string const& era)
    {
        auto const c = f.take_request(" HTTP/1.1\r\n");
        REQUIRE(c);
        c->send(
            "HTTP/1.1 200 OK\r\n" + era +
            "Content-Length: 20\r\n\r\n{\"ver\":12,\"rows\":[]}");
    };
    std::optional<row_read_result> got;
    auto const keep = [&got](row_read_result const& a) { got = a; };
    client.list("t", "", keep);
    answer("Store-Era: 4\r\n");
    REQUIRE(f.run_until([&] { return got.has_value(); }));
    auto const after = std::exchange(got, std::nullopt)->revision;
    client.changes("t", after, milliseconds(0), keep);
    answer(r.era);
    REQUIRE(f.run_until([&] { return got.has_value(); }));
    REQUIRE(got->status == r.status);
    if (r.status == row_read_status::ok)
    {
        REQUIRE(got->revision == after);
        REQUIRE(got->revision >> 40 == r.era_of_revision);
    }
}

// Guards against a write that replaces a row which the restored store gave the
// expected version.
TEST_CASE("a condition of an earlier era is not met", "[restored]")
{
    relay_fixture f;
    row_store_client client(f.io, f.clock, f.memory, f.endpoints[0]->address());
    auto const answer = [&](std::string const& era, std::string const& body)
    {
        auto const c = f.take_request(" HTTP/1.1\r\n");
        REQUIRE(c);
        c->send(
            "HTTP/1.1 200 OK\r\nStore-Era: " + era + "\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    std::optional<row_writer::conditional_result> written;
    auto const keep = [&written](row_writer::conditional_result const& result)
    { written = result; };
    client.put_if("status", "k", "v", 0, keep);
    answer("1", R"({"ver":7})");
    REQUIRE(f.run_until([&] { return written.has_value(); }));
    auto const revision = std::exchange(written, std::nullopt)->revision;
    bool found = false;
    client.find(
        "status", "k",
        [&found](row_writer::found_row const&) { found = true; });
    answer("2", R"({"ver":7,"rows":[]})");
    REQUIRE(f.run_until([&] { return found; }));
    client.put_if("status", "k", "v", revision, keep);
    answer("2", R"({"ver":7,"rows":[{"key":"k","value":"eA==","ver":7}]})");
    REQUIRE(f.run_until([&] { return written.has_value(); }));
    REQUIRE(written->outcome == row_writer::condition::failed);
    REQUIRE(written->row);
    REQUIRE(written->row->revision > revision);
}
