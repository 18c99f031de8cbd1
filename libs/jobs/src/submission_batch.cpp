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
                          other = std::move(wanted.callback)](auto status) {
            one(status);
            other(status);
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
        wanted.callback(store_status::not_done);
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

void submission_batch::take(std::size_t limit)
{
    std::size_t bytes = 0;
    for (auto const& each : this->taken) {
        bytes += each.value.size();
    }
    while (!this->waiting.empty() && this->taken.size() < limit) {
        bytes += this->waiting.front().value.size();
        if (bytes > longest_values && !this->taken.empty()) {
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
        change.conditions.push_back({tables::ended, each.job, 0});
        change.puts.push_back(
            {.table = tables::jobs, .key = key, .value = each.value});
    }
}

std::vector<std::pair<std::string, std::string>> submission_batch::on_done()
{
    std::vector<std::pair<std::string, std::string>> accepted;
    for (auto& each : std::exchange(this->taken, {})) {
        accepted.emplace_back(std::move(each.job), std::move(each.value));
        each.callback(store_status::done);
    }
    return accepted;
}

void submission_batch::on_not_done()
{
    for (auto const& each : std::exchange(this->taken, {})) {
        each.callback(store_status::not_done);
    }
}

void submission_batch::refuse_waiting()
{
    for (auto const& each : std::exchange(this->waiting, {})) {
        each.callback(store_status::not_done);
    }
}

bool submission_batch::on_conflict(std::span<row const> current)
{
    auto const exists = [&](submission const& each) {
        return std::any_of(
            current.begin(), current.end(), [&](row const& found) {
                return (found.table == tables::jobs &&
                        found.key == submission_key(each.job)) ||
                       (found.table == tables::ended && found.key == each.job);
            });
    };
    auto const first = std::partition(
        this->taken.begin(), this->taken.end(),
        [&](submission const& each) { return !exists(each); });
    std::vector<submission> known{
        std::make_move_iterator(first),
        std::make_move_iterator(this->taken.end())};
    this->taken.erase(first, this->taken.end());
    for (auto const& each : known) {
        each.callback(
            has_tombstone(current, each.job)
                ? store_status::conflict
                : store_status::done); // accepted before
    }
    return !known.empty();
}

void submission_batch::end(store_status of_taken)
{
    for (auto const& each : std::exchange(this->taken, {})) {
        each.callback(of_taken);
    }
    this->refuse_waiting();
}

} // namespace foxtaillift::jobs
