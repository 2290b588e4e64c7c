// Entries of another writer in the list of endpoints, and rows and calls whose
// handling fails. Index: entries; keys; services; failures of a row or a
// call.
#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>
#include <restinio/utils/base64.hpp>

#include "platform/row_store_client.hpp"
#include "relay_fixture.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;

namespace
{

constexpr std::size_t max_entry_bytes = 65536;

// Stands for an address in the texts of entries.
std::string const own_address = "OWN";     // nothing else is there
std::string const sound_address = "SOUND"; // of endpoint "one"

std::string const odd_key = "odd-entry";

std::string const sound_entry =
    R"({"service":"app","address":"OWN","zone":"near","version":"v1",)"
    R"("slots":8,"state":"ready","coldLeftMs":0,"seqNo":4,)"
    R"("born":1700000000000})";

struct odd_entry
{
    std::string name;
    std::string value;
    std::string key = odd_key;
    bool base64 = true; // else `value` is the text of the row itself
};

std::string replaced(std::string text, std::string const& from, std::string to)
{
    auto const at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::string repeated(std::string const& text, std::size_t count)
{
    std::string all;
    while (count-- > 0)
        all += text;
    return all;
}

std::string nested(std::string const& open, std::string const& close)
{
    // Room for the fields of an entry.
    auto const depth = (max_entry_bytes - 512) / (open.size() + close.size());
    return repeated(open, depth) + (open == "[" ? "" : "1") +
           repeated(close, depth);
}

void add_field(
    std::vector<odd_entry>& all, std::string const& field,
    std::string const& from, std::vector<std::string> const& values)
{
    auto const text = '"' + field + "\":" + from;
    for (auto const& v : values)
        all.push_back(
            {field + ' ' + v.substr(0, 30),
             replaced(sound_entry, text, '"' + field + "\":" + v)});
    all.push_back(
        {field + " is missing",
         replaced(
             sound_entry, field == "born" ? ',' + text : text + ',',
             std::string())});
}

void add_nested(std::vector<odd_entry>& all)
{
    for (auto const& [open, close] :
         {std::pair<std::string, std::string>("[", "]"), {R"({"a":)", "}"}})
    {
        auto const deep = nested(open, close);
        all.push_back({"nested " + open, deep});
        all.push_back({"nested and cut " + open, repeated(open, 13000)});
        all.push_back(
            {"nested in a known field " + open,
             replaced(sound_entry, R"("near")", deep)});
        all.push_back(
            {"nested in an unknown field " + open,
             replaced(sound_entry, "{", R"({"extra":)" + deep + ',')});
    }
}

void add_numbers(std::vector<odd_entry>& all)
{
    auto const digits = std::string(60000, '9');
    add_field(
        all, "slots", "8",
        {"1e400", "1e300", "-1", "1.5", "4294967296", "4294967304",
         "9007199254740993", "10000000000000000", digits, "null", "true",
         R"("8")", "[]", "{}"});
    add_field(
        all, "born", "1700000000000",
        {"1e400", "1e300", "-1", "1.5", "9007199254740991", "9007199254740993",
         "10000000000000000", digits, "null", "false", R"("1")", "[]"});
    add_field(all, "seqNo", "4", {"1e400", "1e300", "-1", "null", R"("x")"});
    add_field(all, "coldLeftMs", "0", {"1e400", "1e300", "null", "[]"});
}

void add_texts(std::vector<odd_entry>& all)
{
    add_field(
        all, "address", R"("OWN")",
        {"\"127.0.0.1:0\"",
         "\"127.0.0.1:65536\"",
         "\"127.0.0.1:99999\"",
         "\"127.0.0.1:-1\"",
         "\"127.0.0.1:\"",
         "\"127.0.0.1\"",
         "\"\"",
         "\"localhost:80\"",
         "\"host:80\"",
         "\"[::1]:80\"",
         "\"::1:80\"",
         "\"0.0.0.0:80\"",
         "\"224.0.0.1:80\"",
         "\"255.255.255.255:80\"",
         "\" OWN\"",
         "\"OWN \"",
         R"("OWN\r\nX-Injected: 1")",
         R"("127.0.0.1\u0000:80")",
         "\"127.0.0.1:080\"",
         "null",
         "7",
         "[]"});
    add_field(
        all, "service", R"("app")",
        {"\"\"", "\"nobody\"", R"("app\r\n")", "null", "7", R"(["app"])"});
    add_field(all, "zone", R"("near")", {"\"\"", "null", "7", "[]"});
    add_field(all, "version", R"("v1")", {"null", "7", "{}"});
    add_field(
        all, "state", R"("ready")",
        {"\"\"", "\"odd\"", "\"READY\"", "null", "1", "true",
         '"' + std::string(60000, 'x') + '"'});
}

void add_owners(std::vector<odd_entry>& all)
{
    auto const at_sound = replaced(sound_entry, own_address, sound_address);
    all.push_back(
        {"unknown service at the address of another endpoint",
         replaced(at_sound, R"("app")", R"("nobody")")});
    all.push_back(
        {"born too large at the address of another endpoint",
         replaced(at_sound, "1700000000000", "9007199254740991")});
    all.push_back(
        {"key of two lines at the address of another endpoint", at_sound,
         odd_key + "\r\nX-Injected: 1"});
}

void add_bytes(std::vector<odd_entry>& all)
{
    all.push_back({"no bytes", ""});
    all.push_back({"not JSON", "odd"});
    all.push_back({"not UTF-8", "\xff\xfe"});
    all.push_back(
        {"field that is not UTF-8", replaced(sound_entry, "near", "n\xff")});
    all.push_back(
        {"half a surrogate pair", replaced(sound_entry, "near", "\\ud800")});
    all.push_back({"NUL bytes", std::string(100, '\0')});
    all.push_back({"a list", "[" + sound_entry + "]"});
    all.push_back({"two objects", sound_entry + sound_entry});
    all.push_back({"cut off", sound_entry.substr(0, 90)});
    all.push_back({"null", "null"});
    all.push_back({"no fields", "{}"});
    all.push_back({"not base64", R"("value":"*")", odd_key, false});
    all.push_back({"value is null", R"("value":null)", odd_key, false});
    all.push_back({"value is missing", R"("ver":1)", odd_key, false});
    all.push_back(
        {"two services",
         replaced(sound_entry, "{", R"({"service":"nobody",)")});
    all.push_back(
        {"two addresses",
         replaced(sound_entry, "{", R"({"address":"127.0.0.1:1",)")});
}

void add_keys(std::vector<odd_entry>& all)
{
    for (auto const& key :
         {odd_key + "\r\nX-Injected: 1", odd_key + "\r\n\r\nGET /x HTTP/1.1",
          odd_key + '\n', odd_key + '\x01', odd_key + '\x7f',
          odd_key + std::string(1, '\0') + '1', ' ' + odd_key, odd_key + ' ',
          std::string(), odd_key + std::string(200, 'k'),
          odd_key + std::string(60000, 'k')})
        all.push_back({"key " + key.substr(0, 30), sound_entry, key});
}

std::vector<odd_entry> odd_entries()
{
    std::vector<odd_entry> all;
    add_nested(all);
    add_numbers(all);
    add_texts(all);
    add_owners(all);
    add_bytes(all);
    add_keys(all);
    return all;
}

/// The row as the store's response brings it.
store_row received(odd_entry const& entry)
{
    nlohmann::json const key = entry.key;
    auto const value =
        entry.base64 ? R"("value":")" +
                           restinio::utils::base64::encode(entry.value) + '"'
                     : entry.value;
    return decode_row_response(
               R"({"rows":[{"key":)" + key.dump() + ',' + value +
               R"(}],"ver":9})")
        .rows.at(0);
}

struct odd_entries_fixture : relay_fixture
{
    odd_entries_fixture()
    {
        table.rows = {sound("one", 0)};
        settings.drain_bound = milliseconds(700); // short pauses after changes
        REQUIRE(
            received({"", table.rows[0].value}).value == table.rows[0].value);
    }

