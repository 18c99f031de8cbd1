// Acceptance of changes.

#include "configuration_state.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

std::string head_text(configuration_delta const& delta)
{
    return nlohmann::json{
        {"version", delta.version},
        {"operation", delta.operation},
        {"author", delta.author},
        {"time", delta.time_ms},
        {"reason", delta.reason}}
        .dump();
}

} // namespace

void configuration::state::on(change_requested const& event, context& call)
{
    pending_change change{.content = event, .arrived = call.now};
    if (!this->ready) {
        this->answer(
            change, change_result::unavailable,
            {"this host has not read a configuration yet; try again"}, call);
    } else if (this->changes.size() >= this->options.waiting_changes) {
        this->answer(
            change, change_result::unavailable,
            {"too many changes are waiting; try again"}, call);
    } else {
        this->changes.push_back(std::move(change));
    }
}

void configuration::state::on(rollback_requested const& event, context& call)
{
    change_requested content;
    content.request = event.request;
    content.expected = event.expected;
    content.author = event.author;
    content.reason = "roll-back to version " + std::to_string(event.target) +
                     ": " + event.reason;
    auto const waiting = this->changes.size();
    this->on(content, call);
    if (this->changes.size() > waiting) {
        this->changes.back().rollback_to = event.target;
    }
}

void configuration::state::process_changes(context& call)
{
    this->time_out_change(call);
    while (!this->changes.empty() && this->changes.front().submission == 0 &&
           this->decide(this->changes.front(), call)) {
        this->changes.pop_front();
    }
}

// Returns true if the change was answered, false if it waits.
bool configuration::state::decide(pending_change& change, context& call)
{
    auto const own = this->document.version();
    auto const expected = change.content.expected;
    if (expected < own) {
        this->answer_outdated(change, call);
        return true;
    }
    if (!this->head_row || expected > own) {
        if (change.has_read_store && !this->is_read_wanted && expected > own) {
            this->answer(
                change, change_result::refused,
                {"there is no version " + std::to_string(expected) +
                 "; the highest one is " + std::to_string(own)},
                call);
            return true;
        }
        change.has_read_store = true;
        this->want_read(call);
        this->start_read(call);
        return false;
    }
    if (!this->prepare_rollback(change, call) || !this->check(change, call)) {
        return true;
    }
    this->submit_change(change, call);
    return false;
}

bool configuration::state::prepare_rollback(
    pending_change& change, context& call)
{
    if (!change.rollback_to) {
        return true;
    }
    auto const target = this->document_at(*change.rollback_to);
    if (!target) {
        this->answer(
            change, change_result::refused,
            {"version " + std::to_string(*change.rollback_to) +
             " is not kept; the oldest one is " +
             std::to_string(this->history_base.version())},
            call);
        return false;
    }
    change.content.edits = list_edits(this->document, *target);
    std::erase_if(change.content.edits, [&call](auto const& edit) {
        return edit.kind == edit_kind::set_override && edit.expires_at_ms &&
               *edit.expires_at_ms <= call.wall_ms;
    });
    return true;
}

bool configuration::state::check(pending_change& change, context& call)
{
    auto const& content = change.content;
    std::vector<std::string> messages;
    if (content.author.empty() || content.reason.empty()) {
        messages.emplace_back("a change needs an author and a reason");
    }
    if (content.edits.size() > this->options.edits_per_change &&
        !change.rollback_to) {
        messages.push_back(
            "a change may have at most " +
            std::to_string(this->options.edits_per_change) + " edits");
    }
    try {
        check_edits(this->document, content.edits, call.wall_ms);
    } catch (base::error const& failure) {
        messages.emplace_back(failure.what());
    }
    if (messages.empty()) {
        auto after = this->document;
        configuration_delta trial;
        trial.version = after.version() + 1;
        trial.edits = content.edits;
        after.apply(trial);
        if (after.overrides().size() > this->options.overrides) {
            messages.push_back(
                "there may be at most " +
                std::to_string(this->options.overrides) + " overrides");
        }
        if (!content.is_forced) {
            auto const lost = find_lost_needs(
                this->document, after, this->fleet, call.wall_ms);
            messages.insert(messages.end(), lost.begin(), lost.end());
        }
    }
    if (messages.empty()) {
        return true;
    }
    this->answer(change, change_result::refused, std::move(messages), call);
    return false;
}

void configuration::state::submit_change(pending_change& change, context& call)
{
    auto& delta = change.delta;
    delta.version = this->document.version() + 1;
    delta.operation =
        this->options.process + "-" + std::to_string(++this->last_number);
    delta.author = change.content.author;
    delta.reason = change.content.reason;
    delta.time_ms = call.wall_ms;
    delta.edits = change.content.edits;
    store::submission item;
    item.level = store::priority::configuration;
    item.conditions = {{head_key, *this->head_row}};
    item.writes = {
        {head_key, head_text(delta)},
        {change_key(delta.version), to_text(delta)}};
    item.deadline = change.arrived + this->options.accept_deadline;
    this->submit(std::move(item), call);
    change.submission = this->last_number;
}

