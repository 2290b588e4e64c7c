#include "child_process.hpp"

#include <csignal>
#include <cstring>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace dotterellock::standins
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{5};
constexpr int signal_status_base = 128;
constexpr mode_t log_mode = 0644;

class file_actions
{
public:
    file_actions() { posix_spawn_file_actions_init(&actions_); }
    ~file_actions() { posix_spawn_file_actions_destroy(&actions_); }
    file_actions(file_actions const&) = delete;
    file_actions& operator=(file_actions const&) = delete;

    void redirect_output(std::string const& file)
    {
        posix_spawn_file_actions_addopen(
            &actions_, STDOUT_FILENO, file.c_str(),
            O_WRONLY | O_CREAT | O_TRUNC, log_mode);
        posix_spawn_file_actions_adddup2(
            &actions_, STDOUT_FILENO, STDERR_FILENO);
    }

    /// Keeps the program from inheriting, and so holding open, the connections
    /// of this process.
    void close_inherited_files()
    {
        posix_spawn_file_actions_addclosefrom_np(&actions_, STDERR_FILENO + 1);
    }

    posix_spawn_file_actions_t const* get() const { return &actions_; }

private:
    posix_spawn_file_actions_t actions_{};
};

} // namespace

child_process::child_process(
    std::string const& binary, std::vector<std::string> const& arguments,
    std::string log_file)
    : log_file_(std::move(log_file))
{
    std::vector<std::string> command{binary};
    command.insert(command.end(), arguments.begin(), arguments.end());
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (auto& argument : command)
        argv.push_back(argument.data());
    argv.push_back(nullptr);

    file_actions actions;
    actions.redirect_output(log_file_);
    actions.close_inherited_files();
    int const failure = posix_spawn(
        &pid_, binary.c_str(), actions.get(), nullptr, argv.data(), environ);
    if (failure != 0)
        throw std::runtime_error(
            "cannot start " + binary + ": " + std::strerror(failure));
}

child_process::~child_process()
{
    if (has_exited())
        return;
    ::kill(pid_, SIGKILL);
    int wait_status = 0;
    ::waitpid(pid_, &wait_status, 0);
}

void child_process::signal(int number) const
{
    if (!status_)
        ::kill(pid_, number);
}

bool child_process::has_exited()
{
    if (status_)
        return true;
    int wait_status = 0;
    if (::waitpid(pid_, &wait_status, WNOHANG) != pid_)
        return false;
    status_ = WIFSIGNALED(wait_status)
                  ? signal_status_base + WTERMSIG(wait_status)
                  : WEXITSTATUS(wait_status);
    return true;
}

std::optional<int> child_process::wait(std::chrono::milliseconds limit)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!has_exited() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(poll_interval);
    return status_;
}

std::string child_process::logged_value(
    std::string const& key, std::chrono::milliseconds limit)
{
    std::string const wanted = " " + key + "=";
    auto const end = std::chrono::steady_clock::now() + limit;
    for (;;)
    {
        std::string const text = " " + log();
        std::size_t const found = text.find(wanted);
        if (found != std::string::npos)
        {
            std::size_t const begin = found + wanted.size();
            std::size_t const stop = text.find_first_of(" \n", begin);
            if (stop != std::string::npos)
                return text.substr(begin, stop - begin);
        }
        if (has_exited() || std::chrono::steady_clock::now() >= end)
            throw std::runtime_error(
                "no " + key + "= in " + log_file_ + ":\n" + log());
        std::this_thread::sleep_for(poll_interval);
    }
}

bool child_process::wait_for_log(
    std::string const& text, std::chrono::milliseconds limit)
{
    auto const end = std::chrono::steady_clock::now() + limit;
    while (log().find(text) == std::string::npos)
    {
        bool const ended = has_exited();
        bool const late = std::chrono::steady_clock::now() >= end;
        if (ended || late)
            return log().find(text) != std::string::npos;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string child_process::log() const
{
    std::ifstream in(log_file_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

} // namespace dotterellock::standins
