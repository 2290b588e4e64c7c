// Simulates a plain service that counts how often each request was executed.
//
// any method, any path       executes the call, responds with JSON
// POST /admin/fault          {"down":b,"lose_answers":b,"delay_ms":n}
// GET  /admin/runs           {"runs":{"request id":count}}
#ifndef DOTTERELLOCK_STANDINS_PLAIN_SERVICE_STANDIN_HPP
#define DOTTERELLOCK_STANDINS_PLAIN_SERVICE_STANDIN_HPP

#include <map>
#include <vector>

#include "standin.hpp"

namespace dotterellock::standins
{

class plain_service_standin : public standin
{
public:
    explicit plain_service_standin(asio::io_context& context)
        : context_(context)
    {
    }

    void
    handle(http_call const& call, std::shared_ptr<http_reply> reply) override;

private:
    void handle_fault(std::string const& body, http_reply& reply);

    asio::io_context& context_;
    std::map<std::string, unsigned> runs_;
    std::vector<std::shared_ptr<http_reply>> unanswered_; // never sent
    bool down_ = false;
    bool lose_answers_ = false;
    milliseconds delay_{5};
};

} // namespace dotterellock::standins

#endif
