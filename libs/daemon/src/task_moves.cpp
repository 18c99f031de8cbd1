// Moves of waiting tasks to other cells.
#include "task_service.hpp"

#include "foxtaillift/batch/list_query.hpp"

#include <utility>

namespace foxtaillift::daemon
{

namespace
{

/// A task that waits this long in its cell may move to another one.
constexpr auto wait_before_move = base::seconds(5);
/// Moves of one cell in a second.
constexpr std::size_t moves_at_once = 8;

} // namespace

void task_service::rebalance()
{
    for (auto const& [cell, driver] : this->cells.all()) {
        if (batch::summarize(driver->state()).phase !=
            batch::cell_phase::active) {
            continue;
        }
        this->move_tasks(cell, *driver, "queued", wait_before_move);
        // In a cell that left the platform's list every task counts as
        // impossible. Other cells keep such tasks, which would go in circles.
        if (this->hosts.workers_of(cell).empty()) {
            this->move_tasks(cell, *driver, "impossible", {});
        }
    }
}

void task_service::move_tasks(
    base::cell_id const& cell,
    cell_driver& driver,
    std::string const& state,
    base::duration least_wait)
{
    batch::task_filter const waiting{.team = {}, .state = state};
    for (auto const& task : batch::list_tasks(
             driver.state(), waiting, moves_at_once, this->shared.now())) {
        if (task.waiting < least_wait) {
            continue;
        }
        auto const& size = task.spec.size;
        auto const target = this->choose_cell(size, cell);
        auto const room =
            target ? this->loads.batch_free(*target) : std::nullopt;
        if (!room || *room < size.processors) {
            continue;
        }
        this->loads.count_submitted(*target, size.processors);
        base::event_line line{"task_move"};
        line.add("task", task.task).add("from", cell).add("to", *target);
        this->shared.log.write(line.add("reason", "waits without room"));
        driver.move(task.task, *target, [](batch::move_reply const&) {});
    }
}

} // namespace foxtaillift::daemon
