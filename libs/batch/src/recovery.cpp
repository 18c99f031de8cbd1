// Takeover of a cell: the log is replayed, each worker is adopted and audited,
// and only then is anything started.
#include "cell_state.hpp"

#include "foxtaillift/base/error.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

void cell_state::on(cell_taken const& input)
{
    this->owned = ownership{};
    auto& own = this->owned;
    own.cell = input.cell;
    own.epoch = input.epoch;
    own.phase = cell_phase::replaying;
    own.taken = this->now;
    own.first_request = this->last_request + 1;
}

void cell_state::on(log_replayed const& input)
{
    auto& own = this->owned;
    if (own.phase != cell_phase::replaying) {
        ++this->counters.stale_answers;
        return;
    }
    if (!input.head.empty()) {
        own.head = decode_head(input.head);
    }
    if (own.head.objects.size() != input.objects.size()) {
        throw base::error(
            base::error_code::corrupt_data,
            "the head row of cell '" + own.cell.str() + "' names " +
                std::to_string(own.head.objects.size()) +
                " snapshot objects, but " +
                std::to_string(input.objects.size()) + " were read");
    }
    for (auto const& content : input.objects) {
        own.book.load_part(content);
    }
    own.next_sequence = own.head.first_sequence;
    own.oldest_row = own.head.first_sequence;
    for (auto const& row : input.log) {
        auto const sequence = log_sequence(row.key);
        own.oldest_row = std::min(own.oldest_row, sequence);
        if (sequence < own.head.first_sequence) {
            continue; // the snapshot has it; the row was not deleted yet
        }
        if (sequence != own.next_sequence) {
            throw base::error(
                base::error_code::corrupt_data,
                "log row " + std::to_string(own.next_sequence) + " of cell '" +
                    own.cell.str() + "' is missing");
        }
        for (auto const& one : decode_log_row(row.value)) {
            own.book.apply(one);
        }
        ++own.next_sequence;
    }
    own.phase = cell_phase::adopting;
    for (auto const& id : own.book.workers()) {
        auto const index = this->add_worker(id);
        if (index != no_index) {
            own.workers[index].is_joined = true;
        }
    }
    for (auto& [id, durable] : own.book.tasks()) {
        this->restore_task(durable);
    }
    for (auto const& row : input.inbox) {
        this->take_inbox_row(row);
    }
    this->log(base::event_line{"cell_replayed"}
                  .add("cell", own.cell)
                  .add("epoch", own.epoch)
                  .add("tasks", own.book.tasks().size())
                  .add("rows", input.log.size()));
}

void cell_state::restore_task(task_record& durable)
{
    auto& own = this->owned;
    if (is_terminal(durable.state)) {
        own.task_by_key[submit_key(durable.spec)] = durable.task;
        this->remember(durable.task);
        return;
    }
    auto const index = this->add_task(durable, this->now);
    auto& task = own.tasks[index];
    if (durable.state != task_state::running) {
        this->enqueue(index);
        return;
    }
    // The record says that it was started. Until the audit tells more, the
    // worker is taken to run it, for as long as its lease may last.
    auto const on = this->add_worker(durable.worker);
    if (on == no_index) {
        throw base::error(
            base::error_code::invalid_state,
            "the cell has more workers than max_workers");
    }
    auto& value = this->add_run(on, durable.task);
    value.task = index;
    value.team = task.team;
    value.attempt = durable.attempt;
    value.size = durable.spec.size;
    value.task_class = task.task_class;
    value.phase = run_phase::running;
    value.is_recorded = true;
    value.is_urgent = durable.spec.priority == task_priority::urgent;
    value.is_long = task.kind == queue_kind::long_run;
    value.lease_sent = this->now;
    value.started = this->now;
    value.checkpointed = this->now;
    value.confirmed_at = this->last_request;
    task.current_run = value.serial;
    task.state = task_state::running;
    ++own.running;
    if (!own.ledger.commit(on, value.size, commitment::reported)) {
        ++this->counters.overdrafts_refused;
    }
    this->hold_resources(value);
}

