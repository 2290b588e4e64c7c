// A generation as the HTTP front and the recovery module see it. The front
// starts, resumes and detaches; the recovery module delivers each token once
// and in order. Called under the lock of the shard that owns the request.
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

/// Where the caller stands after it lost its connection, decoded from the
/// Last-Event-ID it sent.
struct resume_point
{
    token_index next_index = 0;    // first token the caller lacks
    std::vector<std::string> tail; // last tokens the caller has,
                                   // ending at next_index - 1
    owner_epoch epoch = 0;         // of the router that sent them
};

/// Receives one generation's answer. Not called again after on_finished or
/// on_error, nor after detach.
class generation_listener
{
public:
    virtual ~generation_listener() = default;

    /// @param first     index of the first token
    /// @param event_id  value for the SSE id of the batch's last token
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

    /// A request whose id is already known is treated as resume from 0.
    virtual void start(
        generation_request request,
        std::shared_ptr<generation_listener> listener) = 0;

    virtual void resume(
        generation_request request, resume_point const& from,
        std::shared_ptr<generation_listener> listener) = 0;

    /// The caller's connection ended. The attempt goes on for the grace
    /// period, then it is cancelled.
    virtual void
    detach(request_id const& request, generation_listener const& listener) = 0;

    /// Tokens below next_index have left towards the caller; bounds buffers.
    virtual void
    caller_progress(request_id const& request, token_index next_index) = 0;

    /// Number of generations whose callers still wait, for planned stops.
    virtual std::size_t open_generations() const = 0;
};

/// Event ids carry what a takeover needs: "<epoch>.<next index>.<tail>", the
/// tail being the base64url JSON array of tokens no journal holder has
/// confirmed.
std::string encode_event_id(resume_point const& point);

/// Throws error(invalid_argument, "parse_event_id") for a malformed id.
resume_point decode_event_id(std::string const& id);

} // namespace dotterellock

#endif
