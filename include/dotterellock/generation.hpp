// Generations: the interface between the HTTP server, which starts, resumes and
// detaches, and the recovery module, which delivers each token once and in
// order. Called while holding the lock of the shard that owns the request.
#ifndef DOTTERELLOCK_GENERATION_HPP
#define DOTTERELLOCK_GENERATION_HPP

#include <memory>
#include <string>
#include <vector>

#include <dotterellock/error.hpp>
#include <dotterellock/messages.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock
{

struct generation_request
{
    request_id request;
    organisation_id organisation;
    dotterellock::rank rank = rank::standard;
    model_ref model;
    std::string prompt;
    dotterellock::sampling sampling;
};

/// Position at which a caller resumes an answer after its connection was lost,
/// decoded from the Last-Event-ID header.
struct resume_point
{
    token_index next_index = 0;    // first token the caller lacks
    std::vector<std::string> tail; // last tokens the caller has,
                                   // ending at next_index - 1
    owner_epoch epoch = 0;         // of the router that sent them
};

/// Receives the answer of one generation. Not called again after on_finished or
/// on_error, nor after detach.
class generation_listener
{
public:
    virtual ~generation_listener() = default;

    /// @param first     index of the first token
    /// @param event_id  SSE event id of the last token in `tokens`
    virtual void on_tokens(
        token_index first, std::vector<std::string> const& tokens,
        std::string const& event_id) = 0;
    virtual void on_finished(finish_reason reason, token_index total) = 0;
    virtual void on_error(error const& e) = 0;
};

class generation_service
{
public:
    virtual ~generation_service() = default;

    /// A request whose id is already known is resumed from token index 0.
    virtual void start(
        generation_request request,
        std::shared_ptr<generation_listener> listener) = 0;

    virtual void resume(
        generation_request request, resume_point const& from,
        std::shared_ptr<generation_listener> listener) = 0;

    /// The caller's connection was closed. The attempt continues for the grace
    /// period and is then cancelled.
    virtual void
    detach(request_id const& request, generation_listener const& listener) = 0;

    /// Tokens below next_index were sent to the caller; limits buffering.
    virtual void
    caller_progress(request_id const& request, token_index next_index) = 0;

    /// Number of generations whose callers still wait, for graceful shutdown.
    virtual std::size_t open_generations() const = 0;
};

/// An event id holds what a takeover needs: "<epoch>.<next index>.<tail>". The
/// tail is the JSON array of the tokens that no journal holder has confirmed,
/// in base64url.
std::string encode_event_id(resume_point const& point);

/// Throws error(invalid_argument) at step "parse_event_id" for a malformed id.
resume_point decode_event_id(std::string const& id);

} // namespace dotterellock

#endif