void cell_state::send_adopt(worker_index index)
{
    auto& target = this->owned.workers[index];
    target.adopt_request = this->next_request();
    target.next_adopt = this->now + this->options.adopt_retry;
    this->emit(adopt_worker{
        target.adopt_request,
        target.id,
        {this->owned.cell, this->owned.epoch}});
}

void cell_state::on(worker_adopted const& input)
{
    auto& own = this->owned;
    auto const found = own.worker_by_id.find(input.worker);
    if (input.request < own.first_request || found == own.worker_by_id.end()) {
        ++this->counters.stale_answers;
        return;
    }
    auto const index = found->second;
    auto& target = own.workers[index];
    if (target.adopt_request != input.request) {
        ++this->counters.stale_answers;
        return;
    }
    target.adopt_request = 0;
    if (input.status == formats::agent_status::stale_epoch) {
        this->lose_cell("worker " + target.id.str() + " has a newer epoch");
        return;
    }
    if (input.status != formats::agent_status::done) {
        return; // tried again after adopt_retry
    }
    this->apply_audit(index, input);
}

void cell_state::apply_audit(worker_index index, worker_adopted const& input)
{
    auto& own = this->owned;
    auto& target = own.workers[index];
    // Runs that the worker would list if it had them: confirmed before the
    // request was sent. A start in progress may be missing from the audit.
    std::vector<run_serial> expected;
    for (auto const serial : target.runs) {
        auto const& value = own.runs.at(serial);
        if (value.confirmed_at != 0 && value.confirmed_at < input.request) {
            expected.push_back(serial);
        }
    }
    std::vector<run_serial> listed;
    for (auto const& entry : input.answer.runs) {
        this->audit_entry(index, entry);
        if (auto* known = this->find_run(index, entry.task, entry.attempt)) {
            listed.push_back(known->serial);
            if (!target.is_audited) {
                // Set by the predecessor; this owner lifts it when it can.
                known->throttle = entry.throttle;
                known->wanted_throttle = entry.throttle;
            }
        }
    }
    std::sort(listed.begin(), listed.end());
    for (auto const serial : expected) {
        auto* value = this->find_run(serial);
        if (value == nullptr ||
            std::binary_search(listed.begin(), listed.end(), serial)) {
            continue;
        }
        if (value->phase == run_phase::ended) {
            if (value->may_be_acknowledged) {
                this->drop_run(serial); // the acknowledgement took effect
            }
            continue;
        }
        formats::run_entry gone;
        gone.task = value->task_name;
        gone.attempt = value->attempt;
        gone.state = formats::run_state::stopped;
        gone.message = "the worker does not know the run any more";
        this->end_run(*value, gone, true);
    }
    target.link = worker_link::adopted;
    target.is_audited = true;
    target.unanswered = 0;
    target.next_renew = this->now;
    target.entry.capacity = input.answer.capacity;
    this->update_limits(index);
    this->update_open(index);
    this->note_loads(index);
    own.is_pass_needed = true;
}

void cell_state::audit_entry(
    worker_index index, formats::run_entry const& entry)
{
    auto& own = this->owned;
    if (this->find_run(index, entry.task, entry.attempt) != nullptr) {
        this->apply_entry(index, entry);
        return;
    }
    auto const found = own.task_by_id.find(entry.task);
    if (found != own.task_by_id.end()) {
        auto const& task = own.tasks[found->second];
        bool const is_waiting = task.state == task_state::queued ||
                                task.state == task_state::impossible;
        // Only before the cell opens can this be a start of the predecessor
        // that is in no record. Later its number was skipped.
        if (own.phase == cell_phase::adopting && is_waiting &&
            entry.attempt > task.attempt && !own.is_skip_pending) {
            this->adopt_run(index, found->second, entry);
            return;
        }
    }
    bool const has_ended = entry.state != formats::run_state::running &&
                           entry.state != formats::run_state::checkpointing;
    if (has_ended) {
        this->acknowledge_unknown(index, entry);
    } else {
        this->add_orphan(index, entry);
    }
}