    store_row sound(std::string const& id, std::size_t i) const
    {
        return row(
            id, replaced(sound_entry, own_address, endpoints[i]->address()));
    }

    store_row odd(odd_entry entry) const
    {
        for (auto const& [name, i] :
             {std::pair<std::string, int>(own_address, 4), {sound_address, 0}})
        {
            auto const at = entry.value.find(name);
            if (at != std::string::npos)
                entry.value.replace(
                    at, name.size(), endpoints[std::size_t(i)]->address());
        }
        return received(entry);
    }

    void publish(std::vector<store_row> rows)
    {
        REQUIRE(run_until([this] { return table.pending_changes != nullptr; }));
        row_read_result a;
        a.status = row_read_status::ok;
        for (auto& r : rows)
        {
            r.revision = ++table.revision;
            a.rows.push_back(r);
        }
        a.revision = table.revision;
        std::exchange(table.pending_changes, nullptr)(a);
    }

    std::size_t count_lines(std::string const& text) const
    {
        return std::size_t(std::count_if(
            log.lines.begin(), log.lines.end(),
            [&text](std::string const& line)
            { return line.find(text) != std::string::npos; }));
    }

    std::size_t request_count() const
    {
        std::size_t n = 0;
        for (auto const& e : endpoints)
            n += e->request_count();
        return n;
    }

