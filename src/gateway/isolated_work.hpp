// Keeps the failure of one piece of work from the work beside it: one row of a
// table, one call, one step of a timer.
#ifndef DOTTERELLOCK_GATEWAY_ISOLATED_WORK_HPP
#define DOTTERELLOCK_GATEWAY_ISOLATED_WORK_HPP

#include <exception>
#include <string>

#include <dotterellock/error.hpp>

namespace dotterellock
{

/// Runs `work`. If it ends with an exception, passes the reason to `report`.
/// @return whether the work was completed
template<typename Work, typename Report>
bool run_isolated(Work const& work, Report const& report)
{
    try
    {
        work();
        return true;
    }
    catch (error const& e)
    {
        report(e.detail());
    }
    catch (std::exception const& e)
    {
        report(std::string(e.what()));
    }
    return false;
}

} // namespace dotterellock

#endif
