#include <cstdio>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>

#include "control_fakes.hpp"
#include "ctl/commands.hpp"
#include "membership/registration_record.hpp"

using namespace dotterellock;
using namespace dotterellock::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// A temporary file that the destructor removes.
struct temporary_file
{
    explicit temporary_file(std::string const& text)
    {
        std::ofstream(path, std::ios::binary) << text;
    }
    ~temporary_file() { std::remove(path.c_str()); }

    std::string path = std::filesystem::temp_directory_path() /
                       ("ctl-test-" + std::to_string(std::random_device()()));
};

struct command_result
{
    ctl_exit code = ctl_exit::internal;
    std::string out;
    std::string err;
};

struct ctl_fixture
{
    command_result run(std::vector<std::string> words)
    {
        words.insert(words.end(), {"--author", "ann", "--time-limit", "8"});
        std::ostringstream out;
        std::ostringstream err;
        ctl_options const options = parse_ctl_options(words);
        ctl_environment e{
            scheduler,
            process,
            random,
            process,
            process,
            hosts,
            [this](std::function<bool()> const& done)
            { REQUIRE(scheduler.run_until(done, seconds(60))); },
            out,
            err};
        ctl_exit const code = is_file_command(options)
                                  ? run_file_command(options, out, err)
                                  : run_store_command(options, e);
        return {code, out.str(), err.str()};
    }

    void put(std::string const& key, std::string const& value)
    {
        table.commit({{key, value, {}}}, {}, [](auto const&) {});
        scheduler.advance(milliseconds(5));
    }

    manual_scheduler scheduler;
    fake_table_service table{scheduler};
    fake_object_store objects{scheduler};
    fake_fleet_view hosts{scheduler};
    simulated_process process{scheduler, table, &objects};
    seeded_random random{4};
};

std::string const document = "defaults: {queue: {quantum_tokens: 5}}\n";