void cell_state::adopt_run(
    worker_index index, task_index place, formats::run_entry const& entry)
{
    auto& own = this->owned;
    auto& task = own.tasks[place];
    this->dequeue(place);
    auto& value = this->add_run(index, entry.task);
    value.task = place;
    value.team = task.team;
    value.attempt = entry.attempt;
    value.size = task.durable->spec.size;
    value.task_class = task.task_class;
    value.is_urgent = task.durable->spec.priority == task_priority::urgent;
    value.is_long = task.kind == queue_kind::long_run;
    value.lease_sent = this->now;
    value.started = this->now - base::milliseconds(entry.ran_ms);
    task.attempt = entry.attempt;
    task.current_run = value.serial;
    this->set_state(task, task_state::starting);
    if (!own.ledger.commit(index, value.size, commitment::reported)) {
        ++this->counters.overdrafts_refused;
    }
    this->hold_resources(value);
    this->apply_entry(index, entry);
}

void cell_state::add_orphan(worker_index index, formats::run_entry const& entry)
{
    auto& value = this->add_run(index, entry.task);
    value.attempt = entry.attempt;
    value.size = entry.size;
    value.task_class = this->classes.number(
        entry.task_class, this->options.max_classes,
        this->counters.shared_classes);
    value.phase = run_phase::running;
    value.lease_sent = this->now;
    value.confirmed_at = this->last_request;
    value.is_recorded = true;
    if (!this->owned.ledger.commit(index, value.size, commitment::reported)) {
        ++this->counters.overdrafts_refused;
    }
    this->hold_resources(value);
    ++this->counters.orphans_stopped;
    this->send_stop(value, end_reason::orphan);
}

void cell_state::acknowledge_unknown(
    worker_index index, formats::run_entry const& entry)
{
    if (entry.state == formats::run_state::finished &&
        this->owned.task_by_id.contains(entry.task)) {
        ++this->counters.late_completions;
    }
    auto& value = this->add_run(index, entry.task);
    value.attempt = entry.attempt;
    value.phase = run_phase::ended;
    value.may_be_acknowledged = true;
    value.confirmed_at = this->last_request;
}

void cell_state::open_if_ready()
{
    auto& own = this->owned;
    if (own.phase != cell_phase::adopting || own.is_skip_pending) {
        return;
    }
    bool are_all_audited = true;
    for (auto const& one : own.workers) {
        if (one.is_used && one.is_joined && !one.is_audited) {
            are_all_audited = false;
        }
    }
    if (!are_all_audited && this->now - own.taken < this->lease_span()) {
        return;
    }
    bool const has_queued = std::any_of(
        own.book.tasks().begin(), own.book.tasks().end(),
        [](auto const& entry) {
            return entry.second.state == task_state::queued;
        });
    if (!has_queued) {
        this->open();
        return;
    }
    // An attempt that is in no record may have run on a worker that is silent
    // or has restarted since. Its number is not used again.
    own.is_skip_pending = true;
    pending_record skipped;
    skipped.value = attempts_skipped_record{own.epoch};
    skipped.after = follow_up::skipped;
    this->add_record(std::move(skipped));
}

void cell_state::open()
{
    auto& own = this->owned;
    for (auto& task : own.tasks) {
        if (task.durable != nullptr && task.current_run == 0) {
            task.attempt = std::max(task.attempt, task.durable->attempt);
        }
    }
    own.phase = cell_phase::active;
    own.is_pass_needed = true;
    this->log(base::event_line{"cell_opened"}
                  .add("cell", own.cell)
                  .add("epoch", own.epoch)
                  .add("after", this->now - own.taken));
}

} // namespace foxtaillift::batch
