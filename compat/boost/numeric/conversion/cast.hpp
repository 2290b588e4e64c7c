// The part of Boost that the headers of Thrift 0.17 use. Debian's
// libthrift-dev does not depend on libboost-dev; with the latter installed its
// headers come first.
#ifndef DOTTERELLOCK_COMPAT_BOOST_NUMERIC_CAST_HPP
#define DOTTERELLOCK_COMPAT_BOOST_NUMERIC_CAST_HPP

#include <limits>
#include <typeinfo>

namespace boost
{

class bad_numeric_cast : public std::bad_cast
{
};

/// For integers: throws when the value does not fit.
template<typename To, typename From>
To numeric_cast(From value)
{
    auto const result = static_cast<To>(value);
    bool const sign_differs = (result < To{}) != (value < From{});
    if (static_cast<From>(result) != value || sign_differs)
        throw bad_numeric_cast();
    return result;
}

} // namespace boost

#endif
