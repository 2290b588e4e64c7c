// Set of 64-bit digests: a hash table with open addressing and linear probing.
// Keeps the decisions on calls after their results have expired. Owned by one
// call_decision_set.
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
        if (insert_into(slots_, nonzero(digest)))
            ++size_;
    }

    bool contains(std::uint64_t digest) const
    {
        return !slots_.empty() &&
               slots_[find_slot(slots_, nonzero(digest))] == nonzero(digest);
    }

    std::size_t size() const { return size_; }
    std::size_t memory_bytes() const
    {
        return slots_.capacity() * sizeof(std::uint64_t);
    }

private:
    /// 0 marks a free slot. The size is a power of two.
    using slot_array = std::vector<std::uint64_t>;

    static constexpr std::size_t initial_slot_count = 64;

    static std::uint64_t nonzero(std::uint64_t digest)
    {
        return digest == 0 ? 1 : digest;
    }

    /// Index of the slot that holds the digest, or of the free slot where it
    /// is to be inserted.
    static std::size_t find_slot(slot_array const& s, std::uint64_t digest)
    {
        std::size_t i = digest & (s.size() - 1);
        while (s[i] != 0 && s[i] != digest)
            i = (i + 1) & (s.size() - 1);
        return i;
    }

    static bool insert_into(slot_array& s, std::uint64_t digest)
    {
        auto& slot = s[find_slot(s, digest)];
        return std::exchange(slot, digest) == 0;
    }

    void grow()
    {
        slot_array larger(
            slots_.empty() ? initial_slot_count : slots_.size() * 2);
        for (auto const digest : slots_)
        {
            if (digest != 0)
                insert_into(larger, digest);
        }
        slots_ = std::move(larger);
    }

    slot_array slots_;
    std::size_t size_ = 0;
};

} // namespace dotterellock

#endif
