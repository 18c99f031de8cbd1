/// The search for the worker of a task.
#include "placement.hpp"
#include "scheduler_core.hpp"

#include <algorithm>

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

} // namespace

double least_speed_after(base::duration waited)
{
    return waited < patience_for_speed ? speed_worth_waiting
           : waited < patience_for_any ? least_speed_early
                                       : 0;
}

bool scheduler::implementation::is_usable(
    worker_entry const& worker, base::instant now)
{
    return worker.is_heard && !worker.is_gone && !worker.is_closed &&
           !worker.info.is_draining &&
           (worker.is_listed || now - worker.unlisted_at < unlisted_grace) &&
           worker.silent_looks == 0 && worker.unsized_runs == 0 &&
           now >= worker.barred_until && now - worker.heard_at < fresh_report;
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
    for (auto& [service, list] : this->vacancies) {
        list.clear();
    }
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        worker.vacancy_position.reset();
        if (is_usable(worker, now)) {
            auto& list = this->vacancies[worker.info.service];
            worker.vacancy_position = list.size();
            list.push_back({.worker = i});
            this->update_vacancy(i);
        }
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
    }
}

candidate scheduler::implementation::find_worker(
    job_entry const& job, task_search const& search)
{
    auto const& wanted = *search.wanted;
    auto const image = this->interference.number_of(wanted.image);
    // Where a task has no bond to particular workers, some candidates are as
    // good as all; serving tasks are packed, which needs the whole view.
    bool const is_bound = wanted.is_lasting || wanted.is_rack_bound ||
                          !wanted.preferred_rack.empty() ||
                          !wanted.required_label.empty();
    auto const limit = is_bound || this->workers.size() <= small_fleet
                           ? this->workers.size()
                           : sample;
    auto const* const queue = this->queue_of(job);
    candidate best;
    auto const list = queue == nullptr ? this->vacancies.end()
                                       : this->vacancies.find(queue->service);
    if (list == this->vacancies.end()) {
        best.obstacles.add(obstacle::unusable, this->workers.size());
        return best;
    }
    auto const& choices = list->second;
    best.obstacles.add(
        obstacle::unusable, this->workers.size() - choices.size());
    double best_cost = 0;
    std::size_t compared = 0;
    auto const first = this->next_candidate;
    for (std::size_t i = 0; i < choices.size() && compared < limit; ++i) {
        auto const position = (first + i) % choices.size();
        auto const& choice = choices[position];
        if (!wanted.is_filling &&
            wanted.need.processors > choice.room.processors) {
            best.obstacles.add(obstacle::processors);
            continue;
        }
        auto const w = choice.worker;
        if (search.advice != nullptr &&
            !has_ticket(
                *search.advice, w, this->workers[w].born_ms,
                this->searched_at)) {
            best.obstacles.add(obstacle::no_ticket);
            continue;
        }
        this->next_candidate = position + 1;
        auto const mine = search.own_runs.find(w);
        placement_wish wish{
            .wanted = &wanted,
            .image = image,
            .own_runs = mine == search.own_runs.end() ? 0 : mine->second,
            .own_rack = search.own_rack,
            .least_speed = search.least_speed,
            .is_avoided = search.avoided == w};
        auto const missing = find_obstacle(this->workers[w], wish);
        if (missing != obstacle::none) {
            best.obstacles.add(missing);
            continue;
        }
        ++compared;
        wish.lost_versatility =
            this->lost_versatility(this->workers[w], wanted, image);
        auto const verdict =
            judge_placement(this->workers[w], this->interference, wish);
        best.obstacles.add(verdict.why);
        if (verdict.why != obstacle::none) {
            continue;
        }
        if (!best.worker || verdict.cost < best_cost) {
            best.worker = w;
            best_cost = verdict.cost;
        }
    }
    return best;
}

} // namespace foxtaillift::jobs
