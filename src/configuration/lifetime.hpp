// Ties callbacks to the life of the object that registered them. A core
// object may be destroyed while a store answer or a timer is still due; the
// guarded callback then does nothing. Used under the owner's lock only.
#ifndef DOTTERELLOCK_CONFIGURATION_LIFETIME_HPP
#define DOTTERELLOCK_CONFIGURATION_LIFETIME_HPP

#include <memory>
#include <utility>

namespace dotterellock
{

class lifetime
{
public:
    lifetime() = default;
    lifetime(lifetime const&) = delete;
    lifetime& operator=(lifetime const&) = delete;

    template<typename Callback>
    auto guard(Callback callback) const
    {
        return [weak = std::weak_ptr<int>(token_),
                callback = std::move(callback)](auto&&... arguments)
        {
            if (!weak.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<int> token_ = std::make_shared<int>(0);
};

} // namespace dotterellock

#endif
