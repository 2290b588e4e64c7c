// Bound on the memory that one process holds for others: callers, endpoints,
// the store and peers. Load it answers: many holders at once, each within its
// own limit, that read nothing or write without end.
//
// Each holder may hold as much as a quarter of what is free (dynamic
// thresholds; Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2),
// 1998). So the sum stays below the limit for any number of holders, and a
// newcomer always finds room. Used by one thread.
#ifndef DOTTERELLOCK_GATEWAY_MEMORY_BUDGET_HPP
#define DOTTERELLOCK_GATEWAY_MEMORY_BUDGET_HPP

#include <array>
#include <cstddef>

namespace dotterellock
{

/// For whom memory is held.
enum class memory_use
{
    callers,
    endpoints,
    store,
    peers
};

inline constexpr std::array memory_uses{
    memory_use::callers, memory_use::endpoints, memory_use::store,
    memory_use::peers};

constexpr char const* to_string(memory_use use)
{
    switch (use)
    {
    case memory_use::callers:
        return "callers";
    case memory_use::endpoints:
        return "endpoints";
    case memory_use::store:
        return "store";
    case memory_use::peers:
        return "peers";
    }
    return "unknown";
}

class memory_budget
{
public:
    explicit memory_budget(std::size_t limit_bytes) : limit_(limit_bytes) {}

    memory_budget(memory_budget const&) = delete;
    memory_budget& operator=(memory_budget const&) = delete;

    std::size_t limit() const { return limit_; }
    std::size_t held() const { return held_; }
    std::size_t held(memory_use use) const { return by_use_[index(use)]; }

    /// Largest amount that one holder may reach now, in bytes.
    std::size_t allowance() const
    {
        return held_ < limit_ ? (limit_ - held_) / share_divisor : 0;
    }

private:
    friend class memory_account;

    static constexpr std::size_t share_divisor = 4;

    static std::size_t index(memory_use use) { return std::size_t(use); }

    std::size_t const limit_;
    std::size_t held_ = 0;
    std::array<std::size_t, memory_uses.size()> by_use_{};
};

/// What one holder holds. The budget outlives it.
class memory_account
{
public:
    memory_account(memory_budget& budget, memory_use use)
        : budget_(budget), use_(use)
    {
    }
    ~memory_account() { hold(0); }

    memory_account(memory_account const&) = delete;
    memory_account& operator=(memory_account const&) = delete;

    std::size_t held() const { return held_; }

    /// Whether a holder that can wait until it has given something back may
    /// grow to this many bytes. It may always shrink.
    bool may_hold(std::size_t bytes) const
    {
        return bytes <= held_ || bytes <= budget_.allowance();
    }

    /// Whether a holder that cannot wait may grow to this many bytes. Refused
    /// holders give up what they hold, so that others can end.
    bool may_grow(std::size_t bytes) const
    {
        return bytes <= held_ || bytes - held_ <= budget_.allowance();
    }

    /// Records what the holder holds now, allowed or not.
    void hold(std::size_t bytes)
    {
        budget_.held_ += bytes - held_;
        budget_.by_use_[memory_budget::index(use_)] += bytes - held_;
        held_ = bytes;
    }

private:
    memory_budget& budget_;
    memory_use const use_;
    std::size_t held_ = 0;
};

} // namespace dotterellock

#endif
