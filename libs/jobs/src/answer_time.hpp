/// How long workers take to answer, as this host sees it.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace foxtaillift::jobs
{

/// Tells from when on an answer is overdue: some deviations above the mean, as
/// retransmission timers do (RFC 6298). A busy host reads answers late; asking
/// again would make it busier.
class answer_time
{
public:
    void observe(base::duration took)
    {
        auto const ms = static_cast<double>(took.ms);
        this->deviation +=
            deviation_gain * (std::abs(ms - this->mean) - this->deviation);
        this->mean += mean_gain * (ms - this->mean);
    }

    [[nodiscard]] base::duration usual() const
    {
        return base::milliseconds(static_cast<std::int64_t>(this->mean));
    }

    [[nodiscard]] base::duration overdue() const
    {
        auto const limit = static_cast<std::int64_t>(
            this->mean + deviations * this->deviation);
        return std::clamp(base::milliseconds(limit), least, most);
    }

private:
    static constexpr double mean_gain = 1.0 / 8;
    static constexpr double deviation_gain = 1.0 / 4;
    static constexpr double deviations = 4;
    /// Answers take some 10 ms where the host has time.
    static constexpr base::duration least = base::milliseconds(80);
    /// The limit of the orders themselves.
    static constexpr base::duration most = base::milliseconds(400);

    double mean = 10; // ms
    double deviation = 5;
};

} // namespace foxtaillift::jobs
