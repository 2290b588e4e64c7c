// Helpers for the gateway's unit tests: times and endpoint records.
#ifndef DOTTERELLOCK_TESTS_GATEWAY_FIXTURE_HPP
#define DOTTERELLOCK_TESTS_GATEWAY_FIXTURE_HPP

#include <string>

#include "gateway/endpoint_selector.hpp"

namespace dotterellock::testing
{

using std::chrono::milliseconds;

inline steady_time at(int ms)
{
    return steady_time{} + std::chrono::hours(1) + milliseconds(ms);
}

inline endpoint_record endpoint(
    std::string const& id, std::string const& zone,
    std::string const& service = "llm")
{
    endpoint_record r;
    r.id = endpoint_id(id);
    r.service = service_name(service);
    r.address = "10.0.0." +
                std::to_string(1 + std::hash<std::string>{}(id) % 250) + ":" +
                std::to_string(8000 + std::hash<std::string>{}(id) % 999);
    r.zone = zone_id(zone);
    r.slots = 8;
    return r;
}

inline topology test_location()
{
    return {zone_id("a1"), {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}};
}

inline engine_spec engine()
{
    engine_spec e;
    e.slots = 8;
    e.memory_tokens = 88000;
    e.standby_copies = true;
    return e;
}

inline endpoint_requirements prompt(std::string const& part = "p")
{
    endpoint_requirements w;
    w.service = service_name("llm");
    w.affinity_key = part;
    w.prompt_tokens = 8000;
    w.output_tokens = 650;
    return w;
}

} // namespace dotterellock::testing

#endif
