#include "experiment.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include "../settings/yaml_reader.hpp"

namespace dotterellock::load
{

namespace
{

constexpr std::uint32_t max_prompt_bytes = 1 << 20;
constexpr std::uint32_t max_tokens = 100000;
constexpr milliseconds max_time{3600000};
constexpr milliseconds min_time{0};

arrival_class read_class(yaml_reader& reader)
{
    arrival_class c;
    reader.required("name", c.name);
    reader.required("api_key", c.api_key);
    reader.choice<dotterellock::rank>(
        "rank", c.rank,
        {{"urgent", rank::urgent},
         {"standard", rank::standard},
         {"background", rank::background}});
    reader.required("requests_per_second", c.requests_per_second, 0.001, 1e5);
    reader.optional("burst", c.burst, 1u, 10000u);
    reader.optional("starts_ms", c.starts, min_time, max_time);
    reader.optional("ends_ms", c.ends, min_time, max_time);
    reader.optional("prompt_bytes", c.prompt_bytes, 16u, max_prompt_bytes);
    reader.optional(
        "shared_prefix_bytes", c.shared_prefix_bytes, 0u, max_prompt_bytes);
    reader.optional("prefixes", c.prefixes, 1u, 100000u);
    reader.optional("output_tokens", c.output_tokens, 1u, max_tokens);
    reader.optional("tail_exponent", c.tail_exponent, 0.0, 10.0);
    reader.optional("max_output_tokens", c.max_output_tokens, 1u, max_tokens);
    reader.optional(
        "first_token_target_ms", c.first_token_target, milliseconds(1),
        max_time);
    reader.finish();
    return c;
}

/// Pseudo-random digits, determined by the number; they compress poorly.
std::string filler_text(std::uint64_t number, std::size_t bytes)
{
    std::mt19937_64 engine(number);
    std::string text;
    text.reserve(bytes + 16);
    while (text.size() < bytes)
        text += std::to_string(engine() % 1000000) + " ";
    text.resize(bytes);
    return text;
}

std::uint32_t output_length(arrival_class const& c, double uniform_sample)
{
    if (c.tail_exponent <= 0)
        return c.output_tokens;
    double const factor = std::pow(1 - uniform_sample, -1 / c.tail_exponent);
    double const length = c.output_tokens * factor;
    return static_cast<std::uint32_t>(
        std::min<double>(length, c.max_output_tokens));
}

class class_planner
{
public:
    class_planner(experiment const& e, std::size_t index)
        : class_(e.classes[index]), index_(index),
          engine_(e.seed * 1000003 + index)
    {
        end_ = class_.ends.count() > 0 ? std::min(class_.ends, e.duration)
                                       : e.duration;
    }

    void add_to(std::vector<arrival>& plan)
    {
        std::exponential_distribution<double> gap_seconds(
            class_.requests_per_second / class_.burst);
        double at_ms = static_cast<double>(class_.starts.count());
        for (;;)
        {
            at_ms += 1000 * gap_seconds(engine_);
            auto const at = milliseconds(std::llround(at_ms));
            if (at >= end_)
                return;
            for (std::uint32_t i = 0; i < class_.burst; ++i)
                plan.push_back(make_arrival(at));
        }
    }

private:
    arrival make_arrival(milliseconds at)
    {
        arrival a;
        a.at = at;
        a.class_index = index_;
        std::uint64_t const prefix = engine_() % class_.prefixes;
        std::size_t const shared =
            std::min(class_.shared_prefix_bytes, class_.prompt_bytes);
        a.prompt = filler_text(index_ * 1000003 + prefix, shared) +
                   filler_text(engine_(), class_.prompt_bytes - shared);
        std::uniform_real_distribution<double> uniform(0, 1);
        a.output_tokens = output_length(class_, uniform(engine_));
        return a;
    }

    arrival_class const& class_;
    std::size_t index_;
    std::mt19937_64 engine_;
    milliseconds end_{0};
};

} // namespace

experiment parse_experiment(std::string const& text, std::string const& file)
{
    experiment e;
    auto root = yaml_reader::parse(text, file);
    root.optional("seed", e.seed, std::uint64_t{0}, std::uint64_t{1} << 62);
    root.optional("duration_ms", e.duration, milliseconds(1), max_time);
    root.optional("answer_timeout_ms", e.answer_timeout, min_time, max_time);
    root.optional("reconnect_delay_ms", e.reconnect_delay, min_time, max_time);
    root.optional("max_open", e.max_open, 1u, 100000u);
    root.required("routers", e.routers);
    auto model = root.required_child("model");
    model.required("name", e.model.name);
    model.optional("adapter", e.model.adapter);
    model.required("version", e.model.version);
    model.finish();
    root.require("classes");
    for (auto& reader : root.children("classes"))
        e.classes.push_back(read_class(reader));
    root.finish();
    return e;
}

std::vector<arrival> make_plan(experiment const& e)
{
    std::vector<arrival> plan;
    for (std::size_t i = 0; i < e.classes.size(); ++i)
        class_planner(e, i).add_to(plan);
    std::stable_sort(
        plan.begin(), plan.end(),
        [](arrival const& a, arrival const& b) { return a.at < b.at; });
    return plan;
}

} // namespace dotterellock::load
