// The end of a run: its record, the next state of its task, the
// acknowledgement.
#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

void cell_state::end_run(
    run& value, formats::run_entry const& entry, bool is_lost)
{
    bool const is_discarded =
        is_lost || entry.state == formats::run_state::stopped;
    if (is_discarded && value.reason != end_reason::cancelled) {
        this->counters.discarded_work_ms += static_cast<std::uint64_t>(
            std::max<std::int64_t>((this->now - value.checkpointed).ms, 0));
    }
    value.is_lost = is_lost;
    if (is_lost) {
        ++this->counters.lost_runs;
    }
    if (value.confirmed_at == 0) {
        value.confirmed_at = this->last_request;
    }
    this->free_resources(value);
    if (value.task != no_index) {
        this->record_end(value, entry, is_lost);
        return;
    }
    if (entry.state == formats::run_state::finished) {
        ++this->counters.late_completions;
    }
    value.may_be_acknowledged = true;
    if (is_lost) {
        this->drop_run(value.serial);
    }
}

void cell_state::record_end(
    run& value, formats::run_entry const& entry, bool is_lost)
{
    using formats::run_state;
    auto& own = this->owned;
    auto& task = own.tasks[value.task];
    auto& on = own.workers[value.worker];
    ended_record ended{
        value.task_name,  value.attempt,           on.id, task_state::queued,
        entry.checkpoint, task.durable->evictions, false, entry.message};
    if (ended.checkpoint.empty()) {
        ended.checkpoint = task.durable->checkpoint;
    }
    if (entry.state == run_state::finished) {
        ended.next = task_state::finished;
        on.failures.clear();
        if (value.started > on.quarantined_at) {
            on.quarantines = 0;
        }
        this->run_times.add(value.task_class, this->now - value.started);
    } else if (entry.state == run_state::failed) {
        ended.is_failure = true;
        this->count_failure(value.worker, task, value.started);
        ++task.failures;
        auto const factor = std::min<std::uint32_t>(task.failures - 1, 6);
        task.not_before =
            this->now + this->options.failure_delay * (1LL << factor);
        std::size_t workers = 1;
        auto const usable = std::max<std::size_t>(
            static_cast<std::size_t>(std::count_if(
                own.workers.begin(), own.workers.end(),
                [](worker const& one) { return one.is_listed; })),
            1);
        for (auto const& id : task.durable->failed_on) {
            auto const known = own.worker_by_id.find(id);
            bool const is_trusted =
                known == own.worker_by_id.end() ||
                !this->is_in_quarantine(own.workers[known->second]);
            workers += id != on.id && is_trusted ? 1 : 0;
        }
        if (workers >=
            std::min<std::size_t>(this->options.failures_to_give_up, usable)) {
            ended.next = task_state::failed;
        }
    } else if (
        value.reason == end_reason::pressure ||
        value.reason == end_reason::urgent ||
        value.reason == end_reason::reserved) {
        ++ended.evictions;
        this->note_eviction(task);
        ++this->counters.evictions;
    }
    this->log(base::event_line{"run_ended"}
                  .add("task", value.task_name)
                  .add("attempt", value.attempt)
                  .add("worker", on.id)
                  .add("state", formats::to_string(entry.state))
                  .add("lost", is_lost)
                  .add("next", to_string(ended.next))
                  .add("reason", entry.message));
    this->set_state(
        task,
        ended.next == task_state::queued ? task_state::evicted : ended.next);
    pending_record noted;
    noted.after = follow_up::ended;
    noted.ended_run = value.serial;
    noted.value = std::move(ended);
    this->add_record(std::move(noted));
}

void cell_state::settle_end(pending_record const& settled)
{
    auto& own = this->owned;
    auto const& ended = std::get<ended_record>(settled.value);
    auto* value = this->find_run(settled.ended_run);
    if (value != nullptr) {
        value->task = no_index;
        value->may_be_acknowledged = true;
        if (value->is_lost) {
            this->drop_run(value->serial);
        } else {
            own.workers[value->worker].next_acknowledge = this->now;
            this->acknowledge_runs(value->worker);
        }
    }
    auto const found = own.task_by_id.find(ended.task);
    if (found == own.task_by_id.end()) {
        return;
    }
    auto const place = found->second;
    auto& task = own.tasks[place];
    task.current_run = 0;
    if (is_terminal(task.state)) {
        this->remove_task(place);
        this->remember(ended.task);
    } else if (task.state == task_state::evicted) {
        this->set_state(task, task_state::queued);
        this->enqueue(place);
    }
}

} // namespace foxtaillift::batch
