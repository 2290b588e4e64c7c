// First filter: parses the method, path and body of a request. Immutable,
// usable from any thread.
#ifndef DOTTERELLOCK_PIPELINE_PARSE_HPP
#define DOTTERELLOCK_PIPELINE_PARSE_HPP

#include "filter.hpp"

namespace dotterellock
{

struct parse_limits
{
    // A prompt must fit into one frame of the protocol between processes,
    // together with the tokens of a resumed generation.
    std::size_t max_body_bytes = 4u << 20;
    std::size_t max_json_depth = 32;
    std::uint32_t default_max_tokens = 1024;
    std::uint32_t max_tokens_limit = 131072;
};

class parse_filter : public filter
{
public:
    explicit parse_filter(parse_limits limits) : limits_(limits) {}

    void apply(request_context& context) override;

private:
    void parse_generation(request_context& context) const;

    parse_limits limits_;
};

} // namespace dotterellock

#endif
