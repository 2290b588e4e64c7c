#include <dotterellock/messages.hpp>

#include <type_traits>

namespace dotterellock
{

namespace
{

template<typename T, typename = void>
struct has_request : std::false_type
{
};

template<typename T>
struct has_request<T, std::void_t<decltype(std::declval<T>().request)>>
    : std::true_type
{
};

constexpr char const* kind_names[] = {
    "reserve",
    "withdraw",
    "offer",
    "reserve_refused",
    "dispatch_generation",
    "acknowledge",
    "cancel",
    "attach",
    "attach_result",
    "token_batch",
    "generation_finished",
    "generation_failed",
    "dispatch_call",
    "query_call",
    "call_result",
    "ping",
    "pong",
    "load_report",
    "prefix_hint",
    "journal_append",
    "journal_appended",
    "journal_read",
    "journal_state",
    "configuration_digest",
    "configuration_push"};

static_assert(
    sizeof(kind_names) / sizeof(kind_names[0]) == std::variant_size_v<message>,
    "kind_names must name every message type, in the order of the variant");

} // namespace

request_id const* request_of(message const& m)
{
    return std::visit(
        [](auto const& alternative) -> request_id const*
        {
            using type = std::decay_t<decltype(alternative)>;
            if constexpr (has_request<type>::value)
                return &alternative.request;
            else
                return nullptr;
        },
        m);
}

char const* kind_of(message const& m)
{
    return kind_names[m.index()];
}

} // namespace dotterellock
