/// The search for the worker of a task.
#include "placement.hpp"
#include "scheduler_core.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::jobs
{

namespace
{

/// A worker whose last report is older gets no new work; reports come at least
/// every look_wait (1 s) while it answers.
constexpr base::duration fresh_report = base::milliseconds(2600);

/// An entry that vanished from the platform's list may return for this long.
constexpr base::duration unlisted_grace = base::seconds(3);

/// A filling task waits for a worker on which it has at least this part of its
/// speed; after a while it takes a slower one, and at last any.
constexpr double speed_worth_waiting = 0.45;
constexpr base::duration patience_for_speed = base::milliseconds(3000);
constexpr double least_speed_early = 0.2;
constexpr base::duration patience_for_any = base::seconds(15);

/// Workers with room that are compared for a task: all of a fleet of today. In
/// a larger one a sample; the best of 40 is among the best 2%, and the next
/// search begins after them.
constexpr std::size_t small_fleet = 96;
constexpr std::size_t sample = 40;
/// Workers compared beside the sample for each task that one search places; the
/// tasks of a step end up on the best third.
constexpr std::size_t sample_by_task = 2;

/// Orders a heap with the lowest cost in front, and workers of one cost by
/// their position.
bool is_costlier(ranked_workers::entry const& a, ranked_workers::entry const& b)
{
    return std::pair{a.cost, a.worker} > std::pair{b.cost, b.worker};
}

/// The worker has the room, so that it was compared with others.
bool is_compared(obstacle why)
{
    return why == obstacle::none || why == obstacle::speed;
}

} // namespace

double least_speed_after(base::duration waited)
{
    return waited < patience_for_speed ? speed_worth_waiting
           : waited < patience_for_any ? least_speed_early
                                       : 0;
}

bool scheduler::implementation::may_start_unlisted(
    worker_entry const& worker, base::instant now)
{
    return !worker.is_listed && now - worker.unlisted_at < unlisted_grace;
}

bool scheduler::implementation::is_in_use(
    worker_entry const& worker, base::instant now) const
{
    bool const is_doubtful = !this->is_recovered && !worker.is_heard;
    bool const may_run = !worker.is_gone &&
                         (worker.is_listed || worker.has_work() || is_doubtful);
    return may_run || may_start_unlisted(worker, now);
}

bool scheduler::implementation::is_sound(
    worker_entry const& worker, base::instant now)
{
    return worker.is_heard && !worker.is_gone && !worker.is_closed &&
           !worker.info.is_draining &&
           (worker.is_listed || may_start_unlisted(worker, now)) &&
           worker.is_entry_current() && worker.silent_looks == 0 &&
           worker.unsized_runs == 0 &&
           // Its list must become no longer while the recovery waits for it.
           !worker.has_unlisted_ends && !worker.trust.is_barred(now) &&
           !worker.trust.is_trial_out() && now - worker.heard_at < fresh_report;
}

bool scheduler::implementation::is_usable(
    worker_entry const& worker, base::instant now)
{
    return !worker.is_evacuated && is_sound(worker, now);
}

double scheduler::implementation::lost_versatility(
    worker_entry const& worker, step const& wanted, image_number image) const
{
    if (!wanted.is_lasting || wanted.tail_target_ms <= 0) {
        return 0;
    }
    auto images = worker.serving_images();
    bool const is_new =
        std::find(images.begin(), images.end(), image) == images.end();
    if (images.empty() || !is_new) {
        return 0; // an empty worker is taken before others are mixed
    }
    double const before = this->mix.versatility(this->interference, images);
    images.push_back(image);
    return before - this->mix.versatility(this->interference, images);
}

void scheduler::implementation::find_vacancies(base::instant now)
{
    this->searched_at = now;
    this->evacuated_vacancies = 0;
    for (auto& [service, list] : this->vacancies) {
        list.clear();
    }
    // Neighbours mostly have one service, which saves the search for its list.
    std::string const* service = nullptr;
    std::vector<vacancy>* list = nullptr;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        worker.vacancy_position.reset();
        if (!is_sound(worker, now)) {
            continue;
        }
        if (worker.is_evacuated) {
            ++this->evacuated_vacancies;
            continue;
        }
        if (service == nullptr || *service != worker.info.service) {
            service = &worker.info.service;
            list = &this->vacancies[*service];
        }
        worker.vacancy_position = list->size();
        auto room = worker.info.capacity;
        room -= worker.used;
        room -= worker.kept;
        list->push_back({.worker = i, .room = room});
    }
}

void scheduler::implementation::update_vacancy(std::size_t index)
{
    auto const& worker = this->workers[index];
    if (worker.vacancy_position) {
        auto& entry = this->vacancies.find(worker.info.service)
                          ->second[*worker.vacancy_position];
        entry.room = worker.info.capacity;
        entry.room -= worker.used;
        entry.room -= worker.kept;
    }
}

