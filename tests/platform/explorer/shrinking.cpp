#include "shrinking.hpp"

#include <algorithm>

namespace dotterellock::testing::explorer
{

namespace
{

class shrinker
{
public:
    shrinker(
        schedule s, std::function<bool(schedule const&)> const& fails,
        std::size_t max_runs)
        : best_(std::move(s)), fails_(fails), runs_left_(max_runs)
    {
    }

    schedule run()
    {
        bool progress = true;
        while (progress && runs_left_ > 0)
        {
            progress = drop_steps();
            progress = reduce_values() || progress;
        }
        return best_;
    }

private:
    bool accept(schedule candidate)
    {
        if (runs_left_ == 0)
            return false;
        --runs_left_;
        if (!fails_(candidate))
            return false;
        best_ = std::move(candidate);
        return true;
    }

    /// Drops runs of steps, from half of them down to single ones.
    bool drop_steps()
    {
        bool progress = false;
        for (std::size_t n = std::max<std::size_t>(best_.steps.size() / 2, 1);
             n > 0; n /= 2)
        {
            std::size_t at = 0;
            while (at < best_.steps.size())
            {
                auto candidate = best_;
                auto const begin = candidate.steps.begin() + std::ptrdiff_t(at);
                auto const count = std::min(n, candidate.steps.size() - at);
                candidate.steps.erase(begin, begin + std::ptrdiff_t(count));
                if (accept(std::move(candidate)))
                    progress = true;
                else
                    at += n;
            }
        }
        return progress;
    }

    bool reduce_values()
    {
        bool progress = false;
        for (std::size_t i = 0; i < best_.steps.size(); ++i)
        {
            for (auto const member :
                 {&step::amount, &step::size, &step::form, &step::who})
                progress = reduce(i, member) || progress;
        }
        return progress;
    }

    bool reduce(std::size_t index, std::uint32_t step::*member)
    {
        bool progress = false;
        while (best_.steps[index].*member != 0)
        {
            auto zero = best_;
            zero.steps[index].*member = 0;
            auto half = best_;
            half.steps[index].*member /= 2;
            bool const accepted = accept(zero) || accept(half);
            if (!accepted)
                break;
            progress = true;
        }
        return progress;
    }

    schedule best_;
    std::function<bool(schedule const&)> const& fails_;
    std::size_t runs_left_;
};

} // namespace

schedule shrink(
    schedule s, std::function<bool(schedule const&)> const& fails,
    std::size_t max_runs)
{
    return shrinker(std::move(s), fails, max_runs).run();
}

} // namespace dotterellock::testing::explorer
