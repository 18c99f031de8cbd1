#include "task_table.hpp"

namespace foxtaillift::jobs
{

std::string_view to_string(run_release reason)
{
    switch (reason) {
    case run_release::none:
        return "none";
    case run_release::ended:
        return "ended";
    case run_release::absent:
        return "absent";
    case run_release::not_started:
        return "not_started";
    case run_release::lease_over:
        return "lease_over";
    case run_release::other_worker:
        return "other_worker";
    }
    return "none";
}

void task_table::trim(std::size_t ordinal)
{
    auto const* const entry = this->begun.find(ordinal);
    if (entry != nullptr && this->done[ordinal] && entry->runs.empty()) {
        this->begun.erase(ordinal);
    }
}

task_entry const& task_table::operator[](std::size_t ordinal) const
{
    static task_entry const never_begun{};
    auto const* const entry = this->begun.find(ordinal);
    return entry == nullptr ? never_begun : *entry;
}

step_table::step_table(std::span<step const> steps, std::size_t occurrences)
    : unused_by_step(steps.size(), occurrences)
    , finished(steps.size() * occurrences)
    , always(occurrences == 1 ? steps.size() : 0)
{
    this->counts.reserve(steps.size());
    for (auto const& each : steps) {
        this->counts.push_back(each.count);
    }
    for (std::size_t slot = 0; slot < this->always.size(); ++slot) {
        this->always[slot].idle = this->counts[slot];
    }
}

step_entry& step_table::add(std::size_t slot)
{
    auto const number = slot % this->counts.size();
    auto const [entry, is_new] = this->begun.add(slot);
    if (is_new && this->finished[slot]) {
        entry->done = this->counts[number];
    } else if (is_new) {
        entry->idle = this->counts[number];
        --this->unused_by_step[number];
    }
    return *entry;
}

void step_table::finish(std::size_t slot)
{
    if (!this->finished[slot] && this->find(slot) == nullptr) {
        --this->unused_by_step[slot % this->counts.size()];
    }
    this->finished[slot] = true;
    if (this->always.empty()) {
        this->begun.erase(slot);
    } else {
        this->always[slot].done = this->counts[slot];
        this->always[slot].idle = 0;
    }
}

std::uint32_t step_table::done(std::size_t slot) const
{
    auto const* const entry = this->find(slot);
    return entry != nullptr       ? entry->done
           : this->finished[slot] ? this->counts[slot % this->counts.size()]
                                  : 0;
}

std::uint32_t step_table::idle(std::size_t slot) const
{
    auto const* const entry = this->find(slot);
    return entry != nullptr       ? entry->idle
           : this->finished[slot] ? 0
                                  : this->counts[slot % this->counts.size()];
}

step_entry const& step_table::operator[](std::size_t slot) const
{
    static step_entry const unused_step{};
    auto const* const entry = this->find(slot);
    return entry == nullptr ? unused_step : *entry;
}

} // namespace foxtaillift::jobs
