/// What the order of work is computed from.
#include "placement.hpp"
#include "scheduler_core.hpp"
#include "urgency.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::jobs
{

namespace
{

constexpr double core = 1000; // thousandths

/// Processors of the worker that ordinary tasks of this need can take beside
/// its lasting ones. Room that is too small for one more does not count.
double ordinary_room(worker_entry const& worker, double need)
{
    auto const room = std::max(
        0.0, static_cast<double>(
                 worker.info.capacity.processors - worker.lasting_processors) /
                 core);
    return need <= 0 ? room : std::floor(room / need) * need;
}

/// Processors that filling tasks may use there by their paces, or could if
/// there were any: of what is unused, the part beside which serving tasks bear
/// their images.
double filling_room(worker_entry const& worker)
{
    constexpr double full_speed = 100; // percent
    double const unused = std::max(0.0, scene_of(worker).unused_processors);
    double paced = 0;
    for (auto const& run : worker.fillings) {
        paced += run.full_share * run.percent / full_speed;
    }
    double const part = worker.fillings.empty() ? unused * worker.versatility
                                                : std::min(unused, paced);
    return part * static_cast<double>(worker.info.capacity.processors) / core;
}

} // namespace

std::optional<prospect> scheduler::implementation::prospect_of_job(
    job_entry const& job, base::instant now) const
{
    auto const* const queue = this->queue_of(job);
    bool const is_judged = queue != nullptr && job.spec.repeats == 0 &&
                           !job.spec.steps.front().is_lasting;
    return is_judged ? std::optional{prospect_of(timing_of(job, *queue, now))}
                     : std::nullopt;
}

std::size_t
scheduler::implementation::pool_of(job_entry const& job, queue const& queue)
{
    auto& input = this->dispatch_from;
    auto const [found, is_new] =
        input.pool_numbers.emplace(queue.service, input.pools.size());
    if (is_new) {
        input.pools.resize(input.pools.size() + 2);
        input.pool_needs.resize(input.pools.size());
        input.pool_works.resize(input.pools.size());
    }
    return found->second + (job.spec.steps.front().is_filling ? 1 : 0);
}

void scheduler::implementation::add_candidate(
    job_entry& job, std::string_view id, queue const& queue, base::instant now)
{
    auto& input = this->dispatch_from;
    auto const& first = job.spec.steps.front();
    auto const pool = this->pool_of(job, queue);
    auto const [kind, is_new] =
        input.kind_numbers.emplace(&queue, input.kinds.size());
    if (is_new) {
        input.kinds.emplace_back();
    }
    auto const timing = timing_of(job, queue, now);
    bool const is_rated =
        !first.is_lasting && prospect_of(timing) != prospect::worthless;
    if (is_rated) {
        auto& load = input.kinds[kind->second];
        ++load.jobs;
        load.work += job.work;
    }
    double const work_left = job.work_left();
    bool const has_work =
        job.idle > 0 || (job.has_racing_step && job.open_runs > 0);
    if (!has_work) {
        input.pools[pool].committed_work += work_left;
        return;
    }
    if (!this->is_recovered && job.is_inherited) {
        return;
    }
    input.pool_works[pool] += work_left;
    input.pool_needs[pool] +=
        work_left * static_cast<double>(first.need.processors) / core;
    input.candidates.push_back(
        {.priority = queue.priority,
         .is_lasting = first.is_lasting,
         .timing = timing,
         .work = job.work,
         .work_left = work_left,
         .kind = kind->second,
         .pool = pool,
         .name = id});
    input.jobs.push_back(&job);
}

void scheduler::implementation::find_room()
{
    auto& input = this->dispatch_from;
    for (auto const& [service, first] : input.pool_numbers) {
        auto const list = this->vacancies.find(service);
        if (list == this->vacancies.end()) {
            continue;
        }
        auto& ordinary = input.pools[first];
        auto& filling = input.pools[first + 1];
        double const need =
            input.pool_needs[first] / std::max(1.0, input.pool_works[first]);
        bool const is_filling_awaited = input.pool_works[first + 1] > 0;
        for (auto const& each : list->second) {
            auto const& worker = this->workers[each.worker];
            ordinary.processors += ordinary_room(worker, need);
            filling.processors += is_filling_awaited ? filling_room(worker) : 0;
        }
    }
}

void scheduler::implementation::arrange_jobs(base::instant now)
{
    auto& input = this->dispatch_from;
    input.candidates.clear();
    input.jobs.clear();
    input.kinds.clear();
    input.pools.clear();
    input.pool_needs.clear();
    input.pool_works.clear();
    input.kind_numbers.clear();
    input.pool_numbers.clear();
    for (auto& [id, job] : this->jobs) {
        auto const* const queue = this->queue_of(*job);
        if (!is_final(job->state) && queue != nullptr) {
            this->add_candidate(*job, id, *queue, now);
        }
    }
    this->find_room();
    this->dispatch.arrange(input.candidates, input.kinds, input.pools);
    for (auto const& entry : this->dispatch.entries()) {
        input.jobs[entry.candidate]->dispatch = entry;
    }
}

} // namespace foxtaillift::jobs
