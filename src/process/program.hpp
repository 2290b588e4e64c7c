// The frame of a program: options, exit codes, settings file, signals. Used by
// the main thread only.
#ifndef DOTTERELLOCK_PROCESS_PROGRAM_HPP
#define DOTTERELLOCK_PROCESS_PROGRAM_HPP

#include <functional>
#include <string>

namespace dotterellock
{

enum class exit_code : int
{
    ok = 0,
    runtime = 1,  // the program failed while it ran
    usage = 2,    // wrong options
    settings = 3, // the settings file is missing or wrong
};

struct program
{
    std::string name;
    std::string purpose;

    /// Checks the settings; returns them as they are in force. Throws
    /// error(invalid_argument).
    std::function<std::string(std::string const& text, std::string const& file)>
        effective;

    /// Runs until a signal ends the process.
    std::function<void(std::string const& text, std::string const& file)> run;

    /// Environment variable that names the settings file when --config is
    /// absent; null for none.
    char const* settings_variable = nullptr;
};

/// Options: --config FILE, --check, --print-effective, --help, --version.
int run_program(program const& p, int argc, char const* const* argv);

} // namespace dotterellock

#endif
