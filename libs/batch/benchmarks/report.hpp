/// Ratios with their spread over several repeats.
#pragma once

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <vector>

namespace foxtaillift::batch
{

inline void
print_row(char const* what, std::vector<double> values, char const* target)
{
    std::sort(values.begin(), values.end());
    std::printf(
        "%-58s median %10.3f  min %10.3f  max %10.3f  target %s\n", what,
        values[values.size() / 2], values.front(), values.back(), target);
}

/// Processor time of this thread, so that other work on the machine does not
/// count.
inline double seconds_now()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / 1e9;
}

} // namespace foxtaillift::batch
