// See numeric/conversion/cast.hpp. Same layout as Boost's: one pointer.
#ifndef DOTTERELLOCK_COMPAT_BOOST_SCOPED_ARRAY_HPP
#define DOTTERELLOCK_COMPAT_BOOST_SCOPED_ARRAY_HPP

#include <cstddef>

namespace boost
{

template<typename T>
class scoped_array
{
public:
    explicit scoped_array(T* p = nullptr) : p_(p) {}
    ~scoped_array() { delete[] p_; }
    scoped_array(scoped_array const&) = delete;
    scoped_array& operator=(scoped_array const&) = delete;

    void reset(T* p = nullptr)
    {
        delete[] p_;
        p_ = p;
    }
    T* get() const { return p_; }
    T& operator[](std::ptrdiff_t i) const { return p_[i]; }
    void swap(scoped_array& other)
    {
        T* const p = p_;
        p_ = other.p_;
        other.p_ = p;
    }

private:
    T* p_;
};

template<typename T>
void swap(scoped_array<T>& a, scoped_array<T>& b)
{
    a.swap(b);
}

} // namespace boost

#endif
