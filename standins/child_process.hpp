// Runs a program of this build as a child process and reads its log file. Only
// for the demo, tests and benchmarks; routers and agents start no processes.
#ifndef DOTTERELLOCK_STANDINS_CHILD_PROCESS_HPP
#define DOTTERELLOCK_STANDINS_CHILD_PROCESS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace dotterellock::standins
{

class child_process
{
public:
    /// Redirects stdout and stderr of the program to `log_file`.
    child_process(
        std::string const& binary, std::vector<std::string> const& arguments,
        std::string log_file);
    ~child_process(); // sends SIGKILL to a running process
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    pid_t pid() const { return pid_; }
    std::string const& log_file() const { return log_file_; }

    void signal(int number) const;

    /// Returns the exit status, or 128 + signal number; empty when the process
    /// is still running after `limit`.
    std::optional<int> wait(std::chrono::milliseconds limit);

    /// Waits for a log line with `key=` and returns the value in the first one.
    /// Throws std::runtime_error with the log when there is none within `limit`
    /// or before the process exits.
    std::string
    logged_value(std::string const& key, std::chrono::milliseconds limit);

    /// Returns false when the log does not contain `text` within `limit` or
    /// before the process exits.
    bool wait_for_log(std::string const& text, std::chrono::milliseconds limit);

    std::string log() const;

private:
    bool has_exited(); // does not block

    pid_t pid_ = -1;
    std::optional<int> status_;
    std::string log_file_;
};

} // namespace dotterellock::standins

#endif
