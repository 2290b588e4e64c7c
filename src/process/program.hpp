// Command-line entry point of a program: options, exit codes and settings file.
// Used by the main thread only.
#ifndef DOTTERELLOCK_PROCESS_PROGRAM_HPP
#define DOTTERELLOCK_PROCESS_PROGRAM_HPP

#include <functional>
#include <string>

namespace dotterellock
{

enum class exit_code : int
{
    ok = 0,
    runtime = 1,  // failure at run time
    usage = 2,    // invalid options
    settings = 3, // missing or invalid settings file
};

struct program
{
    std::string name;
    std::string purpose;

    /// Validates the settings; returns them with all defaults filled in. Throws
    /// error(invalid_argument).
    std::function<std::string(std::string const& text, std::string const& file)>
        effective;

    /// Runs until a signal stops the process.
    std::function<void(std::string const& text, std::string const& file)> run;

    /// Environment variable with the path of the settings file, used when
    /// --config is absent; null for none.
    char const* settings_variable = nullptr;
};

/// Options: --config FILE, --check, --print-effective, --help, --version.
int run_program(program const& p, int argc, char const* const* argv);

} // namespace dotterellock

#endif
