// dotterellock-router: serves the callers' HTTP requests; admits them, chooses
// endpoints and recovers interrupted answers.
#include "process/program.hpp"
#include "process/router_process.hpp"

int main(int argc, char** argv)
{
    using namespace dotterellock;
    program const p{
        "dotterellock-router",
        "Serves callers over HTTP and routes their requests to agents.",
        [](std::string const& text, std::string const& file)
        { return effective_text(read_router_settings(text, file)); },
        [](std::string const& text, std::string const& file)
        { run_router(read_router_settings(text, file)); }};
    return run_program(p, argc, argv);
}
