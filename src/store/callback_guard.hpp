// Lets an object drop callbacks that arrive after its destruction. A member of
// the object that hands out callbacks; used by its thread only.
#ifndef DOTTERELLOCK_STORE_CALLBACK_GUARD_HPP
#define DOTTERELLOCK_STORE_CALLBACK_GUARD_HPP

#include <memory>
#include <utility>

namespace dotterellock
{

class callback_guard
{
public:
    /// Wraps a callback so that it does nothing once this guard is destroyed.
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
