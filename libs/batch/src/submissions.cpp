// Submissions, cancellations and moves: input that is answered only when its
// record is durable.
#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

void cell_state::reply(
    task_submitted const& to, reply_status status, std::string why)
{
    this->emit(submission_reply{to.request, status, {}, std::move(why)});
}

std::string cell_state::find_fault(task_spec const& spec) const
{
    auto const is_bad_name = [&](std::string const& name) {
        return name.empty() || name.size() > this->options.max_name;
    };
    if (is_bad_name(spec.team.str()) ||
        spec.team.str().find('/') != std::string::npos) {
        return "team must be a name without '/'";
    }
    if (is_bad_name(spec.key)) {
        return "the idempotency key is missing or too long";
    }
    if (is_bad_name(spec.task_class)) {
        return "the class is missing or too long";
    }
    if (spec.payload.size() > this->options.max_payload) {
        return "the payload exceeds " +
               std::to_string(this->options.max_payload) + " bytes";
    }
    if (spec.size.processors <= 0 || spec.size.memory_mb < 0 ||
        spec.size.accelerators < 0) {
        return "processors must be positive, memory and accelerators not "
               "negative";
    }
    if (spec.run_ms < 0 || spec.deadline_ms < 0) {
        return "run time and deadline must not be negative";
    }
    return {};
}

bool cell_state::answer_known(task_submitted const& input)
{
    auto& own = this->owned;
    auto const key = submit_key(input.spec);
    if (own.submitting.contains(key)) {
        // Another request with this key is being written. Its outcome is
        // asked for again by the client.
        this->reply(
            input, reply_status::unavailable,
            "a submission with this key is in progress; try again");
        return true;
    }
    auto const known = own.task_by_key.find(key);
    if (known == own.task_by_key.end()) {
        return false;
    }
    auto const* task = own.book.find(known->second);
    bool const is_same =
        task != nullptr && spec_digest(task->spec) == spec_digest(input.spec);
    this->emit(submission_reply{
        input.request,
        is_same ? reply_status::existing : reply_status::key_conflict,
        known->second,
        is_same ? "" : "the key was used for another declaration"});
    return true;
}

void cell_state::on(task_submitted const& input)
{
    auto& own = this->owned;
    bool const is_open =
        own.phase == cell_phase::adopting || own.phase == cell_phase::active;
    if (auto fault = this->find_fault(input.spec); !fault.empty()) {
        this->reply(input, reply_status::invalid, std::move(fault));
        return;
    }
    if (!is_open || !own.is_lease_confirmed) {
        this->reply(
            input, reply_status::unavailable,
            "not accepted: this host does not own the cell; try again");
        return;
    }
    if (this->answer_known(input)) {
        return;
    }
    if (own.is_store_down &&
        (this->now < own.next_commit || !own.submitting.empty())) {
        this->reply(
            input, reply_status::unavailable,
            "not accepted: the store does not answer; try again");
        return;
    }
    if (own.task_by_id.size() + own.submitting.size() >=
        this->options.max_tasks) {
        ++this->counters.refused_tasks;
        this->reply(input, reply_status::too_many, "the cell is full");
        return;
    }
    if (this->is_full()) {
        ++this->counters.refused_records;
        this->reply(input, reply_status::too_many, "too many records wait");
        return;
    }
    if (!own.queues.has_team(input.spec.team) &&
        own.queues.team_count() >= this->options.max_teams) {
        ++this->counters.refused_teams;
        this->reply(input, reply_status::too_many, "too many teams");
        return;
    }
    pending_record accepted;
    task_record task;
    // The epoch makes it unique; padding keeps names in order of acceptance.
    auto number = std::to_string(own.next_task++);
    number.insert(0, number.size() < 9 ? 9 - number.size() : 0, '0');
    task.task = base::task_id{
        own.cell.str() + "-" + std::to_string(own.epoch) + "-" + number};
    task.spec = input.spec;
    auto const key = submit_key(input.spec);
    accepted.conditions.push_back({key, 0});
    accepted.writes.push_back(
        {key, encode_submit({task.task, own.cell, spec_digest(input.spec)})});
    accepted.value = accepted_record{std::move(task)};
    accepted.after = follow_up::submission;
    accepted.requests.push_back(input.request);
    accepted.submitted = this->now;
    own.submitting.emplace(key, input.request);
    this->add_record(std::move(accepted));
}

