// What an agent remembers of each decision on a call for the life of its
// incarnation: passed on, or closed for ever. 8 bytes a decision at best, in
// bounded memory. Owned by one call_gate.
#ifndef DOTTERELLOCK_CLAIMS_DECISION_MEMORY_HPP
#define DOTTERELLOCK_CLAIMS_DECISION_MEMORY_HPP

#include <cstdint>
#include <utility>

#include <xxhash.h>

#include <dotterellock/types.hpp>

#include "claims/digest_set.hpp"

namespace dotterellock
{

class decision_memory
{
public:
    /// @param seed   of the digests, so that they differ between agents
    /// @param bound  the newest `bound` decisions are kept, and up to as many
    ///               older ones
    decision_memory(std::uint64_t seed, std::size_t bound)
        : seed_(seed), bound_(bound)
    {
    }

    void remember_passed_on(request_id const& request)
    {
        make_room();
        passed_on_.insert(digest_of(request));
    }

    void remember_closed(request_id const& request)
    {
        make_room();
        closed_.insert(digest_of(request));
    }

    bool was_passed_on(request_id const& request) const
    {
        auto const digest = digest_of(request);
        return passed_on_.contains(digest) || older_passed_on_.contains(digest);
    }

    bool was_closed(request_id const& request) const
    {
        auto const digest = digest_of(request);
        return closed_.contains(digest) || older_closed_.contains(digest);
    }

    /// False once a decision was dropped: from then on a request without a
    /// decision may be one that ran.
    bool complete() const { return complete_; }

    std::size_t memory_bytes() const
    {
        return passed_on_.memory_bytes() + older_passed_on_.memory_bytes() +
               closed_.memory_bytes() + older_closed_.memory_bytes();
    }

private:
    std::uint64_t digest_of(request_id const& request) const
    {
        auto const& text = request.value();
        return XXH64(text.data(), text.size(), seed_);
    }

    // Dropping old decisions cannot cause a second run: a permit is redeemed
    // once and expires long before this many newer decisions exist.
    void make_room()
    {
        if (passed_on_.size() + closed_.size() < bound_)
            return;
        complete_ = complete_ && older_passed_on_.size() == 0 &&
                    older_closed_.size() == 0;
        older_passed_on_ = std::exchange(passed_on_, {});
        older_closed_ = std::exchange(closed_, {});
    }

    std::uint64_t seed_;
    std::size_t bound_;
    bool complete_ = true;
    digest_set passed_on_, older_passed_on_;
    digest_set closed_, older_closed_;
};

} // namespace dotterellock

#endif
