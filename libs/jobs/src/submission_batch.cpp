#include "foxtaillift/jobs/submission_batch.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

void submission_batch::add(submission wanted)
{
    auto const is_same = [&](submission const& other) {
        return other.job == wanted.job;
    };
    auto const join = [&](submission& first) {
        // The caller came again; both get the answer to the first.
        first.callback = [one = std::move(first.callback),
                          other =
                              std::move(wanted.callback)](auto const& answer) {
            one(answer);
            other(answer);
        };
    };
    auto const sent =
        std::find_if(this->taken.begin(), this->taken.end(), is_same);
    auto const next =
        std::find_if(this->waiting.begin(), this->waiting.end(), is_same);
    if (sent != this->taken.end()) {
        join(*sent);
    } else if (next != this->waiting.end()) {
        join(*next);
    } else if (this->waiting.size() >= waiting_limit) {
        wanted.callback({.status = store_status::not_done});
    } else {
        this->waiting.push_back(std::move(wanted));
    }
}

bool submission_batch::is_taken(std::string_view job) const
{
    return std::any_of(
        this->taken.begin(), this->taken.end(),
        [&](submission const& each) { return each.job == job; });
}

submission_batch::held_amount submission_batch::held() const
{
    held_amount result;
    auto const add = [&](auto const& list) {
        result.count += list.size();
        for (auto const& each : list) {
            result.bytes += each.value.size();
        }
    };
    add(this->waiting);
    add(this->taken);
    return result;
}

bool submission_batch::is_held(std::string_view job) const
{
    return this->is_taken(job) ||
           std::any_of(
               this->waiting.begin(), this->waiting.end(),
               [&](submission const& each) { return each.job == job; });
}

void submission_batch::take(std::size_t limit)
{
    std::size_t bytes = 0;
    std::size_t count = 0;
    for (auto const& each : this->taken) {
        bytes += each.value.size();
        count += entries_of(each);
    }
    while (!this->waiting.empty()) {
        bytes += this->waiting.front().value.size();
        count += entries_of(this->waiting.front());
        if (count > limit * entries ||
            (bytes > longest_values && !this->taken.empty())) {
            return; // but one submission is always written
        }
        this->taken.push_back(std::move(this->waiting.front()));
        this->waiting.pop_front();
    }
}

void submission_batch::add_to(row_change& change) const
{
    for (auto const& each : this->taken) {
        auto const key = submission_key(each.job);
        change.conditions.push_back({tables::jobs, key, 0});
        change.conditions.push_back({tables::ended, each.job, each.replaces});
        if (each.is_rejection) {
            change.puts.push_back(
                {.table = tables::ended,
                 .key = each.job,
                 .value = rejection_value});
            continue;
        }
        change.puts.push_back(
            {.table = tables::jobs, .key = key, .value = each.value});
        if (each.replaces > 0) {
            change.removals.push_back(
                {.table = tables::ended, .key = each.job});
        }
    }
}

std::size_t submission_batch::entries_of(submission const& each)
{
    return !each.is_rejection && each.replaces > 0 ? entries + 1 : entries;
}

std::size_t submission_batch::taken_entries() const
{
    std::size_t count = 0;
    for (auto const& each : this->taken) {
        count += entries_of(each);
    }
    return count;
}

std::vector<std::string> submission_batch::rejections() const
{
    std::vector<std::string> jobs;
    for (auto const& each : this->taken) {
        if (each.is_rejection) {
            jobs.push_back(each.job);
        }
    }
    return jobs;
}

std::vector<std::pair<std::string, std::string>> submission_batch::on_done()
{
    std::vector<std::pair<std::string, std::string>> accepted;
    for (auto& each : std::exchange(this->taken, {})) {
        if (each.is_rejection) {
            each.callback(
                {.status = store_status::rejected,
                 .retry_after = each.retry_after});
            continue;
        }
        accepted.emplace_back(std::move(each.job), std::move(each.value));
        each.callback({.status = store_status::done});
    }
    return accepted;
}

void submission_batch::on_not_done()
{
    for (auto const& each : std::exchange(this->taken, {})) {
        each.callback({.status = store_status::not_done});
    }
}

void submission_batch::refuse_waiting()
{
    for (auto const& each : std::exchange(this->waiting, {})) {
        each.callback({.status = store_status::not_done});
    }
}

std::optional<submission_answer>
submission_batch::judge(submission const& each, std::span<row const> current)
{
    auto const exists = [&](char const* table, std::string const& key) {
        return std::any_of(
            current.begin(), current.end(), [&](row const& found) {
                return found.table == table && found.key == key;
            });
    };
    if (exists(tables::jobs, submission_key(each.job))) {
        return submission_answer{.status = store_status::done};
    }
    auto const rejection = rejection_version(current, each.job);
    if (rejection > 0) {
        if (each.is_rejection || rejection == each.replaces) {
            return std::nullopt;
        }
        return submission_answer{
            .status = store_status::barred, .rejection_version = rejection};
    }
    if (!exists(tables::ended, each.job)) {
        return std::nullopt;
    }
    return submission_answer{
        .status = has_tombstone(current, each.job)
                      ? store_status::conflict
                      : store_status::done}; // accepted before
}

bool submission_batch::on_conflict(std::span<row const> current)
{
    std::vector<std::pair<submission, submission_answer>> known;
    std::vector<submission> kept;
    for (auto& each : std::exchange(this->taken, {})) {
        if (auto const answer = judge(each, current)) {
            known.emplace_back(std::move(each), *answer);
        } else {
            // The row may have been removed, or replaced by a later rejection.
            each.replaces = rejection_version(current, each.job);
            kept.push_back(std::move(each));
        }
    }
    this->taken = std::move(kept);
    for (auto const& [each, answer] : known) {
        each.callback(answer);
    }
    return !known.empty();
}

void submission_batch::end(store_status of_taken)
{
    for (auto const& each : std::exchange(this->taken, {})) {
        each.callback({.status = of_taken});
    }
    this->refuse_waiting();
}

} // namespace foxtaillift::jobs
