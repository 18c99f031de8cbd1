/// How many orders a leader sends.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstddef>

namespace foxtaillift::jobs
{

/// Orders a second, over spans of a quarter of a second, against a limit. Above
/// the limit the rate counts as high until it has been below four fifths of it
/// for some seconds: a peak comes in waves. Not thread-safe.
class order_rate
{
public:
    explicit order_rate(double orders_per_second)
        : limit(orders_per_second)
    {}

    // Commands

    void add(base::instant now)
    {
        ++this->count;
        auto const past = now - this->began;
        if (past < span) {
            return;
        }
        this->rate = static_cast<double>(this->count) * ms_per_second /
                     static_cast<double>(past.ms);
        this->count = 0;
        this->began = now;
        if (this->rate > this->limit ||
            (this->high && this->rate > this->limit * still_high)) {
            this->high = true;
            this->high_at = now;
        } else if (now - this->high_at >= hold) {
            this->high = false;
        }
    }

    // Queries

    [[nodiscard]] bool is_high() const { return this->high; }
    [[nodiscard]] double per_second() const { return this->rate; }

private:
    static constexpr base::duration span = base::milliseconds(250);
    static constexpr base::duration hold = base::seconds(3);
    static constexpr double ms_per_second = 1000;
    static constexpr double still_high = 0.8; // of the limit

    double limit;
    base::instant began{-1'000'000};
    base::instant high_at{-1'000'000};
    std::size_t count = 0;
    double rate = 0;
    bool high = false;
};

} // namespace foxtaillift::jobs
