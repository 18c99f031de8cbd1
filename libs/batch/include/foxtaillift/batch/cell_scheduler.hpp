/// The engine that the owner of one cell runs for its batch tasks.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/batch/actions.hpp"
#include "foxtaillift/batch/events.hpp"
#include "foxtaillift/batch/settings.hpp"

#include <memory>
#include <vector>

namespace foxtaillift::batch
{

class cell_state;

/// Turns events into actions; see events.hpp and actions.hpp for the contract
/// of each. Used by one thread. Time must not go backwards.
///
///     cell_scheduler scheduler{{.random_seed = seed}};
///     std::vector<action> actions;
///     scheduler.handle(cell_taken{cell, epoch}, now, actions);
///     scheduler.handle(workers_listed{workers}, now, actions);
///     scheduler.handle(log_replayed{head, objects, log, inbox}, now, actions);
///     for (action const& wanted : actions) { perform(wanted); }
///
/// Stored data that cannot be decoded is reported by base::error
/// (corrupt_data); the cell must then be given up.
class cell_scheduler
{
public:
    explicit cell_scheduler(scheduler_options options = {});
    ~cell_scheduler();
    cell_scheduler(cell_scheduler&&) noexcept;
    cell_scheduler& operator=(cell_scheduler&&) noexcept;

    /// Appends to `out`, which the caller empties and reuses.
    void
    handle(event const& input, base::instant now, std::vector<action>& out);

    /// For the functions of cell_query.hpp.
    [[nodiscard]] cell_state const& state() const { return *this->hidden; }

private:
    std::unique_ptr<cell_state> hidden;
};

} // namespace foxtaillift::batch
