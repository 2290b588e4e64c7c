// A compact set of 64-bit digests in open addressing: what an agent keeps of
// each decision after the result is gone. Owned by one call_gate.
#ifndef DOTTERELLOCK_CLAIMS_DIGEST_SET_HPP
#define DOTTERELLOCK_CLAIMS_DIGEST_SET_HPP

#include <cstdint>
#include <utility>
#include <vector>

namespace dotterellock
{

class digest_set
{
public:
    void insert(std::uint64_t digest)
    {
        if ((size_ + 1) * 4 > slots_.size() * 3)
            grow();
        if (place(slots_, usable(digest)))
            ++size_;
    }

    bool contains(std::uint64_t digest) const
    {
        return !slots_.empty() &&
               slots_[find(slots_, usable(digest))] == usable(digest);
    }

    std::size_t size() const { return size_; }
    std::size_t memory_bytes() const
    {
        return slots_.capacity() * sizeof(std::uint64_t);
    }

private:
    using slots = std::vector<std::uint64_t>; // 0: free; size a power of two

    static constexpr std::size_t first_size = 64;

    static std::uint64_t usable(std::uint64_t digest)
    {
        return digest == 0 ? 1 : digest;
    }

    /// Slot that holds the digest, or the free one where it belongs.
    static std::size_t find(slots const& s, std::uint64_t digest)
    {
        std::size_t i = digest & (s.size() - 1);
        while (s[i] != 0 && s[i] != digest)
            i = (i + 1) & (s.size() - 1);
        return i;
    }

    static bool place(slots& s, std::uint64_t digest)
    {
        auto& slot = s[find(s, digest)];
        return std::exchange(slot, digest) == 0;
    }

    void grow()
    {
        slots larger(slots_.empty() ? first_size : slots_.size() * 2);
        for (auto const digest : slots_)
        {
            if (digest != 0)
                place(larger, digest);
        }
        slots_ = std::move(larger);
    }

    slots slots_;
    std::size_t size_ = 0;
};

} // namespace dotterellock

#endif
