#include <catch2/catch.hpp>

#include <sstream>

#include "ctl/request_timeline.hpp"

using namespace dotterellock;

namespace
{

std::string const log_text = R"(
1.0 front-1 time_ms=1000 level=INFO event=started version=1
1.5 front-1 time_ms=6500 level=WARN event=store_lost table=op detail=reset
1.6 front-2 time_ms=6600 level=WARN event=store_lost table=op detail=reset
2.0 front-1 time_ms=7000 level=INFO event=dispatch request=r1 endpoint=e1 zone=z standby=e2
2.1 front-1 time_ms=7010 level=INFO event=dispatch request=r12 endpoint=e1 zone=z standby=-
2.3 front-1 time_ms=7300 level=INFO event=endpoint_checked endpoint=e1 zone=z accepted=0
2.3 front-1 time_ms=7300 level=INFO event=endpoint_checked endpoint=e9 zone=z accepted=0
2.4 front-1 time_ms=7400 level=WARN event=zone_suspect service=s zone=z endpoint=e3
2.5 front-1 time_ms=7500 level=WARN event=request request=r1 outcome=failed status=502 reason=reset
9.0 front-1 time_ms=9000 level=WARN event=store_regained table=op
another program's line
)";

} // namespace

// Guards against a timeline that leaves out the events behind a decision. The
// lines of a failed request alone do not show which endpoints and stores the
// process considered reachable.
TEST_CASE(
    "the timeline of a request includes events that affect its decisions",
    "[ctl]")
{
    request_timeline timeline("r1");
    std::istringstream lines(log_text);
    timeline.read(lines);
    std::vector<std::string> events;
    for (auto const& line : timeline.entries())
        events.push_back(
            std::to_string(line.offset.count()) +
            (line.names_request_id ? "*" : " ") +
            log_field(line.text, "event"));
    REQUIRE(
        events == std::vector<std::string>{
                      "-500 store_lost", "0*dispatch", "300 endpoint_checked",
                      "400 zone_suspect", "500*request"});
}

TEST_CASE("the timeline of a request that no line names is empty", "[ctl]")
{
    request_timeline timeline("r");
    std::istringstream lines(log_text);
    timeline.read(lines);
    REQUIRE(timeline.entries().empty());
}
