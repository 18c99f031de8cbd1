// Sending and the resolution of outcomes.

#include "committer_state.hpp"
#include "foxtaillift/base/event_line.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace foxtaillift::store
{

namespace
{

using formats::transact_status;

bool differs(
    submission const& item, std::vector<formats::row_condition> const& rows)
{
    return std::any_of(
        item.conditions.begin(), item.conditions.end(),
        [&rows](auto const& condition) {
            return std::any_of(
                rows.begin(), rows.end(), [&condition](auto const& row) {
                    return row.key == condition.key &&
                           row.version != condition.version;
                });
        });
}

template <class Keyed>
std::vector<formats::row_condition> select_rows(
    std::vector<Keyed> const& keyed,
    std::vector<formats::row_condition> const& rows)
{
    std::vector<formats::row_condition> selected;
    for (auto const& element : keyed) {
        auto const found =
            std::find_if(rows.begin(), rows.end(), [&element](auto const& row) {
                return row.key == element.key;
            });
        if (found != rows.end()) {
            selected.push_back(*found);
        }
    }
    return selected;
}

} // namespace

formats::transaction
group_committer::state::make_transaction(std::vector<submission> const& items)
{
    formats::transaction content;
    content.operation =
        this->options.writer + "-" + std::to_string(++this->last_number);
    content.conditions.push_back({this->operation_key, this->row_version});
    std::set<std::string> conditioned;
    for (auto const& item : items) {
        for (auto const& condition : item.conditions) {
            if (conditioned.insert(condition.key).second) {
                content.conditions.push_back(condition);
            }
        }
        content.writes.insert(
            content.writes.end(), item.writes.begin(), item.writes.end());
    }
    this->row.record(this->options.writer, content.operation);
    content.writes.push_back({this->operation_key, this->row.to_text()});
    return content;
}

void group_committer::state::send(formats::transaction content, context& call)
{
    this->current = flight{.operation = content.operation, .sent = call.now};
    this->next_transaction = call.now + this->interval();
    this->breaker.record_sent();
    ++this->counts.transactions;
    call.out.emplace_back(send_transaction{std::move(content)});
}

void group_committer::state::send_group(context& call)
{
    if (call.now < this->next_transaction) {
        return;
    }
    this->group = this->queue.take_group(
        this->breaker.group_limit(), this->options.group_bytes);
    if (this->group.empty()) {
        return;
    }
    auto content = this->make_transaction(this->group);
    this->group_operation = content.operation;
    this->group_condition = this->row_version;
    ++this->counts.groups;
    this->send(std::move(content), call);
}

void group_committer::state::send_fence(context& call)
{
    if (call.now < this->next_transaction) {
        return;
    }
    ++this->counts.fences;
    this->send(this->make_transaction({}), call);
}

void group_committer::state::send_read(
    std::vector<std::string> keys, context& call)
{
    auto const request = ++this->last_number;
    this->current =
        flight{.operation = {}, .request = request, .sent = call.now};
    this->breaker.record_sent();
    ++this->counts.reads;
    call.out.emplace_back(read_rows{request, std::move(keys)});
}

void group_committer::state::succeed(context& call)
{
    auto const before = this->breaker.state();
    this->breaker.record_success();
    this->log_circuit(before, call);
}

void group_committer::state::fail(
    std::string_view what, std::string_view message, context& call)
{
    auto const before = this->breaker.state();
    this->breaker.record_failure(call.now, call.random);
    call.out.emplace_back(
        log_line{base::event_line{"store_failure"}
                     .add("request", what)
                     .add("reason", message)
                     .add("retry_in", this->breaker.retry_at() - call.now)
                     .str()});
    this->log_circuit(before, call);
}

void group_committer::state::time_out(context& call)
{
    if (!this->current ||
        call.now < this->current->sent + this->options.timeout) {
        return;
    }
    if (this->current->operation.empty()) {
        read_finished unanswered{.request = this->current->request};
        unanswered.result.message = "no answer within the timeout";
        this->on(unanswered, call);
    } else {
        this->on(
            transact_finished{
                this->current->operation,
                {.status = transact_status::unknown,
                 .rows = {},
                 .message = "no answer within the timeout"}},
            call);
    }
}

void group_committer::state::on(transact_finished const& event, context& call)
{
    if (!this->current || event.operation.empty() ||
        this->current->operation != event.operation) {
        ++this->counts.late_answers;
        return;
    }
    this->current.reset();
    if (event.result.status == transact_status::committed ||
        event.result.status == transact_status::conflict) {
        this->succeed(call);
    } else {
        this->fail("transact", event.result.message, call);
    }
    if (this->next == step::fence) {
        this->finish_fence(event.result, call);
    } else {
        this->finish_group(event.result, call);
    }
}

void group_committer::state::take_version(
    std::vector<formats::row_condition> const& rows)
{
    auto const found =
        std::find_if(rows.begin(), rows.end(), [this](auto const& changed) {
            return changed.key == this->operation_key;
        });
    this->next = found == rows.end() ? step::learn : step::commit;
    if (found != rows.end()) {
        this->row_version = found->version;
    }
}

void group_committer::state::finish_group(
    formats::transact_result const& result, context& call)
{
    switch (result.status) {
    case transact_status::committed:
        this->take_version(result.rows);
        this->complete_group(result.rows, call);
        break;
    case transact_status::conflict:
        this->drop_conflicts(result.rows, call);
        break;
    case transact_status::rejected:
        this->requeue_group();
        break;
    case transact_status::unknown:
        ++this->counts.unknown_outcomes;
        this->next = step::resolve;
        break;
    }
}

void group_committer::state::finish_fence(
    formats::transact_result const& result, context&)
{
    if (result.status == transact_status::committed) {
        this->take_version(result.rows);
        this->requeue_group();
    } else {
        // Either the group took effect after all, or the fence itself has an
        // unknown outcome. The row says which.
        this->next = step::resolve;
    }
}

void group_committer::state::complete_group(
    std::vector<formats::row_condition> const& rows, context& call)
{
    this->counts.records += this->group.size();
    for (auto const& item : this->group) {
        call.out.emplace_back(completion{
            .id = item.id,
            .result = outcome::committed,
            .rows = select_rows(item.writes, rows),
            .reason = {}});
    }
    this->group.clear();
}

void group_committer::state::drop_conflicts(
    std::vector<formats::row_condition> const& rows, context& call)
{
    auto const is_row_changed =
        std::any_of(rows.begin(), rows.end(), [this](auto const& changed) {
            return changed.key == this->operation_key;
        });
    if (is_row_changed) {
        this->next = step::learn;
    }
    std::vector<submission> kept;
    for (auto& item : this->group) {
        if (!differs(item, rows)) {
            kept.push_back(std::move(item));
            continue;
        }
        ++this->counts.conflicts;
        call.out.emplace_back(completion{
            .id = item.id,
            .result = outcome::conflict,
            .rows = select_rows(item.conditions, rows),
            .reason = "a row has another version"});
    }
    auto const is_explained =
        is_row_changed || kept.size() < this->group.size();
    this->group = std::move(kept);
    this->requeue_group();
    if (!is_explained) {
        this->fail("transact", "conflict without a differing row", call);
    }
}

void group_committer::state::requeue_group()
{
    this->queue.push_front(std::move(this->group));
    this->group.clear();
    // Expired submissions must not be sent again.
    this->next_expiry = {};
}

void group_committer::state::on(read_finished const& event, context& call)
{
    if (!this->current || !this->current->operation.empty() ||
        this->current->request != event.request) {
        ++this->counts.late_answers;
        return;
    }
    this->current.reset();
    if (!event.result.is_answered || event.result.rows.empty()) {
        this->fail("read", event.result.message, call);
        return;
    }
    this->succeed(call);
    if (this->next == step::versions) {
        this->complete_from_read(event.result, call);
        return;
    }
    auto const& read = event.result.rows.front();
    this->row = detail::operation_row::parse(read.value);
    if (this->next == step::resolve) {
        this->resolve_group(read, call);
    } else {
        this->row_version = read.version;
        this->next = step::commit;
    }
}

void group_committer::state::resolve_group(
    formats::row const& read, context& call)
{
    this->row_version = read.version;
    auto const* found = "pending";
    if (this->row.last_of(this->options.writer) == this->group_operation) {
        found = "committed";
        this->next = step::versions;
    } else if (read.version == this->group_condition) {
        // The transaction may still arrive, as its condition holds.
        this->next = step::fence;
    } else {
        // The row has a version beyond the condition of the transaction, which
        // can therefore never take effect.
        found = "not-committed";
        this->next = step::commit;
        this->requeue_group();
    }
    call.out.emplace_back(log_line{base::event_line{"store_resolve"}
                                       .add("operation", this->group_operation)
                                       .add("outcome", found)
                                       .str()});
}

void group_committer::state::complete_from_read(
    formats::rows_result const& read, context& call)
{
    std::map<std::string, formats::row const*> rows;
    for (auto const& element : read.rows) {
        rows.emplace(element.key, &element);
    }
    std::vector<formats::row_condition> versions;
    for (auto const& item : this->group) {
        for (auto const& write : item.writes) {
            auto const at = rows.find(write.key);
            if (at == rows.end()) {
                continue;
            }
            auto const& element = *at->second;
            bool const is_unchanged =
                write.value
                    ? element.version != 0 && element.value == *write.value
                    : element.version == 0;
            if (is_unchanged) {
                versions.push_back({element.key, element.version});
            }
        }
    }
    this->next = step::commit;
    this->complete_group(versions, call);
}

} // namespace foxtaillift::store
