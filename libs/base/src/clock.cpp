#include "foxtaillift/base/clock.hpp"

#include <ctime>

namespace foxtaillift::base
{

instant steady_clock::now() const
{
    auto const since = std::chrono::steady_clock::now().time_since_epoch();
    return {
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count()};
}

instant boot_clock::now() const
{
    constexpr std::int64_t ms_per_second = 1000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return {time.tv_sec * ms_per_second + time.tv_nsec / ns_per_ms};
}

std::int64_t wall_time_ms()
{
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace foxtaillift::base
