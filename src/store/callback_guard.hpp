// Drops callbacks that arrive after the destruction of their owner. A member of
// the object that passes out the callbacks; not thread-safe.
#ifndef DOTTERELLOCK_STORE_CALLBACK_GUARD_HPP
#define DOTTERELLOCK_STORE_CALLBACK_GUARD_HPP

#include <memory>
#include <utility>

namespace dotterellock
{

class callback_guard
{
public:
    /// Wraps a callback so that it is ignored once this guard is destroyed.
    template<typename Function>
    auto wrap(Function function) const
    {
        return [weak = std::weak_ptr<char>(alive_),
                function = std::move(function)](auto&&... arguments)
        {
            if (!weak.expired())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

private:
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace dotterellock

#endif
