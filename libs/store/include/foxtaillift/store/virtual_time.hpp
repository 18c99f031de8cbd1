/// An event loop on virtual time for fakes, tests and benchmarks.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace foxtaillift::store
{

/// Runs functions at chosen instants. Functions of the same instant run in the
/// order in which they were scheduled. One thread.
///
///     virtual_time time;
///     time.schedule(base::milliseconds(5), [] { ... });
///     time.run_until(base::instant{1000});
class virtual_time
{
public:
    [[nodiscard]] base::instant now() const { return this->current; }
    [[nodiscard]] std::size_t pending() const { return this->events.size(); }

    /// Runs `function` after `delay`; a negative delay counts as zero.
    void schedule(base::duration delay, std::function<void()> function);

    /// Runs the next function. Returns false if there is none.
    bool run_next();

    /// Runs all functions up to and including `end`, then sets the time to it.
    void run_until(base::instant end);

private:
    base::instant current{};
    std::uint64_t sequence = 0;
    std::map<std::pair<base::instant, std::uint64_t>, std::function<void()>>
        events;
};

} // namespace foxtaillift::store
