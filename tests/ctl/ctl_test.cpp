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

/// A file that is gone at the end of the test.
struct text_file
{
    explicit text_file(std::string const& text)
    {
        std::ofstream(path, std::ios::binary) << text;
    }
    ~text_file() { std::remove(path.c_str()); }

    std::string path = std::filesystem::temp_directory_path() /
                       ("ctl-test-" + std::to_string(std::random_device()()));
};

struct outcome
{
    ctl_exit code = ctl_exit::internal;
    std::string out;
    std::string err;
};

struct world
{
    outcome run(std::vector<std::string> words)
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
        ctl_exit const code = is_local(options) ? run_local(options, out, err)
                                                : run_remote(options, e);
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

registration_record registered(bool draining, std::uint64_t in_flight)
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

// Guards against a command line that is half understood.
TEST_CASE("wrong command lines are refused")
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

// Guards against a document whose fault the operator has to search for, and
// against log lines of another request.
TEST_CASE("validate and explain read files")
{
    world w;
    text_file const good(document);
    text_file const bad("defaults: {queue: {size: 5}}\n");
    REQUIRE(w.run({"validate", good.path}).code == ctl_exit::ok);
    outcome const refused = w.run({"validate", bad.path});
    REQUIRE(refused.code == ctl_exit::usage);
    REQUIRE(contains(refused.err, bad.path + ":1: key 'defaults.queue.size'"));
    REQUIRE(w.run({"validate", "/nonexistent"}).code == ctl_exit::usage);

    text_file const log(
        "request=acme/r-1 step=choose\nrequest=acme/r-12 step=choose\n"
        "request=acme/r-1 step=resume\n");
    outcome const found = w.run({"explain", "acme/r-1", log.path});
    REQUIRE(found.code == ctl_exit::ok);
    REQUIRE(
        found.out ==
        "request=acme/r-1 step=choose\nrequest=acme/r-1 step=resume\n");
    REQUIRE(w.run({"explain", "acme/r", log.path}).code == ctl_exit::not_found);
}

// Guards against exit codes and texts that hide what became of a version.
TEST_CASE("configuration commands tell outcomes apart")
{
    world w;
    text_file const first(document);
    REQUIRE(w.run({"status"}).code == ctl_exit::ok);
    outcome const applied = w.run({"apply", first.path});
    REQUIRE(applied.code == ctl_exit::ok);
    REQUIRE(contains(applied.out, "version 1 accepted"));

    // The printed version carries its number as the base of the next one.
    outcome const printed = w.run({"history", "1"});
    REQUIRE(printed.out == "# version 1\n" + document);
    text_file const second(printed.out + "exceptions: []\n");
    outcome const diff = w.run({"diff", second.path});
    REQUIRE(contains(diff.out, "+3: exceptions: []"));
    REQUIRE(w.run({"apply", "--no-wait", second.path}).code == ctl_exit::ok);
    REQUIRE(
        w.run({"history", "2"}).out ==
        "# version 2\n" + document + "exceptions: []\n");
    REQUIRE(w.run({"history", "3"}).code == ctl_exit::not_found);

    text_file const stale("# version 1\ndefaults: {}\n");
    outcome const conflict = w.run({"apply", stale.path});
    REQUIRE(conflict.code == ctl_exit::conflict);
    REQUIRE(contains(conflict.err, "--base 2"));

    w.put("endpoint/e", encode(registered(false, 0)));
    outcome const waiting = w.run({"apply", "--base", "2", stale.path});
    REQUIRE(waiting.code == ctl_exit::not_in_force);
    REQUIRE(contains(waiting.err, "missing: agent/e (has 0)"));
    REQUIRE(w.run({"status"}).code == ctl_exit::not_in_force);

    w.table.current = store_mode::down;
    REQUIRE(w.run({"status"}).code == ctl_exit::unavailable);
    REQUIRE(w.run({"diff", first.path}).code == ctl_exit::unavailable);
    REQUIRE(
        w.run({"apply", "--base", "3", first.path}).code ==
        ctl_exit::unavailable);
    w.table.current = store_mode::normal;
    w.process.fail_calls(w.process.calls() + 3, 100, store_mode::loses_answers);
    REQUIRE(
        w.run({"apply", "--base", "3", first.path}).code == ctl_exit::unknown);
}

// Guards against a drain that is reported done while work is in flight, and
// against operators that undo each other unseen.
TEST_CASE("endpoint commands wait, report and do not overwrite")
{
    auto const mode = GENERATE(
        store_mode::normal, store_mode::loses_answers, store_mode::silent,
        store_mode::applies_late);
    world w;
    std::vector<std::string> const drain = {
        "endpoint", "drain", "e", "--reason", "memory"};
    REQUIRE(w.run(drain).code == ctl_exit::not_found);
    w.put("endpoint/e", encode(registered(false, 0)));
    REQUIRE(w.run({"endpoint", "drain", "e"}).code == ctl_exit::usage);
    w.process.fail_calls(w.process.calls() + 1, 1, mode);
    outcome const waiting = w.run(drain);
    REQUIRE(waiting.code == ctl_exit::not_in_force);
    w.put("endpoint/e", encode(registered(true, 2)));
    REQUIRE(w.run(drain).code == ctl_exit::not_in_force);
    w.put("endpoint/e", encode(registered(true, 0)));
    REQUIRE(w.run(drain).code == ctl_exit::ok);
    outcome const shown = w.run({"endpoint", "status", "e"});
    REQUIRE(contains(shown.out, "draining, in flight: 0"));
    REQUIRE(contains(shown.out, "drain wanted by ann"));

    // Another operator returns it between this one's read and write.
    w.process.set_before_call(
        [&w, call = w.process.calls()](std::size_t n)
        {
            desired_drain theirs;
            theirs.author = "bob";
            if (n == call + 1)
                w.put("desired/e", encode(theirs));
        });
    outcome const raced = w.run(drain);
    REQUIRE(raced.code == ctl_exit::conflict);
    REQUIRE(contains(raced.err, "bob changed it first: return"));
    w.process.set_before_call({});
    w.put("endpoint/e", encode(registered(false, 0)));
    REQUIRE(
        w.run({"endpoint", "return", "e", "--reason", "mended"}).code ==
        ctl_exit::ok);
}