    bool received_anywhere(std::string const& text) const
    {
        return std::any_of(
            endpoints.begin(), endpoints.end(),
            [&text](auto const& e)
            {
                return std::any_of(
                    e->connections.begin(), e->connections.end(),
                    [&text](auto const& c) { return c->has(text); });
            });
    }

    /// Sends requests that wait for each other, so that every endpoint that is
    /// in use gets some, and answers them.
    void serve_all()
    {
        constexpr std::size_t count = 8;
        auto const before = request_count();
        std::vector<std::shared_ptr<test_connection>> callers;
        for (std::size_t i = 0; i < count; ++i)
            callers.push_back(
                connect_caller(request("/open/x", "r" + std::to_string(i))));
        REQUIRE(run_until([&] { return request_count() == before + count; }));
        for (auto const& e : endpoints)
        {
            for (auto const& c : e->connections)
            {
                auto const at = c->received.find("Request-Id: r");
                if (at != std::string::npos)
                    c->send(response(c->received.substr(at + 12, 2)));
            }
        }
        for (auto const& c : callers)
            REQUIRE(run_until([&c] { return c->has("\r\n\r\nbody"); }));
    }
};

} // namespace

// Entries --------------------------------------------------------------------

// Another writer's entry in the list of endpoints ended a gateway, stopped its
// following of the list, took a sound endpoint out of service or got requests.
TEST_CASE("an odd entry names no endpoint and disturbs no other", "[rows]")
{
    static auto const all = odd_entries();
    auto const& entry =
        all[GENERATE(range(std::size_t(0), odd_entries().size()))];
    auto const listed = GENERATE(true, false); // else it comes as a change
    CAPTURE(entry.name, listed);
    odd_entries_fixture fixture;
    auto const odd = fixture.odd(entry);
    if (listed)
        fixture.table.rows.push_back(odd);
    fixture.start();
    REQUIRE(fixture.run_until([&] { return fixture.subject->ready(); }));
    if (listed)
        fixture.publish({fixture.sound("two", 1), fixture.sound("three", 2)});
    else
        fixture.publish(
            {fixture.sound("two", 1), odd, fixture.sound("three", 2)});
    for (auto const* id : {"one", "two", "three"})
    {
        REQUIRE(fixture.logged(
            "endpoint endpoint=" + std::string(id) + " state=ready"));
        REQUIRE_FALSE(
            fixture.logged("endpoint_leaving endpoint=" + std::string(id)));
    }
    CHECK(fixture.count_lines("state=unreadable") == 1);
    for (auto const& line : fixture.log.lines)
    {
        if (line.find("state=unreadable") == std::string::npos)
            continue;
        CHECK(line.find("detail=-") == std::string::npos);
        CHECK(line.size() < 600);
    }
    fixture.serve_all();
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(fixture.endpoints[i]->request_count() > 0);
    CHECK(fixture.endpoints[4]->connections.empty());
    CHECK_FALSE(fixture.received_anywhere(odd_key));
    CHECK_FALSE(fixture.received_anywhere("X-Injected"));
    CHECK_FALSE(fixture.logged("attempt_failed"));
    fixture.publish({});
}

// Keys -----------------------------------------------------------------------

// A key with half of a surrogate pair made the whole list unreadable, so that
// the table was not followed while the entry was there.
TEST_CASE("a key that is not Unicode does not hide other rows", "[rows]")
{
    struct row
    {
        char const* key; // as the store writes it
        std::string read;
    };
    auto const r = GENERATE(
        row{R"(k\ud800)", std::string("k\0", 2)},
        row{R"(\udc00k)", std::string("\0k", 2)},
        row{R"(\uDBFFk\uDFFF)", std::string("\0k\0", 3)},
        row{R"(\ud83d\ud83d\ude00)", std::string("\0", 1) + "\xf0\x9f\x98\x80"},
        row{R"(\ud83d\ude00)", "\xf0\x9f\x98\x80"},
        row{R"(\\ud800)", "\\ud800"},
        row{R"(\\\ud800)", std::string("\\\0", 2)}, row{R"(\u0041)", "A"});
    CAPTURE(r.key);
    auto const answer = decode_row_response(
        std::string(R"({"rows":[{"key":"a","ver":1},{"key":")") + r.key +
        R"(","ver":2},{"key":"b","ver":3}],"ver":9})");
    REQUIRE(answer.rows.size() == 3);
    CHECK(answer.rows[1].key == r.read);
    CHECK(answer.rows[2].key == "b");
}

