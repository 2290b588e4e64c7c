// Fills aggregates with random values and compares them field by field. The
// number of fields is detected at compile time, so that tests also cover
// fields that are added later.
#ifndef DOTTERELLOCK_TESTS_RANDOM_VALUE_HPP
#define DOTTERELLOCK_TESTS_RANDOM_VALUE_HPP

#include <array>
#include <chrono>
#include <string>
#include <tuple>
#include <type_traits>
#include <vector>

#include <dotterellock/messages.hpp>
#include <dotterellock/runtime.hpp>

namespace dotterellock::testing
{

/// Converts to any type; only for use in unevaluated expressions.
struct any_field
{
    template<typename T>
    operator T() const;
};

template<typename T, typename Fields, typename = void>
struct initializable_from : std::false_type
{
};

template<typename T, typename... Fields>
struct initializable_from<
    T, std::tuple<Fields...>, std::void_t<decltype(T{Fields{}...})>>
    : std::true_type
{
};

template<typename T, typename... Fields>
constexpr std::size_t field_count()
{
    if constexpr (initializable_from<
                      T, std::tuple<Fields..., any_field>>::value)
        return field_count<T, Fields..., any_field>();
    else
        return sizeof...(Fields);
}

/// A tuple of references to all fields of an aggregate.
template<typename T>
auto fields_of(T& v)
{
    constexpr std::size_t n = field_count<std::remove_const_t<T>>();
    static_assert(
        n >= 1 && n <= 13, "unsupported number of fields: add a case below");
#define DOTTERELLOCK_FIELDS(count, ...)                                        \
    if constexpr (n == count)                                                  \
    {                                                                          \
        auto& [__VA_ARGS__] = v;                                               \
        return std::tie(__VA_ARGS__);                                          \
    }
    DOTTERELLOCK_FIELDS(1, a)
    DOTTERELLOCK_FIELDS(2, a, b)
    DOTTERELLOCK_FIELDS(3, a, b, c)
    DOTTERELLOCK_FIELDS(4, a, b, c, d)
    DOTTERELLOCK_FIELDS(5, a, b, c, d, e)
    DOTTERELLOCK_FIELDS(6, a, b, c, d, e, f)
    DOTTERELLOCK_FIELDS(7, a, b, c, d, e, f, g)
    DOTTERELLOCK_FIELDS(8, a, b, c, d, e, f, g, h)
    DOTTERELLOCK_FIELDS(9, a, b, c, d, e, f, g, h, i)
    DOTTERELLOCK_FIELDS(10, a, b, c, d, e, f, g, h, i, j)
    DOTTERELLOCK_FIELDS(11, a, b, c, d, e, f, g, h, i, j, k)
    DOTTERELLOCK_FIELDS(12, a, b, c, d, e, f, g, h, i, j, k, l)
    DOTTERELLOCK_FIELDS(13, a, b, c, d, e, f, g, h, i, j, k, l, m)
#undef DOTTERELLOCK_FIELDS
}

template<typename T>
constexpr unsigned enum_value_count()
{
    if constexpr (std::is_same_v<T, error_code>)
        return static_cast<unsigned>(error_code::internal_error) + 1;
    else if constexpr (std::is_same_v<T, call_outcome>)
        return 4;
    else
        return std::is_same_v<T, rank> ? 3 : 2;
}

inline std::string random_text(random_source& random)
{
    std::string text(random.below(40), '\0');
    for (char& c : text)
        c = static_cast<char>(random.below(256));
    return text;
}

template<typename T>
void fill(T& v, random_source& random);

template<typename T>
void fill(std::vector<T>& v, random_source& random)
{
    v.resize(random.below(20));
    for (T& item : v)
        fill(item, random);
}

template<typename T, std::size_t N>
void fill(std::array<T, N>& v, random_source& random)
{
    for (T& item : v)
        fill(item, random);
}

template<typename T>
void fill(T& v, random_source& random)
{
    if constexpr (std::is_enum_v<T>)
        v = static_cast<T>(random.below(enum_value_count<T>()));
    else if constexpr (std::is_integral_v<T>)
        v = static_cast<T>(random.next() >> random.below(64));
    else if constexpr (std::is_floating_point_v<T>)
        v = random.uniform() * 1e6;
    else if constexpr (std::is_same_v<T, milliseconds>)
        v = milliseconds(random.below(1u << 20));
    else if constexpr (std::is_same_v<T, std::string>)
        v = random_text(random);
    else if constexpr (std::is_constructible_v<T, std::string>)
        v = T(random_text(random)); // an identifier type
    else
        std::apply([&](auto&... f) { (fill(f, random), ...); }, fields_of(v));
}

template<typename T, typename = void>
struct has_equality : std::false_type
{
};

template<typename T>
struct has_equality<
    T, std::void_t<decltype(std::declval<T>() == std::declval<T>())>>
    : std::true_type
{
};

template<typename T>
bool equal(T const& a, T const& b)
{
    if constexpr (has_equality<T>::value)
    {
        return a == b;
    }
    else
    {
        return std::apply(
            [&](auto const&... x)
            {
                return std::apply(
                    [&](auto const&... y) { return (equal(x, y) && ...); },
                    fields_of(b));
            },
            fields_of(a));
    }
}

/// A message that holds alternative `kind` of the variant, with random fields.
template<std::size_t I = 0>
message random_message(std::size_t kind, random_source& random)
{
    if constexpr (I < std::variant_size_v<message>)
    {
        if (kind != I)
            return random_message<I + 1>(kind, random);
        std::variant_alternative_t<I, message> m;
        fill(m, random);
        return m;
    }
    else
    {
        return ping{};
    }
}

inline bool equal_messages(message const& a, message const& b)
{
    return a.index() == b.index() &&
           std::visit(
               [&b](auto const& x)
               { return equal(x, std::get<std::decay_t<decltype(x)>>(b)); },
               a);
}

} // namespace dotterellock::testing

#endif
