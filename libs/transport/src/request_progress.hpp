/// Tells since when a request that is still arriving has made no progress.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace foxtaillift::transport
{

/// A byte counts as progress only as long as the request has arrived at
/// `least_rate` on average, so that single bytes now and then do not keep a
/// request alive.
class request_progress
{
public:
    /// Bytes a second. A body of 256 KB that needs longer than 16 s is of no
    /// use to a caller, who waits for a few seconds.
    static constexpr std::int64_t least_rate = 16 * 1024;

    /// A request may arrive from now on.
    void begin(base::instant now)
    {
        this->began = now;
        this->last = now;
        this->bytes = 0;
    }
    void add(std::size_t count, base::instant now)
    {
        this->bytes += static_cast<std::int64_t>(count);
        this->last = now;
    }
    [[nodiscard]] base::instant at() const
    {
        constexpr std::int64_t ms_per_second = 1000;
        return std::min(
            this->last,
            this->began +
                base::milliseconds(this->bytes * ms_per_second / least_rate));
    }

private:
    base::instant began{};
    base::instant last{};
    std::int64_t bytes = 0;
};

} // namespace foxtaillift::transport
