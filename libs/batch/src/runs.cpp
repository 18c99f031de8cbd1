// The life of a run, from its start to the acknowledgement of its end.
#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

std::uint64_t pair_key(std::uint32_t task_class, std::uint32_t place)
{
    return (std::uint64_t{task_class} << 32U) | place;
}

void add_load(
    std::unordered_map<std::uint64_t, std::uint32_t>& loads, std::uint64_t key)
{
    ++loads[key];
}

void remove_load(
    std::unordered_map<std::uint64_t, std::uint32_t>& loads, std::uint64_t key)
{
    auto const found = loads.find(key);
    if (found != loads.end() && --found->second == 0) {
        loads.erase(found);
    }
}

} // namespace

run& cell_state::add_run(worker_index index, base::task_id const& name)
{
    auto const serial = ++this->last_run;
    auto& value = this->owned.runs[serial];
    value.serial = serial;
    value.worker = index;
    value.task_name = name;
    this->owned.workers[index].runs.push_back(serial);
    return value;
}

run* cell_state::find_run(run_serial serial)
{
    auto const found = this->owned.runs.find(serial);
    return found == this->owned.runs.end() ? nullptr : &found->second;
}

run* cell_state::find_run(
    worker_index index,
    base::task_id const& task,
    formats::attempt_number attempt)
{
    for (auto const serial : this->owned.workers[index].runs) {
        auto& value = this->owned.runs.at(serial);
        if (value.attempt == attempt && value.task_name == task) {
            return &value;
        }
    }
    return nullptr;
}

void cell_state::hold_resources(run& value)
{
    auto& own = this->owned;
    auto const& on = own.workers[value.worker];
    if (value.team != no_index) {
        own.queues.add_used(value.team, value.size);
    }
    if (value.is_long) {
        own.long_processors += value.size.processors;
    }
    value.rack = on.rack;
    value.failure_domain = on.failure_domain;
    add_load(own.rack_load, pair_key(value.task_class, value.rack));
    add_load(own.domain_load, pair_key(value.task_class, value.failure_domain));
    this->note_loads(value.worker);
}

void cell_state::free_resources(run& value)
{
    auto& own = this->owned;
    own.ledger.release(value.worker, value.size);
    if (value.team != no_index) {
        own.queues.remove_used(value.team, value.size);
    }
    if (value.is_long) {
        own.long_processors -= value.size.processors;
    }
    remove_load(own.rack_load, pair_key(value.task_class, value.rack));
    remove_load(
        own.domain_load, pair_key(value.task_class, value.failure_domain));
    value.phase = run_phase::ended;
    this->note_loads(value.worker);
    own.is_pass_needed = true;
}

void cell_state::send_start(run& value)
{
    auto& own = this->owned;
    auto const& task = own.tasks[value.task];
    auto const& spec = task.durable->spec;
    formats::start_request message;
    message.cell = own.cell;
    message.epoch = own.epoch;
    message.task = value.task_name;
    message.attempt = value.attempt;
    message.task_class = spec.task_class;
    message.size = value.size;
    message.lease_ms = this->options.task_lease.ms;
    message.run_ms = spec.run_ms;
    message.checkpoint = task.durable->checkpoint;
    message.payload = spec.payload;
    value.lease_sent = this->now;
    value.next_step = this->now + this->options.start_retry * 10;
    own.workers[value.worker].next_check = this->now;
    this->emit(start_run{
        this->next_request(), own.workers[value.worker].id,
        std::move(message)});
}

void cell_state::on(start_answered const& input)
{
    auto& own = this->owned;
    auto const found = own.worker_by_id.find(input.worker);
    if (input.request < own.first_request || found == own.worker_by_id.end()) {
        ++this->counters.stale_answers;
        return;
    }
    if (input.status == formats::agent_status::stale_epoch) {
        this->lose_cell(
            "worker " + input.worker.str() + " refused a start: stale epoch");
        return;
    }
    auto* value = this->find_run(found->second, input.task, input.attempt);
    if (value == nullptr || value->phase != run_phase::starting) {
        ++this->counters.stale_answers;
        return;
    }
    switch (input.status) {
    case formats::agent_status::done:
        own.workers[found->second].unanswered = 0;
        if (input.run) {
            this->apply_entry(found->second, *input.run);
        } else {
            this->confirm_run(*value);
        }
        break;
    case formats::agent_status::insufficient_capacity:
        this->refuse_start(*value, "the worker has too little capacity");
        break;
    case formats::agent_status::refused:
        this->refuse_start(*value, "the worker refused the start");
        break;
    case formats::agent_status::unknown:
    case formats::agent_status::stale_epoch:
        value->had_unknown_start = true;
        value->next_step = this->now + this->options.start_retry;
        this->miss_answer(found->second);
        break;
    }
}

void cell_state::refuse_start(run& value, char const* why)
{
    auto& on = this->owned.workers[value.worker];
    on.refused_until = this->now + this->options.adopt_retry;
    this->update_open(value.worker);
    if (on.adopt_request == 0) {
        this->send_adopt(value.worker); // its audit shows what it holds
    }
    if (value.had_unknown_start) {
        // An earlier copy of the start may still be delivered.
        value.next_step = this->now + this->lease_span();
        return;
    }
    this->log(base::event_line{"start_refused"}
                  .add("task", value.task_name)
                  .add("attempt", value.attempt)
                  .add("worker", on.id)
                  .add("reason", why));
    auto const place = value.task;
    auto& task = this->owned.tasks[place];
    this->free_resources(value);
    this->drop_run(value.serial);
    task.current_run = 0;
    // It certainly never ran. Using the number again keeps at most one attempt
    // ahead of the records, which is what a successor skips.
    --task.attempt;
    this->set_state(task, task_state::queued);
    this->enqueue(place);
}

