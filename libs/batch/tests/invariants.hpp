/// Checks of a scheduler's own books, made after every event.
#pragma once

#include "cell_state.hpp"

#include <string>

namespace foxtaillift::batch
{

/// Empty if the ledger agrees with the runs, no worker is committed beyond its
/// capacity and each run belongs to at most one task.
inline std::string find_broken_invariant(cell_state const& state)
{
    auto const& own = state.owned;
    for (worker_index i = 0; i < own.workers.size(); ++i) {
        auto const& on = own.workers[i];
        formats::resources sum;
        for (auto const serial : on.runs) {
            auto const& value = own.runs.at(serial);
            if (value.phase != run_phase::ended) {
                sum += value.size;
            }
            bool const is_owner = value.task == no_index ||
                                  own.tasks[value.task].current_run == serial;
            if (!is_owner) {
                return "a run of " + value.task_name.str() +
                       " is not the one its task knows";
            }
        }
        if (!(sum == own.ledger.committed(i))) {
            return "the ledger of " + on.id.str() + " differs from its runs";
        }
        if (on.is_listed && !sum.fits_in(on.entry.capacity)) {
            return on.id.str() + " is overcommitted";
        }
    }
    for (auto const& task : own.tasks) {
        if (task.durable == nullptr) {
            continue;
        }
        bool const runs = task.current_run != 0;
        bool const waits = task.state == task_state::queued ||
                           task.state == task_state::impossible;
        if (runs && waits) {
            return task.durable->task.str() + " waits and runs";
        }
        if (waits && !task.is_in_queue && !task.is_cancel_pending &&
            !task.is_move_pending && task.state == task_state::queued) {
            return task.durable->task.str() + " is in no queue";
        }
    }
    return {};
}

} // namespace foxtaillift::batch
