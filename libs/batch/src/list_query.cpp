#include "foxtaillift/batch/list_query.hpp"

#include "cell_state.hpp"

#include <algorithm>

namespace foxtaillift::batch
{

namespace
{

std::vector<base::task_id> known_tasks(cell_state const& state)
{
    std::vector<base::task_id> names;
    names.reserve(state.owned.task_by_id.size() + state.owned.history.size());
    for (auto const& [task, index] : state.owned.task_by_id) {
        names.push_back(task);
    }
    names.insert(
        names.end(), state.owned.history.begin(), state.owned.history.end());
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

bool is_wanted(task_view const& task, task_filter const& filter)
{
    return (filter.team.empty() || filter.team == task.spec.team) &&
           (filter.state.empty() || filter.state == to_string(task.state));
}

} // namespace

std::vector<task_view> list_tasks(
    cell_state const& state,
    task_filter const& filter,
    std::size_t limit,
    base::instant now)
{
    std::vector<task_view> found;
    for (auto const& name : known_tasks(state)) {
        if (found.size() >= limit) {
            break;
        }
        auto view = find_task(state, name, now);
        if (view && is_wanted(*view, filter)) {
            found.push_back(std::move(*view));
        }
    }
    return found;
}

} // namespace foxtaillift::batch
