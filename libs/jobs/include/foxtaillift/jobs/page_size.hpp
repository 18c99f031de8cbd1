/// How many rows of a table are read in one call.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <algorithm>
#include <cstddef>

namespace foxtaillift::jobs
{

/// A call to the store has a time limit. A host that is short of processor time
/// or link, or a store that is slow, may never finish a page of the largest
/// size within it, and would ask for the same page again and again: a leader
/// under load did not see cancellations for 11 s. So pages get smaller when
/// calls run out of time, and larger again while answers are quick. Not
/// thread-safe.
class page_size
{
public:
    // Commands

    /// A page came after this long.
    void on_answer(base::duration took)
    {
        if (took <= quick_answer) {
            this->count = std::min(most_rows, this->count * growth);
        }
    }

    /// A call ran out of time.
    void on_timeout()
    {
        this->count = std::max(least_rows, this->count / shrinkage);
    }

    // Queries

    [[nodiscard]] std::size_t rows() const { return this->count; }

    static constexpr std::size_t most_rows = 500; ///< the store's limit
    static constexpr std::size_t least_rows = 25;

private:
    /// A quarter of the time limit, since a page may grow to twice the size.
    static constexpr base::duration quick_answer = base::milliseconds(250);
    static constexpr std::size_t growth = 2;
    static constexpr std::size_t shrinkage = 4;

    std::size_t count = most_rows;
};

} // namespace foxtaillift::jobs