registration_record make_registration(bool draining, std::uint64_t in_flight)
{
    registration_record r;
    r.info.endpoint = endpoint_id("e");
    r.info.agent = peer_id("agent/e");
    r.draining = draining;
    r.in_flight = in_flight;
    return r;
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against running a command whose command line is only partly valid.
TEST_CASE("invalid command lines are rejected")
{
    auto const words = GENERATE(
        std::vector<std::string>{}, std::vector<std::string>{"aply", "f"},
        std::vector<std::string>{"apply"},
        std::vector<std::string>{"validate", "a", "b"},
        std::vector<std::string>{"explain", "id"},
        std::vector<std::string>{"endpoint", "stop", "e"},
        std::vector<std::string>{"status", "--base", "x"},
        std::vector<std::string>{"status", "--unknown"});
    REQUIRE_THROWS_AS(parse_ctl_options(words), usage_error);
    REQUIRE(contains(ctl_help(), "apply FILE"));
}

// Guards against validation errors without file, line and key, and against
// `explain` printing log lines of a request whose id has the same prefix.
TEST_CASE("validate and explain read files")
{
    ctl_fixture f;
    temporary_file const good(document);
    temporary_file const bad("defaults: {queue: {size: 5}}\n");
    REQUIRE(f.run({"validate", good.path}).code == ctl_exit::ok);
    command_result const refused = f.run({"validate", bad.path});
    REQUIRE(refused.code == ctl_exit::usage);
    REQUIRE(contains(refused.err, bad.path + ":1: key 'defaults.queue.size'"));
    REQUIRE(f.run({"validate", "/nonexistent"}).code == ctl_exit::usage);

    temporary_file const log(
        "request=acme/r-1 step=choose\nrequest=acme/r-12 step=choose\n"
        "request=acme/r-1 step=resume\n");
    command_result const found = f.run({"explain", "acme/r-1", log.path});
    REQUIRE(found.code == ctl_exit::ok);
    REQUIRE(
        found.out ==
        "request=acme/r-1 step=choose\nrequest=acme/r-1 step=resume\n");
    REQUIRE(f.run({"explain", "acme/r", log.path}).code == ctl_exit::not_found);
}

// Guards against exit codes and messages that do not tell whether a version was
// recorded and is in force.
TEST_CASE("configuration commands report distinct outcomes")
{
    ctl_fixture f;
    temporary_file const first(document);
    REQUIRE(f.run({"status"}).code == ctl_exit::ok);
    command_result const applied = f.run({"apply", first.path});
    REQUIRE(applied.code == ctl_exit::ok);
    REQUIRE(contains(applied.out, "version 1 accepted"));

    // The first line of the printed version names the base of the next one.
    command_result const printed = f.run({"history", "1"});
    REQUIRE(printed.out == "# version 1\n" + document);
    temporary_file const second(printed.out + "exceptions: []\n");
    command_result const diff = f.run({"diff", second.path});
    REQUIRE(contains(diff.out, "+3: exceptions: []"));
    REQUIRE(f.run({"apply", "--no-wait", second.path}).code == ctl_exit::ok);
    REQUIRE(
        f.run({"history", "2"}).out ==
        "# version 2\n" + document + "exceptions: []\n");
    REQUIRE(f.run({"history", "3"}).code == ctl_exit::not_found);

    temporary_file const stale("# version 1\ndefaults: {}\n");
    command_result const conflict = f.run({"apply", stale.path});
    REQUIRE(conflict.code == ctl_exit::conflict);
    REQUIRE(contains(conflict.err, "--base 2"));

    f.put("endpoint/e", encode(make_registration(false, 0)));
    command_result const waiting = f.run({"apply", "--base", "2", stale.path});
    REQUIRE(waiting.code == ctl_exit::not_in_force);
    REQUIRE(contains(waiting.err, "missing: agent/e (has 0)"));
    REQUIRE(f.run({"status"}).code == ctl_exit::not_in_force);

    f.table.current = store_mode::down;
    REQUIRE(f.run({"status"}).code == ctl_exit::unavailable);
    REQUIRE(f.run({"diff", first.path}).code == ctl_exit::unavailable);
    REQUIRE(
        f.run({"apply", "--base", "3", first.path}).code ==
        ctl_exit::unavailable);
    f.table.current = store_mode::normal;
    f.process.fail_calls(f.process.calls() + 3, 100, store_mode::loses_answers);
    REQUIRE(
        f.run({"apply", "--base", "3", first.path}).code == ctl_exit::unknown);
}

// Guards against reporting a drain as done while requests are in flight, and
// against one operator silently overwriting the change of another.
TEST_CASE("endpoint commands wait for the effect and detect conflicts")
{
    auto const mode = GENERATE(
        store_mode::normal, store_mode::loses_answers, store_mode::silent,
        store_mode::applies_late);
    ctl_fixture f;
    std::vector<std::string> const drain = {
        "endpoint", "drain", "e", "--reason", "memory"};
    REQUIRE(f.run(drain).code == ctl_exit::not_found);
    f.put("endpoint/e", encode(make_registration(false, 0)));
    REQUIRE(f.run({"endpoint", "drain", "e"}).code == ctl_exit::usage);
    f.process.fail_calls(f.process.calls() + 1, 1, mode);
    command_result const waiting = f.run(drain);
    REQUIRE(waiting.code == ctl_exit::not_in_force);
    f.put("endpoint/e", encode(make_registration(true, 2)));
    REQUIRE(f.run(drain).code == ctl_exit::not_in_force);
    f.put("endpoint/e", encode(make_registration(true, 0)));
    REQUIRE(f.run(drain).code == ctl_exit::ok);
    command_result const shown = f.run({"endpoint", "status", "e"});
    REQUIRE(contains(shown.out, "draining, in flight: 0"));
    REQUIRE(contains(shown.out, "drain wanted by ann"));

    // Another operator returns the endpoint between the read and the commit.
    f.process.set_before_call(
        [&f, call = f.process.calls()](std::size_t n)
        {
            desired_drain other_change;
            other_change.author = "bob";
            if (n == call + 1)
                f.put("desired/e", encode(other_change));
        });
    command_result const conflicting = f.run(drain);
    REQUIRE(conflicting.code == ctl_exit::conflict);
    REQUIRE(contains(conflicting.err, "bob changed it first: return"));
    f.process.set_before_call({});
    f.put("endpoint/e", encode(make_registration(false, 0)));
    REQUIRE(
        f.run({"endpoint", "return", "e", "--reason", "mended"}).code ==
        ctl_exit::ok);
}
