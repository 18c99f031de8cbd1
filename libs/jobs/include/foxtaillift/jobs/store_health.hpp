/// How well the store serves this host, by the results of its calls.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/rows.hpp"

namespace foxtaillift::jobs
{

/// Not thread-safe.
class store_health
{
public:
    // Commands

    /// Call with the result of each call.
    void note(store_status status, base::duration took, base::instant now)
    {
        if (is_answer(status)) {
            this->answer_took = took;
            this->answered_at = now;
            this->failures = 0;
        } else {
            this->failed_at = now;
            ++this->failures;
        }
    }

    // Queries

    [[nodiscard]] static constexpr bool is_answer(store_status status)
    {
        return status == store_status::done || status == store_status::conflict;
    }

    /// It does not answer this host.
    [[nodiscard]] bool is_away(base::instant now) const
    {
        return this->failures >= failures_until_away &&
               now - this->failed_at < away_time;
    }

    /// Its last answer took longer than this.
    [[nodiscard]] bool is_slower_than(base::duration limit) const
    {
        return this->answer_took > limit;
    }

    [[nodiscard]] bool
    has_answered_within(base::duration span, base::instant now) const
    {
        return now - this->answered_at < span;
    }

private:
    /// It counts as away after this many failures in a row, until one call
    /// succeeds or this long after the last failure.
    static constexpr int failures_until_away = 2;
    /// A call to a store that has gone silent fails after 1 s, and the election
    /// calls it all the while.
    static constexpr base::duration away_time = base::milliseconds(1500);

    int failures = 0; ///< in a row
    base::instant failed_at{-1'000'000};
    base::instant answered_at{-1'000'000};
    base::duration answer_took{}; ///< of the last call that was answered
};

} // namespace foxtaillift::jobs
