#include "foxtaillift/batch/cell_query.hpp"

#include "cell_state.hpp"

#include <algorithm>

namespace foxtaillift::batch
{

namespace
{

worker_view make_view(cell_state const& state, worker_index index)
{
    auto const& own = state.owned;
    auto const& on = own.workers[index];
    auto const* reason = state.closed_reason(on);
    worker_view view;
    view.worker = on.id;
    view.is_adopted = on.is_audited;
    view.is_reachable = on.link == worker_link::adopted;
    view.takes_work = reason == nullptr;
    view.reason = reason == nullptr ? "" : reason;
    view.capacity = on.entry.capacity;
    view.committed = own.ledger.committed(index);
    view.free = own.ledger.free_normal(index);
    view.pressure = on.pressure.ratio;
    view.predicted_pressure = state.predict_ratio(on);
    for (auto const serial : on.runs) {
        view.runs += own.runs.at(serial).phase != run_phase::ended ? 1 : 0;
    }
    return view;
}

std::string explain_run(cell_state const& state, live_task const& task)
{
    auto const found = state.owned.runs.find(task.current_run);
    if (found == state.owned.runs.end()) {
        return {};
    }
    auto const& value = found->second;
    auto text = "Attempt " + std::to_string(value.attempt) + " on worker " +
                state.owned.workers[value.worker].id.str() + ". ";
    if (task.note.candidates == 0) {
        text += "Placed by a reservation or found there at a takeover.";
    } else {
        char numbers[128];
        std::snprintf(
            numbers, sizeof numbers,
            "Best of %u candidates, score %.3f, expected harm %.3f%s, "
            "configuration %llu.",
            task.note.candidates, static_cast<double>(task.note.score),
            static_cast<double>(task.note.harm),
            task.note.is_exploration ? ", chosen to learn the pairing" : "",
            static_cast<unsigned long long>(task.note.settings_version));
        text += numbers;
    }
    if (value.throttle < 1) {
        text += " Throttled because a service on the worker is slow.";
    }
    return text;
}

} // namespace

cell_summary summarize(cell_state const& state)
{
    auto const& own = state.owned;
    return {
        own.phase,
        own.epoch,
        own.task_by_id.size(),
        own.running,
        own.ledger.total_limit(),
        own.ledger.total_committed()};
}

cell_counters const& counters_of(cell_state const& state)
{
    return state.counters;
}

std::optional<task_view>
find_task(cell_state const& state, base::task_id const& id, base::instant now)
{
    auto const& own = state.owned;
    auto const found = own.task_by_id.find(id);
    if (found == own.task_by_id.end()) {
        auto const* durable = own.book.find(id);
        if (durable == nullptr) {
            return std::nullopt;
        }
        return task_view{
            id,
            durable->spec,
            durable->state,
            durable->attempt,
            {},
            durable->evictions,
            {},
            1,
            durable->message};
    }
    auto const& task = own.tasks[found->second];
    task_view view;
    view.task = id;
    view.spec = task.durable->spec;
    view.state = task.state;
    view.attempt = task.attempt;
    view.evictions = task.durable->evictions;
    view.message = task.durable->message;
    if (task.is_in_queue) {
        view.waiting = now - task.queued;
    }
    if (task.state == task_state::impossible) {
        view.message = state.missing_resource(task);
    }
    auto const run = own.runs.find(task.current_run);
    if (run != own.runs.end()) {
        view.worker = own.workers[run->second.worker].id;
        view.throttle = run->second.throttle;
    }
    return view;
}

std::optional<worker_view>
find_worker(cell_state const& state, base::worker_id const& worker)
{
    auto const found = state.owned.worker_by_id.find(worker);
    if (found == state.owned.worker_by_id.end()) {
        return std::nullopt;
    }
    return make_view(state, found->second);
}

std::vector<worker_view> list_workers(cell_state const& state)
{
    std::vector<worker_view> views;
    for (worker_index i = 0; i < state.owned.workers.size(); ++i) {
        if (state.owned.workers[i].is_used) {
            views.push_back(make_view(state, i));
        }
    }
    return views;
}

queue_view view_queue(cell_state const& state, base::instant now)
{
    auto const& own = state.owned;
    queue_view view;
    view.impossible = own.impossible.size();
    view.reserved = own.reserved.size();
    for (team_index team = 0; team < own.queues.team_count(); ++team) {
        team_view one;
        one.team = own.queues.name(team);
        one.used = own.queues.used(team);
        one.quota = own.queues.quota(team);
        one.share = own.queues.share(team);
        for (auto const kind :
             {queue_kind::urgent, queue_kind::short_run,
              queue_kind::long_run}) {
            auto const& waiting = own.queues.of(team, kind);
            one.queued += waiting.size();
            view.urgent += kind == queue_kind::urgent ? waiting.size() : 0;
            if (!waiting.empty()) {
                auto const& head = own.tasks[waiting.begin()->task];
                view.longest_wait =
                    std::max(view.longest_wait, now - head.queued);
            }
        }
        view.queued += one.queued;
        if (one.queued != 0 || one.used.processors != 0) {
            view.teams.push_back(std::move(one));
        }
    }
    return view;
}

std::string
explain(cell_state const& state, base::task_id const& id, base::instant now)
{
    auto const view = find_task(state, id, now);
    if (!view) {
        return "The cell does not know this task.";
    }
    auto text = "State " + std::string(to_string(view->state)) + ".";
    auto const found = state.owned.task_by_id.find(id);
    if (found == state.owned.task_by_id.end()) {
        return view->message.empty() ? text : text + " " + view->message;
    }
    text += ' ';
    auto const& task = state.owned.tasks[found->second];
    if (task.is_cancel_pending) {
        return text + "Its cancellation is being written.";
    }
    if (task.state == task_state::impossible) {
        return text +
               "It cannot run on any worker of the cell: " + view->message +
               ".";
    }
    if (state.owned.phase != cell_phase::active) {
        return text +
               "The cell was taken over and waits for its workers' audits; "
               "nothing starts before.";
    }
    if (task.state == task_state::evicted) {
        return text + "It runs again as soon as the record of attempt " +
               std::to_string(task.attempt) + " is durable.";
    }
    if (task.state != task_state::queued) {
        return text + explain_run(state, task);
    }
    text += "Waits for " + std::to_string(view->waiting.ms / 1000) +
            " s: " + task.wait_reason + ".";
    if (task.reserved_on != no_index) {
        text += " Holds a reservation on worker " +
                state.owned.workers[task.reserved_on].id.str() + ".";
    }
    return text;
}

} // namespace foxtaillift::batch