// Services -------------------------------------------------------------------

// Guards against an endpoint that stays out of service because its entry was
// read before the configuration that names its service.
TEST_CASE("an entry counts once a configuration names its service", "[rows]")
{
    auto const listed_first = GENERATE(true, false); // before a configuration
    CAPTURE(listed_first);
    odd_entries_fixture fixture;
    auto const with_service = fixture.configuration.rows[0];
    auto& text = fixture.configuration.rows[0].value;
    if (listed_first)
        fixture.configuration.rows.clear();
    else
        for (auto at = text.find("\"app\""); at != std::string::npos;
             at = text.find("\"app\""))
            text.replace(at, 5, "\"x\"");
    fixture.start();
    REQUIRE(fixture.run_until(
        [&]
        {
            return fixture.logged("table_listed table=servers") &&
                   fixture.configuration.pending_changes != nullptr;
        }));
    REQUIRE_FALSE(fixture.logged("endpoint=one state=ready"));
    // A change of another entry and a removal meanwhile.
    auto gone = fixture.sound("two", 1);
    fixture.publish({gone});
    gone.deleted = true;
    fixture.publish({gone});
    auto row = with_service;
    row.value = replaced(row.value, R"("version":3)", R"("version":4)");
    fixture.configuration.publish_change(row);
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("endpoint=one state=ready"); }));
    REQUIRE_FALSE(fixture.logged("endpoint=two state=ready"));
    fixture.serve_all();
    REQUIRE(fixture.endpoints[0]->request_count() == 8);
}

// An endpoint whose row moved to a service without configuration stayed in use
// under its old service, also when it drained.
TEST_CASE(
    "an endpoint that moved away serves its old service no more", "[rows]")
{
    auto const state = GENERATE(as<std::string>{}, "ready", "draining");
    CAPTURE(state);
    odd_entries_fixture fixture;
    fixture.table.rows.push_back(fixture.sound("two", 1));
    fixture.start();
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("endpoint=two state=ready"); }));
    auto moved = fixture.sound("one", 0);
    moved.value = replaced(
        replaced(moved.value, R"("app")", R"("later")"), R"("ready")",
        '"' + state + '"');
    fixture.publish({moved});
    REQUIRE(fixture.run_until(
        [&] { return fixture.logged("endpoint=one state=unreadable"); }));
    fixture.serve_all();
    REQUIRE(fixture.endpoints[0]->request_count() == 0);
    REQUIRE(fixture.endpoints[1]->request_count() == 8);
}

// Failures of a row or a call ------------------------------------------------

namespace
{

/// Fails for the rows with a key.
class failing_codec : public platform_row_codec
{
public:
    explicit failing_codec(bool out_of_memory) : out_of_memory_(out_of_memory)
    {
    }

    std::optional<gateway_configuration>
    read_configuration(store_row const& row) const override
    {
        fail_for(row);
        return platform_row_codec::read_configuration(row);
    }

    endpoint_record read_endpoint(store_row const& row) const override
    {
        fail_for(row);
        return platform_row_codec::read_endpoint(row);
    }

private:
    void fail_for(store_row const& row) const
    {
        if (row.key != odd_key)
            return;
        if (out_of_memory_)
            throw std::bad_alloc();
        throw std::runtime_error("decoder failed");
    }

    bool const out_of_memory_;
};

/// Throws instead of making a call, as long as it is told to.
class failing_reader : public row_reader
{
public:
    explicit failing_reader(row_reader& next) : next_(next) {}

    void list(std::string const& table, std::string const& from, handler done)
        override
    {
        fail();
        next_.list(table, from, std::move(done));
    }

    void changes(
        std::string const& table, std::uint64_t after, milliseconds wait,
        handler done) override
    {
        last_after = after;
        fail();
        next_.changes(table, after, wait, std::move(done));
    }

    bool failing = false;
    int failures = 0;
    std::uint64_t last_after = 0;

private:
    void fail()
    {
        if (!failing)
            return;
        ++failures;
        throw std::runtime_error("no descriptor");
    }

