// dotterellock-agent: runs beside an engine or plain service and is the only
// access path to it.
#include "process/agent_process.hpp"
#include "process/program.hpp"

int main(int argc, char** argv)
{
    using namespace dotterellock;
    program const p{
        "dotterellock-agent",
        "Schedules and runs work on the endpoint beside it.",
        [](std::string const& text, std::string const& file)
        { return effective_text(read_agent_settings(text, file)); },
        [](std::string const& text, std::string const& file)
        { run_agent(read_agent_settings(text, file)); }};
    return run_program(p, argc, argv);
}