void cell_state::settle_submission(pending_record& settled)
{
    auto& own = this->owned;
    auto const& id = std::get<accepted_record>(settled.value).task.task;
    auto* durable = own.book.find(id);
    own.submitting.erase(settled.conditions.front().key);
    auto const index = this->add_task(*durable, settled.submitted);
    this->enqueue(index);
    auto const& task = own.tasks[index];
    for (auto const request : settled.requests) {
        this->emit(submission_reply{
            request, reply_status::accepted, id,
            task.state == task_state::impossible
                ? "cannot run now: " + this->missing_resource(task)
                : ""});
    }
}

void cell_state::on(rows_read const& input)
{
    auto& own = this->owned;
    auto const found = own.reading.find(input.request);
    if (found == own.reading.end()) {
        ++this->counters.stale_answers;
        return;
    }
    auto asked = std::move(found->second);
    own.reading.erase(found);
    auto const& spec = std::get<accepted_record>(asked.value).task.spec;
    own.submitting.erase(submit_key(spec));
    submission_reply answer;
    answer.status = reply_status::unavailable;
    answer.message = "the row of the key cannot be read; try again";
    bool const has_row = input.result.is_answered &&
                         !input.result.rows.empty() &&
                         input.result.rows.front().version != 0 &&
                         !input.result.rows.front().value.empty();
    if (has_row) {
        auto const known = decode_submit(input.result.rows.front().value);
        bool const is_same = known.digest == spec_digest(spec);
        answer.task = known.task;
        answer.status =
            is_same ? reply_status::existing : reply_status::key_conflict;
        answer.message =
            is_same ? "" : "the key was used for another declaration";
    }
    for (auto const request : asked.requests) {
        answer.request = request;
        this->emit(answer);
    }
}

void cell_state::on(inbox_read const& input)
{
    if (this->owned.phase != cell_phase::adopting &&
        this->owned.phase != cell_phase::active) {
        return;
    }
    for (auto const& row : input.rows) {
        this->take_inbox_row(row);
    }
}

void cell_state::take_inbox_row(formats::row const& row)
{
    auto& own = this->owned;
    auto task = decode_task(row.value);
    auto const key = submit_key(task.spec);
    bool const is_known =
        own.book.find(task.task) != nullptr || own.submitting.contains(key);
    if (is_known || this->is_full()) {
        return; // a full outbox takes it at a later inbox_read
    }
    pending_record arrived;
    arrived.conditions.push_back({row.key, row.version});
    arrived.writes.push_back({row.key, std::nullopt});
    arrived.submitted = this->now;
    arrived.after = follow_up::inbox;
    // The key's row still names the cell that accepted it.
    arrived.writes.push_back(
        {key, encode_submit({task.task, own.cell, spec_digest(task.spec)})});
    own.submitting.emplace(key, 0);
    arrived.value = accepted_record{std::move(task)};
    this->add_record(std::move(arrived));
}

void cell_state::settle_inbox(pending_record& settled)
{
    auto& own = this->owned;
    auto const& id = std::get<accepted_record>(settled.value).task.task;
    auto* durable = own.book.find(id);
    own.submitting.erase(submit_key(durable->spec));
    this->enqueue(this->add_task(*durable, settled.submitted));
}