    row_reader& next_;
};

struct failing_fixture : odd_entries_fixture
{
    explicit failing_fixture(bool out_of_memory = false)
        : failing(out_of_memory)
    {
    }

    void start_failing()
    {
        subject = std::make_unique<gateway>(
            settings, gateway_environment{
                          io, timers, clock, random, protocol, failing,
                          configuration_calls, endpoint_calls, peer_table,
                          peer_writer, status_store, log, counters, memory});
        subject->start();
    }

    failing_codec failing;
    failing_reader configuration_calls{configuration};
    failing_reader endpoint_calls{table};
};

} // namespace

// An error in one row's handling left the table where it was, so that the row
// was read again and failed for ever.
TEST_CASE("a row whose handling fails does not hold up its table", "[rows]")
{
    auto const out_of_memory = GENERATE(true, false);
    auto const listed = GENERATE(true, false);
    auto const of_configuration = GENERATE(true, false);
    CAPTURE(out_of_memory, listed, of_configuration);
    failing_fixture fixture(out_of_memory);
    auto& table = of_configuration ? fixture.configuration : fixture.table;
    auto const odd = fixture.row(odd_key, "x");
    auto next = of_configuration ? table.rows[0] : fixture.sound("two", 1);
    if (of_configuration)
        next.value = replaced(next.value, R"("version":3)", R"("version":4)");
    if (listed)
        table.rows.insert(table.rows.begin(), odd);
    fixture.start_failing();
    REQUIRE(fixture.run_until(
        [&] {
            return fixture.subject->ready() && table.pending_changes != nullptr;
        }));
    row_read_result a;
    a.status = row_read_status::ok;
    a.rows = {odd, next};
    a.rows[0].revision = a.rows[1].revision = a.revision = 7;
    if (listed)
        a.rows.erase(a.rows.begin());
    std::exchange(table.pending_changes, nullptr)(a);
    auto const& calls =
        of_configuration ? fixture.configuration_calls : fixture.endpoint_calls;
    REQUIRE(fixture.run_until([&] { return calls.last_after == 7; }));
    REQUIRE(fixture.logged(
        of_configuration ? "configuration_applied version=4"
                         : "endpoint=two state=ready"));
    REQUIRE(
        fixture.count_lines(
            of_configuration ? "configuration_unreadable key=odd-entry"
                             : "endpoint=odd-entry state=unreadable") == 1);
    REQUIRE(fixture.logged(
        out_of_memory ? "detail=std::bad_alloc" : "detail=decoder failed"));
    fixture.serve_all();
}

// A call to the store that failed with an exception was waited for ever, and
// the rest of the timer's work was left out.
TEST_CASE("a call that fails at once is repeated", "[rows]")
{
    auto const of_configuration = GENERATE(true, false);
    auto const listed = GENERATE(true, false);
    CAPTURE(of_configuration, listed);
    failing_fixture fixture;
    auto& calls =
        of_configuration ? fixture.configuration_calls : fixture.endpoint_calls;
    auto& table = of_configuration ? fixture.configuration : fixture.table;
    calls.failing = !listed;
    fixture.start_failing();
    if (listed)
    {
        REQUIRE(fixture.run_until(
            [&] {
                return fixture.subject->ready() &&
                       table.pending_changes != nullptr;
            }));
        calls.failing = true;
        row_read_result refused;
        refused.status = row_read_status::refused;
        std::exchange(table.pending_changes, nullptr)(refused);
    }
    REQUIRE(fixture.run_until([&] { return calls.failures >= 3; }));
    REQUIRE(fixture.logged("store_lost"));
    if (listed)
    {
        // The endpoint does not answer.
        auto const caller = fixture.connect_caller(
            "GET /open/x HTTP/1.1\r\nHost: h\r\nRequest-Id: late\r\n"
            "Deadline-Ms: 60\r\n\r\n");
        REQUIRE(fixture.run_until([&] { return caller->has(" 504 "); }));
    }
    calls.failing = false;
    REQUIRE(fixture.run_until(
        [&] {
            return fixture.subject->ready() && table.pending_changes != nullptr;
        }));
    row_read_result nothing_new;
    nothing_new.status = row_read_status::ok;
    nothing_new.revision = table.revision;
    std::exchange(table.pending_changes, nullptr)(nothing_new);
    REQUIRE(fixture.logged("store_regained"));
    fixture.serve_all();
}
