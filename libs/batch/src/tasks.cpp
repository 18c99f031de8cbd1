// The table of tasks that are not terminal, and the history of those that are.
#include "cell_state.hpp"

#include "foxtaillift/base/error.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

constexpr std::size_t forgotten_at_once = 256;

} // namespace

void cell_state::set_state(live_task& task, task_state to)
{
    if (task.state == to) {
        return;
    }
    if (!is_allowed(task.state, to)) {
        throw base::error(
            base::error_code::invalid_state,
            "task " + task.durable->task.str() + " cannot go from " +
                std::string(to_string(task.state)) + " to " +
                std::string(to_string(to)));
    }
    auto const counts = [](task_state state) {
        return state == task_state::running ||
               state == task_state::checkpointing;
    };
    this->owned.running += counts(to) ? 1 : 0;
    this->owned.running -= counts(task.state) ? 1 : 0;
    task.state = to;
}

task_index cell_state::add_task(task_record& durable, base::instant submitted)
{
    auto& own = this->owned;
    task_index index = 0;
    if (own.unused_tasks.empty()) {
        index = static_cast<task_index>(own.tasks.size());
        own.tasks.emplace_back();
    } else {
        index = own.unused_tasks.back();
        own.unused_tasks.pop_back();
        own.tasks[index] = live_task{};
    }
    auto& task = own.tasks[index];
    task.durable = &durable;
    task.state = task_state::queued;
    task.attempt = durable.attempt;
    task.submitted = submitted;
    task.task_class = this->classes.number(
        durable.spec.task_class, this->options.max_classes,
        this->counters.shared_classes);
    auto const teams = own.queues.team_count();
    task.team = own.queues.team(durable.spec.team);
    if (own.queues.team_count() != teams) {
        auto const& settings = this->options.settings;
        auto const quota = settings.teams.find(durable.spec.team);
        own.queues.set_quota(
            task.team, quota == settings.teams.end() ? settings.other_teams
                                                     : quota->second);
    }
    this->assume_recent_evictions(task);
    task.entry.task = index;
    task.entry.order = own.next_order++;
    own.task_by_id.emplace(durable.task, index);
    own.task_by_key[submit_key(durable.spec)] = durable.task;
    return index;
}

void cell_state::remove_task(task_index index)
{
    auto& own = this->owned;
    auto& task = own.tasks[index];
    this->dequeue(index);
    if (task.state == task_state::running ||
        task.state == task_state::checkpointing) {
        --own.running;
    }
    own.task_by_id.erase(task.durable->task);
    if (!is_terminal(task.state)) {
        own.task_by_key.erase(submit_key(task.durable->spec)); // moved away
    }
    task = live_task{};
    own.unused_tasks.push_back(index);
}

void cell_state::remember(base::task_id const& id)
{
    this->owned.history.push_back(id);
}

void cell_state::forget_old()
{
    auto& own = this->owned;
    // Spread over several calls, and never ahead of a full outbox.
    for (std::size_t i = 0; i < forgotten_at_once; ++i) {
        if (own.history.size() <= this->options.max_history ||
            own.is_store_down || this->is_full()) {
            return;
        }
        auto const id = own.history.front();
        own.history.pop_front();
        auto const* task = own.book.find(id);
        if (task == nullptr) {
            continue;
        }
        auto key = submit_key(task->spec);
        pending_record forgotten;
        forgotten.value = forgotten_record{id};
        own.task_by_key.erase(key);
        forgotten.writes.push_back({std::move(key), std::nullopt});
        this->add_record(std::move(forgotten));
        ++this->counters.forgotten;
    }
}

void cell_state::undo(pending_record& refused, reply_status status)
{
    auto& own = this->owned;
    char const* const why = "certainly not done: the store refused; try again";
    if (refused.after == follow_up::submission) {
        own.submitting.erase(refused.conditions.front().key);
        for (auto const request : refused.requests) {
            this->emit(submission_reply{request, status, {}, why});
        }
        return;
    }
    bool const is_move = refused.after == follow_up::moved;
    auto const id = is_move ? std::get<moved_record>(refused.value).task
                            : std::get<cancelled_record>(refused.value).task;
    for (auto const request : refused.requests) {
        if (is_move) {
            this->emit(move_reply{request, status, id, why});
        } else {
            this->emit(cancel_reply{request, status, id, why});
        }
    }
    auto const found = own.task_by_id.find(id);
    if (found == own.task_by_id.end()) {
        return;
    }
    auto& task = own.tasks[found->second];
    (is_move ? task.is_move_pending : task.is_cancel_pending) = false;
    if (task.state == task_state::queued ||
        task.state == task_state::impossible) {
        this->enqueue(found->second);
    }
}

