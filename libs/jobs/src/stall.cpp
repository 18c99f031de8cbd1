#include "stall.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// Several reports may be lost in a row.
constexpr base::duration least_limit = base::milliseconds(2500);
/// Filling tasks get only what others leave.
constexpr base::duration least_filling_limit = base::milliseconds(5000);
/// The percent of a lasting task tells whether it is at work, not how far it
/// is.
constexpr base::duration lasting_limit = base::milliseconds(5000);

/// The limit by the time that one percent takes. Estimates are rough, and a
/// slow worker takes several times as long.
constexpr std::int64_t percents_in_limit = 8;

constexpr std::int64_t all_work = 100; // percent

/// A sound run gets past one percent in the end, however long that takes, while
/// one that is stuck for good does not hold its room for days.
constexpr std::uint32_t most_doublings = 10;

base::duration time_of_percent(run_entry const& run, step const& step)
{
    auto const estimated = step.estimate / all_work;
    if (run.first_percent < 0 || run.percent <= run.first_percent) {
        return estimated;
    }
    auto const own = (run.progressed_at - run.first_percent_at) /
                     (run.percent - run.first_percent);
    return std::max(estimated, own);
}

} // namespace

base::duration
stall_limit(run_entry const& run, step const& step, std::uint32_t stalls)
{
    if (step.is_lasting) {
        return lasting_limit;
    }
    auto const least = step.is_filling ? least_filling_limit : least_limit;
    auto const limit =
        std::max(least, time_of_percent(run, step) * percents_in_limit);
    constexpr std::uint32_t free_stalls = 1; // a bad worker or two
    auto const doublings =
        std::min(most_doublings, std::max(stalls, free_stalls) - free_stalls);
    return limit * (std::int64_t{1} << doublings);
}

} // namespace foxtaillift::jobs
