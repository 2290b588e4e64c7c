// HTTP client of an engine: streams completions as server-sent events and sends
// placement orders. State is accessed only in functions run by the
// post_function or called by the owner, that is, under the owner's mutex.
#ifndef DOTTERELLOCK_CLIENTS_HTTP_ENGINE_HPP
#define DOTTERELLOCK_CLIENTS_HTTP_ENGINE_HPP

#include <memory>

#include <dotterellock/external_services.hpp>

#include "curl_executor.hpp"

namespace dotterellock
{

class http_engine : public engine
{
public:
    http_engine(
        std::string base_url, curl_executor& executor, post_function post);
    ~http_engine() override;
    http_engine(http_engine const&) = delete;
    http_engine& operator=(http_engine const&) = delete;

    engine_run_id
    start(dispatch_generation const& dispatch, engine_events events) override;
    void cancel(engine_run_id run) override;
    void order(
        engine_order const& order,
        std::function<void(std::optional<error>)> done) override;

private:
    struct state;

    std::string base_url_;
    curl_executor& executor_;
    post_function post_;
    std::shared_ptr<state> state_; // posted functions hold a weak_ptr
};

} // namespace dotterellock

#endif