void cell_state::confirm_run(run& value)
{
    if (value.confirmed_at != 0) {
        return;
    }
    value.confirmed_at = this->last_request;
    if (value.phase == run_phase::starting) {
        value.phase = run_phase::running;
        value.started = this->now;
        value.checkpointed = this->now;
        auto& on = this->owned.workers[value.worker];
        on.next_renew =
            std::min(on.next_renew, this->now + this->expected_end(value));
    }
    if (value.task == no_index) {
        return;
    }
    auto& task = this->owned.tasks[value.task];
    if (task.state == task_state::starting) {
        this->set_state(task, task_state::running);
    }
    if (!value.is_recorded && !this->is_full()) {
        value.is_recorded = true;
        pending_record started;
        started.value = started_record{
            value.task_name, value.attempt,
            this->owned.workers[value.worker].id};
        this->add_record(std::move(started));
    }
}

void cell_state::apply_entry(
    worker_index index, formats::run_entry const& entry)
{
    auto* value = this->find_run(index, entry.task, entry.attempt);
    if (value == nullptr || value->phase == run_phase::ended) {
        ++this->counters.stale_answers;
        return;
    }
    using formats::run_state;
    switch (entry.state) {
    case run_state::running:
        this->confirm_run(*value);
        value->started = this->now - base::milliseconds(entry.ran_ms);
        value->checkpointed =
            this->now - base::milliseconds(entry.since_checkpoint_ms);
        break;
    case run_state::checkpointing:
        this->confirm_run(*value);
        if (value->phase == run_phase::running) {
            value->phase = run_phase::checkpointing;
            value->limit = this->now + this->options.checkpoint_limit;
            if (value->task != no_index) {
                this->set_state(
                    this->owned.tasks[value->task], task_state::checkpointing);
            }
        }
        break;
    case run_state::checkpointed:
    case run_state::finished:
    case run_state::failed:
    case run_state::stopped:
        this->end_run(*value, entry, false);
        break;
    }
}

void cell_state::drop_run(run_serial serial)
{
    auto const found = this->owned.runs.find(serial);
    auto& runs = this->owned.workers[found->second.worker].runs;
    runs.erase(std::find(runs.begin(), runs.end(), serial));
    this->owned.runs.erase(found);
}

void cell_state::evict(run& value, end_reason reason, base::duration patience)
{
    if (value.phase != run_phase::running) {
        return;
    }
    if (patience.ms <= 0) {
        this->set_state(
            this->owned.tasks[value.task], task_state::checkpointing);
        this->note_disruption(value);
        this->send_stop(value, reason);
        return;
    }
    auto& own = this->owned;
    value.phase = run_phase::checkpointing;
    value.reason = reason;
    value.limit = this->now + patience;
    value.next_step = this->now + std::min(patience, base::milliseconds(200));
    value.checkpoint = "checkpoint/" + value.task_name.str() + "/" +
                       std::to_string(own.epoch) + "-" +
                       std::to_string(value.attempt);
    this->set_state(own.tasks[value.task], task_state::checkpointing);
    this->note_disruption(value);
    this->send_runs(runs_verb::checkpoint, value.worker, {value.serial});
}

void cell_state::send_stop(run& value, end_reason reason)
{
    value.phase = run_phase::stopping;
    value.reason = reason;
    value.next_step = this->now + this->options.start_retry;
    this->send_runs(runs_verb::stop, value.worker, {value.serial});
}

void cell_state::send_runs(
    runs_verb verb, worker_index index, std::vector<run_serial> const& serials)
{
    auto& own = this->owned;
    runs_command command;
    command.verb = verb;
    command.request = this->next_request();
    command.worker = own.workers[index].id;
    command.message.cell = own.cell;
    command.message.epoch = own.epoch;
    if (verb == runs_verb::renew) {
        command.message.lease_ms = this->options.task_lease.ms;
    }
    for (auto const serial : serials) {
        auto const& value = own.runs.at(serial);
        command.message.tasks.push_back(
            {value.task_name, value.attempt, value.wanted_throttle,
             verb == runs_verb::checkpoint ? value.checkpoint : ""});
    }
    if (verb != runs_verb::renew) {
        own.workers[index].next_check = this->now;
    }
    own.sent.emplace(
        command.request,
        sent_command{static_cast<std::uint8_t>(verb), index, serials});
    this->emit(std::move(command));
}

void cell_state::note_loads(worker_index index)
{
    auto& on = this->owned.workers[index];
    load_sample sample;
    sample.from = this->now;
    for (auto const serial : on.runs) {
        auto const& value = this->owned.runs.at(serial);
        if (value.phase == run_phase::ended) {
            continue;
        }
        double const cores =
            static_cast<double>(value.size.processors) / 1000 * value.throttle;
        auto const known = std::find_if(
            sample.loads.begin(), sample.loads.end(), [&](auto const& load) {
                return load.task_class == value.task_class;
            });
        if (known == sample.loads.end()) {
            sample.loads.push_back({value.task_class, cores});
        } else {
            known->cores += cores;
        }
    }
    if (!on.history.empty() && on.history.back().from == this->now) {
        on.history.back() = std::move(sample);
        return;
    }
    on.history.push_back(std::move(sample));
    // Reports lag by a few seconds at most; the oldest sample is needed only
    // while the next one is younger than that.
    while (on.history.size() > 2 &&
           (on.history.size() > 64 ||
            on.history[1].from + base::seconds(10) < this->now)) {
        on.history.pop_front();
    }
}

} // namespace foxtaillift::batch
