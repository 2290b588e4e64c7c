// Reads a page of a gateway's status address.
#ifndef DOTTERELLOCK_CTL_STATUS_READER_HPP
#define DOTTERELLOCK_CTL_STATUS_READER_HPP

#include <chrono>
#include <functional>
#include <string>

#include "clients/curl_executor.hpp"

namespace dotterellock
{

struct status_answer
{
    int status = 0; // 0: no complete answer
    std::string body;
    std::string detail; // why there is none
};

class status_reader
{
public:
    virtual ~status_reader() = default;

    /// @param target  path and query
    virtual void
    read(std::string target, std::function<void(status_answer)> done) = 0;
};

class http_status_reader : public status_reader
{
public:
    // A gateway answers within a few tens of milliseconds, unless it is paused.
    static constexpr std::chrono::milliseconds timeout{5000};

    http_status_reader(
        std::string base_url, curl_executor& executor, post_function post);

    void
    read(std::string target, std::function<void(status_answer)> done) override;

private:
    std::string const base_url_;
    curl_executor& executor_;
    post_function const post_;
};

} // namespace dotterellock

#endif
