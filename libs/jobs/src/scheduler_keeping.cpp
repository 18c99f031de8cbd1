/// Room for lasting tasks that have waited for long. In a full fleet short
/// tasks take each piece of room as it comes, so that it never grows to what a
/// larger task needs.
#include "scheduler_core.hpp"
#include "urgency.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::jobs
{

namespace
{

/// A lasting task that has waited for this long goes before short ones. The
/// callers count it as lost after 9 s, if there is room.
constexpr base::duration starving_after = base::milliseconds(5000);

/// One worker in this many keeps room at a time, since kept room is idle.
constexpr std::size_t workers_by_kept_room = 64;

/// A search for a worker that is to keep room compares the runs of many.
constexpr base::duration keep_search_gap = base::milliseconds(200);
constexpr std::size_t keep_searches_in_run = 4;

/// Of a run whose duration nobody has told.
constexpr base::duration unknown_time_left = base::seconds(5);

} // namespace

bool scheduler::implementation::is_starving(
    job_entry const& job, std::size_t ordinal, base::instant now) const
{
    auto const& task = job.tasks[ordinal];
    if (!task.runs.empty()) {
        return false;
    }
    auto const name = job.name_of(ordinal);
    auto const ready_at = this->ready_since(job, job.step_slot(name));
    if (!job.spec.steps[name.step].is_lasting || ready_at == base::instant{}) {
        return false;
    }
    // How long a task of an earlier leader has waited is not known.
    bool const is_unknown =
        job.is_inherited && task.last_present == base::instant{};
    return is_unknown ||
           now - this->waiting_since(job, ordinal) >= starving_after;
}

bool scheduler::implementation::has_starving_task(
    job_entry const& job, base::instant now) const
{
    auto const idle = job.idle_lasting_tasks();
    return std::any_of(idle.begin(), idle.end(), [&](std::size_t each) {
        return this->is_starving(job, each, now);
    });
}

void scheduler::implementation::release_kept_room()
{
    this->keep_searches_left = keep_searches_in_run;
    for (auto const index : std::exchange(this->kept, {})) {
        this->workers[index].kept = {};
        this->update_vacancy(index);
    }
}

void scheduler::implementation::keep_room(job_entry& job, base::instant now)
{
    auto const limit = 1 + this->workers.size() / workers_by_kept_room;
    for (auto const i : job.idle_lasting_tasks()) {
        if (this->kept.size() >= limit) {
            return;
        }
        auto const name = job.name_of(i);
        if (!this->is_starving(job, i, now)) {
            continue;
        }
        auto& step = job.steps.edit(job.step_slot(name));
        if (step.kept_at == now) {
            continue; // one worker for each step
        }
        step.kept_at = now;
        this->choose_kept_worker(job, name, now);
        if (step.kept_worker) {
            auto& worker = this->workers[*step.kept_worker];
            worker.kept += job.spec.steps[name.step].need;
            this->kept.push_back(*step.kept_worker);
            this->update_vacancy(*step.kept_worker);
        }
    }
}

void scheduler::implementation::choose_kept_worker(
    job_entry& job, task_name const& task, base::instant now)
{
    auto& step = job.steps.edit(job.step_slot(task));
    auto const& wanted = job.spec.steps[task.step];
    auto const own = runs_by_worker(
        job, job.first_task(task.occurrence, task.step), wanted.count);
    task_search const search{
        .wanted = &wanted,
        .own_runs = own,
        .advice = this->advice_on(job, task)};
    auto const wait =
        step.kept_worker ? this->time_until_room(*step.kept_worker, search, now)
                         : std::nullopt;
    if (!wait) {
        step.kept_worker.reset();
    }
    if (now < step.keep_search_due || this->keep_searches_left == 0) {
        return;
    }
    --this->keep_searches_left;
    step.keep_search_due = now + keep_search_gap;
    auto const first = this->first_with_room(search, job, now);
    // What has ended on the kept worker would be given away by a change.
    constexpr std::int64_t gain_of_change = 2;
    if (first && (!wait || first->second * gain_of_change < *wait)) {
        step.kept_worker = first->first;
    }
}

std::optional<std::pair<std::size_t, base::duration>>
scheduler::implementation::first_with_room(
    task_search const& search, job_entry const& job, base::instant now) const
{
    auto const list = this->vacancies.find(this->queue_of(job)->service);
    if (list == this->vacancies.end()) {
        return std::nullopt;
    }
    std::optional<std::pair<std::size_t, base::duration>> first;
    for (auto const& choice : list->second) {
        auto const wait = this->time_until_room(choice.worker, search, now);
        if (wait && (!first || *wait < first->second)) {
            first.emplace(choice.worker, *wait);
        }
    }
    return first;
}

std::optional<base::duration> scheduler::implementation::time_until_room(
    std::size_t index, task_search const& search, base::instant now) const
{
    auto const& worker = this->workers[index];
    auto const& capacity = worker.info.capacity;
    auto const& wanted = *search.wanted;
    auto const mine = search.own_runs.find(index);
    placement_wish const wish{
        .wanted = &wanted,
        .own_runs = mine == search.own_runs.end() ? 0 : mine->second};
    bool const is_full_for_good = worker.serving_processors +
                                      worker.kept.processors +
                                      wanted.need.processors >
                                  capacity.processors;
    bool const is_without_ticket =
        search.advice != nullptr &&
        !has_ticket(*search.advice, index, worker.born_ms, now);
    if (is_full_for_good || is_without_ticket || !is_usable(worker, now) ||
        find_obstacle(worker, wish) == obstacle::not_allowed) {
        return std::nullopt;
    }
    std::vector<std::pair<base::duration, resources>> ends;
    for (auto const& [run, taken] : worker.runs) {
        auto const* const entry = find_run(index, run, taken);
        if (entry == nullptr) {
            return std::nullopt;
        }
        auto const& step = taken.job->spec.steps[run.task.step];
        if (step.is_lasting) {
            continue;
        }
        auto freed = taken.need;
        freed.processors = taken.is_filling ? 0 : freed.processors;
        auto const left = time_left(*entry, step);
        ends.emplace_back(left.ms > 0 ? left : unknown_time_left, freed);
    }
    std::sort(ends.begin(), ends.end(), [](auto const& a, auto const& b) {
        return a.first < b.first;
    });
    auto used = worker.used;
    used += worker.kept;
    used += wanted.need;
    base::duration wait{};
    for (auto end = ends.begin(); !used.fits_in(capacity); ++end) {
        if (end == ends.end()) {
            return std::nullopt;
        }
        wait = end->first;
        used -= end->second;
    }
    return wait;
}

} // namespace foxtaillift::jobs
