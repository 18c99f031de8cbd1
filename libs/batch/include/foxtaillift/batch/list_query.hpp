/// Lists of tasks, for operators and for moves between cells.
#pragma once

#include "foxtaillift/batch/cell_query.hpp"

#include <cstddef>
#include <string>
#include <vector>

namespace foxtaillift::batch
{

/// Empty fields match everything.
struct task_filter
{
    base::team_id team;
    std::string state; ///< name of a task_state
};

/// At most `limit` tasks, ordered by identifier.
std::vector<task_view> list_tasks(
    cell_state const& state,
    task_filter const& filter,
    std::size_t limit,
    base::instant now);

} // namespace foxtaillift::batch
