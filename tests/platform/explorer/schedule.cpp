#include "schedule.hpp"

#include <array>
#include <random>

namespace dotterellock::testing::explorer
{

namespace
{

struct weighted_action
{
    action what;
    std::uint32_t weight;
};

constexpr std::array<char const*, action_count> action_names{
    "request",   "send_rest", "pause_reading", "read_some",  "resume_reading",
    "leave",     "answer",    "send_answer",   "events",     "end_stream",
    "drop",      "listen",    "mute",          "reset_idle", "row",
    "configure", "store",     "stop",          "advance",    "jump"};

class generator
{
public:
    explicit generator(std::uint64_t seed) : engine_(seed) {}

    schedule run(std::uint64_t seed)
    {
        schedule s;
        s.seed = seed;
        // Each schedule draws from some kinds of trouble only, so that most
        // requests of some schedules get far.
        draw_weights();
        draw_focus();
        if (one_in(3)) // one endpoint of each service
        {
            s.steps.push_back(
                {action::row, 1, std::uint32_t(row_form::removed)});
            s.steps.push_back(
                {action::row, 3, std::uint32_t(row_form::removed)});
        }
        std::size_t const length = 10 + below(50);
        std::uint32_t requests = 0;
        while (s.steps.size() < length)
        {
            auto next = draw_step();
            if (next.what == action::request && ++requests > max_requests)
                continue;
            s.steps.push_back(next);
        }
        return s;
    }

private:
    static constexpr std::uint32_t max_requests = 14;

    std::uint32_t below(std::uint32_t bound)
    {
        return std::uint32_t(engine_() % bound);
    }
    bool one_in(std::uint32_t n) { return below(n) == 0; }

    void draw_weights()
    {
        auto const some = [this](std::uint32_t weight)
        { return one_in(2) ? weight : 0; };
        weights_ = {
            {action::request, 24},
            {action::send_rest, some(8)},
            {action::pause_reading, some(2)},
            {action::read_some, some(2)},
            {action::resume_reading, some(3)},
            {action::leave, some(2)},
            {action::answer, 18},
            {action::send_answer, 8},
            {action::events, 18},
            {action::end_stream, 6},
            {action::drop, some(6)},
            {action::listen, some(3)},
            {action::mute, some(2)},
            {action::reset_idle, some(2)},
            {action::row, some(4)},
            {action::configure, some(4)},
            {action::store, some(3)},
            {action::stop, one_in(3) ? 1u : 0u},
            {action::advance, 24},
            {action::jump, some(2)}};
        total_ = 0;
        for (auto const& w : weights_)
            total_ += w.weight;
        whole_requests_ = one_in(2);
        sound_answers_ = one_in(3);
    }

    /// Some schedules have requests of one or two routes only, and trouble at
    /// the endpoints of one service.
    void draw_focus()
    {
        routes_ = {below(route_count), below(route_count)};
        if (one_in(2))
            routes_ = {0, 1, 2, 3, 4, 5};
        first_endpoint_ = one_in(2) ? 0 : 2 * below(2);
        endpoints_ = first_endpoint_ == 0 && one_in(2) ? endpoint_count : 2;
    }

    std::uint32_t draw_endpoint()
    {
        return first_endpoint_ + below(endpoints_);
    }

    action draw_action()
    {
        auto at = below(total_);
        for (auto const& w : weights_)
        {
            if (at < w.weight)
                return w.what;
            at -= w.weight;
        }
        return action::advance;
    }

    /// Bytes of the next piece; 0 is all.
    std::uint32_t piece()
    {
        switch (below(4))
        {
        case 0:
            return 1 + below(40);
        case 1:
            return 1 + below(4000);
        default:
            return 0;
        }
    }

    step draw_step()
    {
        step s{draw_action()};
        switch (s.what)
        {
        case action::request:
            s.who = below(caller_count);
            s.form =
                routes_[below(std::uint32_t(routes_.size()))] + 8 * below(2);
            s.size = below(4) + 4 * below(3);
            s.amount = whole_requests_ ? 0 : piece();
            break;
        case action::send_rest:
        case action::read_some:
            s.who = below(caller_count);
            s.amount = piece();
            break;
        case action::pause_reading:
        case action::resume_reading:
            s.who = below(caller_count);
            break;
        case action::leave:
            s.who = below(caller_count);
            s.form = below(3);
            break;
        case action::answer:
            s.who = below(8);
            s.form = sound_answers_ || one_in(2) ? below(3)
                                                 : below(answer_form_count);
            s.size = one_in(5) ? 200000 + below(500000) : below(3000);
            s.amount = piece();
            break;
        case action::send_answer:
            s.who = below(8);
            s.amount = one_in(3) ? 1 + below(300000) : piece();
            break;
        case action::events:
            s.who = below(8);
            s.form = one_in(2) ? 0 : below(event_form_count);
            s.size = 1 + below(4);
            s.amount = one_in(3) ? piece() : 0;
            break;
        case action::end_stream:
            s.who = below(8);
            s.form = one_in(4) ? 1 : 0;
            break;
        case action::drop:
            s.who = below(8);
            s.form = below(2);
            break;
        case action::listen:
        case action::mute:
            s.who = draw_endpoint();
            s.form = below(2);
            break;
        case action::reset_idle:
            s.who = draw_endpoint();
            break;
        case action::row:
            s.who = draw_endpoint();
            s.form = below(row_form_count);
            break;
        case action::configure:
            s.form = below(configuration_form_count);
            s.size = configuration_form(s.form) == configuration_form::attempts
                         ? 1 + below(4)
                         : below(2);
            break;
        case action::store:
            s.form = below(3);
            break;
        case action::stop:
            break;
        case action::advance:
            s.amount = 20 << below(8); // 20 ms to 2.56 s
            break;
        case action::jump:
            s.amount = 100 << below(7); // 100 ms to 6.4 s
            break;
        }
        return s;
    }

    std::mt19937_64 engine_;
    std::vector<weighted_action> weights_;
    std::uint32_t total_ = 0;
    std::vector<std::uint32_t> routes_;
    std::uint32_t first_endpoint_ = 0;
    std::uint32_t endpoints_ = endpoint_count;
    bool whole_requests_ = true;
    bool sound_answers_ = true;
};

} // namespace

schedule generate(std::uint64_t seed)
{
    return generator(seed).run(seed);
}

std::string to_text(schedule const& s)
{
    std::string text = "{" + std::to_string(s.seed) + ", {\n";
    for (auto const& x : s.steps)
        text += std::string("    {action::") +
                action_names[std::size_t(x.what)] + ", " +
                std::to_string(x.who) + ", " + std::to_string(x.form) + ", " +
                std::to_string(x.size) + ", " + std::to_string(x.amount) +
                "},\n";
    return text + "}}\n";
}

std::size_t body_bytes(std::uint32_t size)
{
    constexpr std::array<std::size_t, 4> bytes{0, 10, 3000, 60000};
    return bytes[size % bytes.size()];
}

} // namespace dotterellock::testing::explorer
