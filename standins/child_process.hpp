// Starts one program of this build and watches its output file. For demo,
// tests and bench only; the system's own processes start no others.
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
    /// Output and errors go to `log_file`.
    child_process(
        std::string const& binary, std::vector<std::string> const& arguments,
        std::string log_file);
    ~child_process(); // SIGKILL when it still runs
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;

    pid_t pid() const { return pid_; }
    std::string const& log_file() const { return log_file_; }

    void signal(int number) const;

    /// The exit status, or 128 + signal; empty while it still runs after
    /// `limit`.
    std::optional<int> wait(std::chrono::milliseconds limit);

    /// The value of `key=` in the first log line that has it. Throws
    /// std::runtime_error with the log when it does not appear in time.
    std::string
    logged_value(std::string const& key, std::chrono::milliseconds limit);

    /// False when the text did not appear in the log in time.
    bool wait_for_log(std::string const& text, std::chrono::milliseconds limit);

    std::string log() const;

private:
    bool poll(); // true once it has ended

    pid_t pid_ = -1;
    std::optional<int> status_;
    std::string log_file_;
};

} // namespace dotterellock::standins

#endif