class_limits const& cell_state::limits_of(live_task const& task) const
{
    auto const& settings = this->options.settings;
    auto const found = settings.classes.find(task.durable->spec.task_class);
    return found == settings.classes.end() ? settings.other_classes
                                           : found->second;
}

void cell_state::enqueue(task_index index)
{
    auto& own = this->owned;
    auto& task = own.tasks[index];
    if (task.is_in_queue || task.is_cancel_pending || task.is_move_pending) {
        return;
    }
    auto const& spec = task.durable->spec;
    if (auto missing = this->missing_resource(task); !missing.empty()) {
        this->set_state(task, task_state::impossible);
        own.impossible.insert(index);
        this->log(base::event_line{"task_impossible"}
                      .add("task", task.durable->task)
                      .add("missing", missing));
        return;
    }
    auto const run = this->expected_run(task, 0.5);
    task.kind = spec.priority == task_priority::urgent  ? queue_kind::urgent
                : run > this->options.settings.long_run ? queue_kind::long_run
                                                        : queue_kind::short_run;
    task.queued = this->now;
    task.is_aged = false;
    task.entry.rank = task.submitted.ms;
    auto const longest_wait = this->limits_of(task).longest_wait;
    if (spec.deadline_ms > 0) {
        auto const latest = task.submitted.ms + spec.deadline_ms - run.ms;
        task.entry.rank = std::min(task.entry.rank, latest - longest_wait.ms);
    }
    task.is_in_queue = true;
    task.wait_reason = "behind other tasks of its team";
    own.queues.insert(task.team, task.kind, task.entry);
    if (task.kind != queue_kind::urgent) {
        task.ages_at = (this->now + longest_wait).ms;
        own.aging.insert({task.ages_at, task.entry.order, index});
    }
    own.is_pass_needed = true;
}

void cell_state::dequeue(task_index index)
{
    auto& own = this->owned;
    auto& task = own.tasks[index];
    if (task.state == task_state::impossible) {
        own.impossible.erase(index);
    }
    this->drop_reservation(index);
    if (!task.is_in_queue) {
        return;
    }
    task.is_in_queue = false;
    own.queues.erase(task.team, task.kind, task.entry);
    if (task.kind != queue_kind::urgent && !task.is_aged) {
        own.aging.erase({task.ages_at, task.entry.order, index});
    }
}

/// Applies changed settings to the tasks that wait.
void cell_state::update_aging()
{
    auto& own = this->owned;
    for (task_index index = 0; index < own.tasks.size(); ++index) {
        auto& task = own.tasks[index];
        if (!task.is_in_queue || task.is_aged ||
            task.kind == queue_kind::urgent) {
            continue;
        }
        auto const ages_at =
            (task.queued + this->limits_of(task).longest_wait).ms;
        if (ages_at != task.ages_at) {
            own.aging.erase({task.ages_at, task.entry.order, index});
            task.ages_at = ages_at;
            own.aging.insert({ages_at, task.entry.order, index});
        }
    }
}

void cell_state::age_tasks()
{
    auto& own = this->owned;
    std::size_t budget = this->options.placements;
    while (!own.aging.empty() && budget-- > 0 &&
           own.aging.begin()->rank <= this->now.ms) {
        auto const index = own.aging.begin()->task;
        own.aging.erase(own.aging.begin());
        auto& task = own.tasks[index];
        own.queues.erase(task.team, task.kind, task.entry);
        task.is_aged = true;
        // Ahead of every task that has not waited so long.
        task.entry.rank =
            std::numeric_limits<std::int64_t>::min() / 2 + task.queued.ms;
        own.queues.insert(task.team, task.kind, task.entry);
        own.is_pass_needed = true;
        this->make_reservation(index);
    }
}

} // namespace foxtaillift::batch
