// Records for each non-repeatable call whether the agent has forwarded it to
// the service or closed it, after which it is never forwarded. Decisions are
// kept for one incarnation as 64-bit digests, in bounded memory and at least
// 8 bytes each. Owned by one call_runner.
#ifndef DOTTERELLOCK_CLAIMS_CALL_DECISION_SET_HPP
#define DOTTERELLOCK_CLAIMS_CALL_DECISION_SET_HPP

#include <cstdint>
#include <utility>

#include <xxhash.h>

#include <dotterellock/types.hpp>

#include "claims/digest_set.hpp"

namespace dotterellock
{

class call_decision_set
{
public:
    /// @param seed      hash seed, so that digests differ between agents
    /// @param capacity  the newest `capacity` decisions are kept, and up to as
    ///                  many older ones
    call_decision_set(std::uint64_t seed, std::size_t capacity)
        : seed_(seed), capacity_(capacity)
    {
    }

    void record_forwarded(request_id const& request)
    {
        rotate_if_full();
        forwarded_.insert(digest_of(request));
    }

    void record_closed(request_id const& request)
    {
        rotate_if_full();
        closed_.insert(digest_of(request));
    }

    bool was_forwarded(request_id const& request) const
    {
        auto const digest = digest_of(request);
        return forwarded_.contains(digest) ||
               previous_forwarded_.contains(digest);
    }

    bool was_closed(request_id const& request) const
    {
        auto const digest = digest_of(request);
        return closed_.contains(digest) || previous_closed_.contains(digest);
    }

    /// False once a decision has been dropped. From then on a request without a
    /// decision may have run.
    bool is_complete() const { return complete_; }

    std::size_t memory_bytes() const
    {
        return forwarded_.memory_bytes() + previous_forwarded_.memory_bytes() +
               closed_.memory_bytes() + previous_closed_.memory_bytes();
    }

private:
    std::uint64_t digest_of(request_id const& request) const
    {
        auto const& text = request.value();
        return XXH64(text.data(), text.size(), seed_);
    }

    // Dropping old decisions cannot cause a second run, because a permit can be
    // redeemed only once and expires long before `capacity` newer decisions
    // are recorded.
    void rotate_if_full()
    {
        if (forwarded_.size() + closed_.size() < capacity_)
            return;
        complete_ = complete_ && previous_forwarded_.size() == 0 &&
                    previous_closed_.size() == 0;
        previous_forwarded_ = std::exchange(forwarded_, {});
        previous_closed_ = std::exchange(closed_, {});
    }

    std::uint64_t seed_;
    std::size_t capacity_;
    bool complete_ = true;
    digest_set forwarded_, previous_forwarded_;
    digest_set closed_, previous_closed_;
};

} // namespace dotterellock

#endif