void configuration::state::on(store::completion const& event, context& call)
{
    if (event.id.source == store::submitter::configuration &&
        !this->changes.empty() && event.id.number != 0 &&
        this->changes.front().submission == event.id.number) {
        this->finish_change(event, call);
    }
}

void configuration::state::finish_change(
    store::completion const& done, context& call)
{
    auto change = std::move(this->changes.front());
    this->changes.pop_front();
    // Whatever happened, the version of the row is known only after success.
    this->head_row.reset();
    switch (done.result) {
    case store::outcome::committed:
        this->head_row = store::version_in(done, head_key);
        this->accept(change, call);
        break;
    case store::outcome::conflict:
        change.submission = 0;
        this->changes.push_front(std::move(change));
        this->want_read(call);
        break;
    case store::outcome::rejected:
        this->answer(
            change, change_result::unavailable,
            {"the store did not take the change, which has no effect; try "
             "again"},
            call);
        break;
    }
}

void configuration::state::accept(pending_change const& change, context& call)
{
    auto const& delta = change.delta;
    auto const before = this->document.version();
    ++this->counts.accepted;
    this->log(
        base::event_line{"configuration_accepted"}
            .add("version", delta.version)
            .add("author", delta.author)
            .add("reason", delta.reason)
            .str(),
        call);
    // If the answer of the store was late, the change may have come back from
    // a peer already.
    if (before + 1 == delta.version) {
        this->take_delta(delta, call);
        this->announce_version(call);
        this->put_snapshot(call);
    } else if (before != delta.version) {
        this->head_row.reset();
    }
    this->push_to(this->peers, delta.version - 1, call);
    this->pushed = delta.version;
    this->repeats_left = this->options.push_repeats;
    this->next_repeat = call.now + this->options.push_repeat;
    if (change.content.request == 0 || change.is_answered) {
        return;
    }
    pending_answer pending{.due = call.now + this->options.acknowledge_wait};
    pending.content.request = change.content.request;
    pending.content.result = change_result::accepted;
    pending.content.version = delta.version;
    if (this->peers.empty()) {
        pending.due = call.now;
    }
    for (auto const& [peer, version] : this->known_versions) {
        if (version >= delta.version) {
            pending.content.acknowledged.push_back(peer);
            pending.due = call.now;
        }
    }
    this->answers.emplace(delta.version, std::move(pending));
}

void configuration::state::send_answers(context& call)
{
    for (auto entry = this->answers.begin(); entry != this->answers.end();) {
        if (call.now < entry->second.due) {
            ++entry;
            continue;
        }
        auto& content = entry->second.content;
        if (content.acknowledged.empty()) {
            content.messages.emplace_back(
                "accepted, not yet in force elsewhere");
        }
        call.out.emplace_back(std::move(content));
        entry = this->answers.erase(entry);
    }
}

void configuration::state::time_out_change(context& call)
{
    auto const patience =
        this->options.accept_deadline + this->options.request_timeout;
    auto change = this->changes.begin();
    while (change != this->changes.end()) {
        if (call.now < change->arrived + patience || change->is_answered) {
            ++change;
        } else if (change->submission != 0) {
            this->answer(
                *change, change_result::undecided,
                {"the store stopped answering; the change may still come into "
                 "force; read the version again"},
                call);
            change->is_answered = true;
        } else {
            this->answer(
                *change, change_result::unavailable,
                {"the store does not answer; the change has no effect; try "
                 "again"},
                call);
            change = this->changes.erase(change);
        }
    }
}

void configuration::state::answer(
    pending_change const& change,
    change_result result,
    std::vector<std::string> messages,
    context& call)
{
    this->counts.refused += result == change_result::refused ? 1 : 0;
    this->counts.unavailable += result == change_result::unavailable ? 1 : 0;
    if (change.content.request == 0 || change.is_answered) {
        return; // a change of this program itself, or answered as undecided
    }
    change_answer content;
    content.request = change.content.request;
    content.result = result;
    content.version = this->document.version();
    content.messages = std::move(messages);
    call.out.emplace_back(std::move(content));
}

void configuration::state::answer_outdated(
    pending_change const& change, context& call)
{
    ++this->counts.outdated;
    if (change.content.request == 0 || change.is_answered) {
        return;
    }
    auto const expected = change.content.expected;
    change_answer content;
    content.request = change.content.request;
    content.result = change_result::outdated;
    content.version = this->document.version();
    for (auto const& delta : this->deltas) {
        if (delta.version <= expected) {
            continue;
        }
        content.messages.push_back(
            "version " + std::to_string(delta.version) + " by " + delta.author +
            ": " + delta.reason);
        content.changes.push_back(delta);
    }
    if (auto const seen = this->document_at(expected)) {
        content.differences = list_differences(*seen, this->document);
    } else {
        content.messages.push_back(
            "version " + std::to_string(expected) + " is no longer kept");
    }
    call.out.emplace_back(std::move(content));
}

} // namespace foxtaillift::cluster