placement_verdict scheduler::implementation::judge(
    task_search const& search, std::size_t index) const
{
    auto const& wanted = *search.wanted;
    auto const& worker = this->workers[index];
    auto const mine = search.own_runs.find(index);
    placement_wish wish{
        .wanted = &wanted,
        .image = search.image,
        .own_runs = mine == search.own_runs.end() ? 0 : mine->second,
        .own_rack = search.own_rack,
        .least_speed = search.least_speed,
        .is_avoided = search.avoided == index};
    auto const missing = find_obstacle(worker, wish);
    if (missing != obstacle::none) {
        return {.why = missing};
    }
    wish.lost_versatility =
        this->lost_versatility(worker, wanted, search.image);
    return judge_placement(worker, this->interference, wish);
}

ranked_workers scheduler::implementation::rank_workers(
    job_entry const& job, task_search const& search, std::size_t count)
{
    auto const& wanted = *search.wanted;
    ranked_workers ranked;
    auto const count_unusable = [&](std::size_t usable) {
        ranked.obstacles.add(
            obstacle::unusable,
            this->workers.size() - usable - this->evacuated_vacancies);
        ranked.obstacles.add(obstacle::evacuated, this->evacuated_vacancies);
    };
    auto const* const queue = this->queue_of(job);
    auto const list = queue == nullptr ? this->vacancies.end()
                                       : this->vacancies.find(queue->service);
    if (list == this->vacancies.end()) {
        count_unusable(0);
        return ranked;
    }
    auto const& choices = list->second;
    count_unusable(choices.size());
    std::size_t compared = 0;
    auto const first = this->next_candidate;
    for (std::size_t i = 0; i < choices.size() && compared < count; ++i) {
        auto const position = (first + i) % choices.size();
        auto const& choice = choices[position];
        if (!wanted.is_filling &&
            wanted.need.processors > choice.room.processors) {
            ranked.obstacles.add(obstacle::processors);
            continue;
        }
        auto const w = choice.worker;
        if (search.advice != nullptr &&
            !has_ticket(
                *search.advice, w, this->workers[w].born_ms,
                this->searched_at)) {
            ranked.obstacles.add(obstacle::no_ticket);
            continue;
        }
        this->next_candidate = position + 1;
        auto const verdict = this->judge(search, w);
        ranked.obstacles.add(verdict.why);
        compared += is_compared(verdict.why) ? 1 : 0;
        if (verdict.why == obstacle::none) {
            ranked.entries.push_back({verdict.cost, w});
        }
    }
    std::make_heap(ranked.entries.begin(), ranked.entries.end(), is_costlier);
    return ranked;
}

std::optional<std::size_t> scheduler::implementation::take_best(
    ranked_workers& ranked, std::optional<std::size_t> const& avoided)
{
    auto& entries = ranked.entries;
    if (entries.empty()) {
        return std::nullopt;
    }
    std::pop_heap(entries.begin(), entries.end(), is_costlier);
    auto const best = entries.back();
    entries.pop_back();
    if (best.worker != avoided || entries.empty()) {
        return best.worker;
    }
    std::pop_heap(entries.begin(), entries.end(), is_costlier);
    auto const next = std::exchange(entries.back(), best);
    std::push_heap(entries.begin(), entries.end(), is_costlier);
    return next.worker;
}

void scheduler::implementation::rank_again(
    ranked_workers& ranked, task_search const& search, std::size_t worker) const
{
    auto const verdict = this->judge(search, worker);
    if (verdict.why == obstacle::none) {
        ranked.entries.push_back({verdict.cost, worker});
        std::push_heap(
            ranked.entries.begin(), ranked.entries.end(), is_costlier);
    }
}

candidate scheduler::implementation::find_worker(
    job_entry const& job, task_search const& search)
{
    auto ranked =
        this->rank_workers(job, search, this->sample_of(*search.wanted, 1));
    candidate best{.obstacles = ranked.obstacles};
    if (!ranked.entries.empty()) {
        best.worker = ranked.entries.front().worker;
    }
    return best;
}

std::size_t scheduler::implementation::sample_of(
    step const& wanted, std::size_t tasks) const
{
    // Where a task has no bond to particular workers, some candidates are as
    // good as all; serving tasks are packed, which needs the whole view.
    bool const is_bound = wanted.is_lasting || wanted.is_rack_bound ||
                          !wanted.preferred_rack.empty() ||
                          !wanted.required_label.empty();
    return is_bound || this->workers.size() <= small_fleet
               ? this->workers.size()
               : sample + tasks * sample_by_task;
}

} // namespace foxtaillift::jobs