void cell_state::on(cancel_requested const& input)
{
    auto& own = this->owned;
    auto const found = own.task_by_id.find(input.task);
    auto const answer = [&](reply_status status, char const* why) {
        this->emit(cancel_reply{input.request, status, input.task, why});
    };
    if (found == own.task_by_id.end()) {
        auto const* known = own.book.find(input.task);
        if (known == nullptr) {
            answer(reply_status::not_found, "no such task in this cell");
        } else if (known->state == task_state::cancelled) {
            answer(reply_status::accepted, "was cancelled before");
        } else {
            answer(reply_status::not_allowed, "the task has ended");
        }
        return;
    }
    auto& task = own.tasks[found->second];
    if (own.is_store_down && this->now < own.next_commit) {
        answer(reply_status::unavailable, "the store does not answer");
        return;
    }
    if (this->is_full()) {
        ++this->counters.refused_records;
        answer(reply_status::too_many, "too many records wait");
        return;
    }
    if (is_terminal(task.state) || task.is_move_pending ||
        task.is_cancel_pending) {
        answer(
            reply_status::not_allowed,
            "the task ends, moves or is being cancelled");
        return;
    }
    task.is_cancel_pending = true;
    this->dequeue(found->second);
    pending_record cancelled;
    cancelled.value = cancelled_record{input.task};
    cancelled.after = follow_up::cancelled;
    cancelled.requests.push_back(input.request);
    this->add_record(std::move(cancelled));
}

void cell_state::settle_cancel(pending_record& settled)
{
    auto& own = this->owned;
    auto const& id = std::get<cancelled_record>(settled.value).task;
    auto const found = own.task_by_id.find(id);
    bool const is_done = own.book.find(id) != nullptr &&
                         own.book.find(id)->state == task_state::cancelled;
    for (auto const request : settled.requests) {
        this->emit(cancel_reply{
            request,
            is_done ? reply_status::accepted : reply_status::not_allowed, id,
            is_done ? "" : "the task ended before"});
    }
    if (!is_done || found == own.task_by_id.end()) {
        return;
    }
    auto const place = found->second;
    auto& task = own.tasks[place];
    if (auto* value = this->find_run(task.current_run)) {
        // The run keeps its resources until the worker confirms its end.
        value->task = no_index;
        if (value->phase == run_phase::ended) {
            value->may_be_acknowledged = true;
        } else {
            this->send_stop(*value, end_reason::cancelled);
        }
    }
    if (!is_terminal(task.state)) {
        this->set_state(task, task_state::cancelled);
    }
    this->remove_task(place);
    this->remember(id);
}

void cell_state::on(move_requested const& input)
{
    auto& own = this->owned;
    auto const found = own.task_by_id.find(input.task);
    auto const answer = [&](reply_status status, char const* why) {
        this->emit(move_reply{input.request, status, input.task, why});
    };
    if (found == own.task_by_id.end()) {
        answer(reply_status::not_found, "no such task in this cell");
        return;
    }
    auto& task = own.tasks[found->second];
    bool const is_waiting = task.state == task_state::queued ||
                            task.state == task_state::impossible;
    if (!is_waiting || task.is_cancel_pending || task.is_move_pending ||
        own.phase != cell_phase::active) {
        answer(reply_status::not_allowed, "only a waiting task can move");
        return;
    }
    if (!own.is_lease_confirmed || own.is_store_down || this->is_full()) {
        answer(reply_status::unavailable, "not now; try again");
        return;
    }
    task.is_move_pending = true;
    this->dequeue(found->second);
    auto copy = *task.durable;
    copy.state = task_state::queued;
    copy.attempt = std::max(copy.attempt, task.attempt);
    pending_record moved;
    moved.value = moved_record{input.task, input.target};
    moved.after = follow_up::moved;
    moved.requests.push_back(input.request);
    auto const key = inbox_key(input.target, input.task);
    moved.writes.push_back({key, encode_task(copy)});
    this->add_record(std::move(moved));
}

void cell_state::settle_move(pending_record& settled)
{
    auto const& id = std::get<moved_record>(settled.value).task;
    auto const found = this->owned.task_by_id.find(id);
    if (found != this->owned.task_by_id.end()) {
        this->remove_task(found->second);
    }
    for (auto const request : settled.requests) {
        this->emit(move_reply{request, reply_status::accepted, id, ""});
    }
}

} // namespace foxtaillift::batch
