// Records on their way to the table: at most one commit is in flight, further
// records wait and go together.
#include "cell_state.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace foxtaillift::batch
{

bool cell_state::is_full() const
{
    return this->owned.pending.size() >= this->options.max_pending_records;
}

void cell_state::add_record(pending_record value)
{
    this->owned.pending.push_back(std::move(value));
}

void cell_state::send_commit()
{
    auto& own = this->owned;
    bool const has_work = !own.pending.empty() || own.is_head_due;
    if (!has_work || own.commit_id != 0 || this->now < own.next_commit) {
        return;
    }
    commit wanted;
    std::vector<record> records;
    std::size_t bytes = 0;
    while (!own.pending.empty() &&
           own.committing.size() < this->options.commit_records &&
           bytes < this->options.commit_bytes) {
        auto& next = own.pending.front();
        bytes += 200;
        if (auto const* accepted = std::get_if<accepted_record>(&next.value)) {
            bytes += accepted->task.spec.payload.size();
        }
        records.push_back(next.value);
        std::copy(
            next.conditions.begin(), next.conditions.end(),
            std::back_inserter(wanted.conditions));
        std::copy(
            next.writes.begin(), next.writes.end(),
            std::back_inserter(wanted.writes));
        own.committing.push_back(std::move(next));
        own.pending.pop_front();
    }
    bool const is_history =
        std::all_of(records.begin(), records.end(), [](record const& one) {
            return std::holds_alternative<started_record>(one) ||
                   std::holds_alternative<forgotten_record>(one);
        });
    if (!records.empty()) {
        auto key = log_key(own.cell, own.next_sequence);
        // A row that exists already was written by another owner.
        wanted.conditions.push_back({key, 0});
        wanted.writes.push_back({std::move(key), encode_log_row(records)});
    }
    this->add_snapshot_writes(wanted);
    wanted.id = this->next_request();
    wanted.priority =
        is_history ? commit_priority::history : commit_priority::task_records;
    own.commit_id = wanted.id;
    this->emit(std::move(wanted));
}

void cell_state::on(commit_finished const& input)
{
    auto& own = this->owned;
    if (own.commit_id == 0 || input.commit != own.commit_id) {
        ++this->counters.stale_answers;
        return;
    }
    own.commit_id = 0;
    switch (input.status) {
    case formats::transact_status::committed:
        this->commit_done();
        break;
    case formats::transact_status::conflict:
        this->commit_conflict(input);
        break;
    case formats::transact_status::rejected:
    case formats::transact_status::unknown:
        this->commit_refused(input);
        break;
    }
}

void cell_state::commit_done()
{
    auto& own = this->owned;
    own.is_store_down = false;
    if (!own.committing.empty()) {
        ++own.next_sequence;
    }
    this->finish_head();
    auto settled = std::exchange(own.committing, {});
    for (auto& one : settled) {
        if (one.after == follow_up::moved) {
            this->settle(one); // reads the entry that the record removes
            own.book.apply(one.value);
        } else {
            own.book.apply(one.value);
            this->settle(one);
        }
    }
}

void cell_state::settle(pending_record& settled)
{
    auto& own = this->owned;
    switch (settled.after) {
    case follow_up::none:
        break;
    case follow_up::submission:
        this->settle_submission(settled);
        break;
    case follow_up::inbox:
        this->settle_inbox(settled);
        break;
    case follow_up::ended:
        this->settle_end(settled);
        break;
    case follow_up::cancelled:
        this->settle_cancel(settled);
        break;
    case follow_up::moved:
        this->settle_move(settled);
        break;
    case follow_up::joined:
    case follow_up::left: {
        bool const is_joined = settled.after == follow_up::joined;
        auto const& name =
            is_joined ? std::get<worker_joined_record>(settled.value).worker
                      : std::get<worker_left_record>(settled.value).worker;
        auto const found = own.worker_by_id.find(name);
        if (found != own.worker_by_id.end()) {
            auto& on = own.workers[found->second];
            on.is_joined = is_joined;
            on.is_join_pending = false;
            on.is_leave_pending = false;
            this->update_open(found->second);
            own.is_pass_needed = true;
        }
        break;
    }
    case follow_up::skipped:
        this->open();
        break;
    }
}

void cell_state::commit_refused(commit_finished const& input)
{
    auto& own = this->owned;
    own.is_store_down = true;
    own.next_commit = this->now + this->options.commit_retry;
    own.is_head_committing = false;
    auto refused = std::exchange(own.committing, {});
    this->log(base::event_line{"commit_refused"}
                  .add("commit", input.commit)
                  .add("records", refused.size()));
    for (auto& one : std::views::reverse(refused)) {
        bool const is_answered = one.after == follow_up::submission ||
                                 one.after == follow_up::cancelled ||
                                 one.after == follow_up::moved;
        if (is_answered) {
            // Certainly not done, so that the caller may be told so.
            this->undo(one, reply_status::unavailable);
        } else {
            own.pending.push_front(std::move(one));
        }
    }
}

void cell_state::commit_conflict(commit_finished const& input)
{
    auto& own = this->owned;
    own.is_head_committing = false;
    auto const differs = [&](pending_record const& one) {
        return std::any_of(
            one.conditions.begin(), one.conditions.end(),
            [&](auto const& condition) {
                return std::any_of(
                    input.rows.begin(), input.rows.end(),
                    [&](auto const& row) { return row.key == condition.key; });
            });
    };
    auto refused = std::exchange(own.committing, {});
    bool is_explained = false;
    for (auto& one : std::views::reverse(refused)) {
        if (!differs(one)) {
            own.pending.push_front(std::move(one));
            continue;
        }
        is_explained = true;
        if (one.after == follow_up::submission) {
            // Another owner accepted the key; its row has the answer.
            read_rows wanted;
            wanted.request = this->next_request();
            wanted.keys.push_back(one.conditions.front().key);
            own.reading.emplace(wanted.request, std::move(one));
            this->emit(std::move(wanted));
        } else if (one.after == follow_up::inbox) {
            // The row was consumed or changed; the next inbox_read shows it.
            own.submitting.erase(
                submit_key(std::get<accepted_record>(one.value).task.spec));
        }
    }
    if (!is_explained) {
        this->lose_cell("the table refused a commit: the cell's rows changed");
    }
}

} // namespace foxtaillift::batch
