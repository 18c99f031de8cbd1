/// Stops lasting and less urgent runs for short jobs that would otherwise be
/// late: where lasting tasks have taken a fleet, short work would wait for
/// seconds behind tasks that stay for minutes.
#include "preemption.hpp"
#include "scheduler_core.hpp"
#include "urgency.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

/// Between two rounds, and steps regarded in one: each looks at all runs.
constexpr base::duration preemption_interval = base::milliseconds(50);
constexpr std::size_t preemptions_in_round = 8;

/// Room that short tasks leave within this time needs no preemption.
constexpr base::duration natural_wait = base::milliseconds(50);

/// What a processor of a short job in time is worth beside one of a lasting
/// task; callers of both deployments value it three to five times.
constexpr double worth_of_short_work = 3;

/// A stopped lasting task serves again this long after its next start (340 to
/// 420 ms on average).
constexpr base::duration restart_time = base::milliseconds(400);

/// A lasting task that does not serve yet loses little.
constexpr double loss_before_work = 0.2;

/// Of the tasks of a step without a limit of its own, one in this many may be
/// unavailable.
constexpr std::uint32_t least_present = 3;

constexpr int at_work = 100; // percent

double processor_ms(step const& wanted, base::duration time)
{
    return static_cast<double>(wanted.need.processors) *
           static_cast<double>(time.ms);
}

/// All work of a job that runs once.
double work_of(job_spec const& job)
{
    double sum = 0;
    for (auto const& each : job.steps) {
        sum += each.count * processor_ms(each, each.estimate);
    }
    return sum;
}

} // namespace

void scheduler::implementation::note_short_wait(
    job_entry& job,
    std::uint32_t occurrence,
    std::uint32_t step_number,
    base::instant now)
{
    auto const& wanted = job.spec.steps[step_number];
    auto const slot = occurrence * job.spec.steps.size() + step_number;
    bool const is_short =
        !wanted.is_lasting && !wanted.is_filling && !wanted.is_gang;
    if (is_short && now - job.steps[slot].ready_at >= natural_wait &&
        this->short_waits.size() < preemptions_in_round) {
        this->short_waits.push_back({&job, occurrence, step_number});
    }
}

void scheduler::implementation::preempt_for_short_jobs(base::instant now)
{
    if (this->short_waits.empty() ||
        now - this->preempted_at < preemption_interval) {
        return;
    }
    this->preempted_at = now;
    for (auto const& wait : this->short_waits) {
        this->preempt_for(wait, now);
    }
}

bool scheduler::implementation::is_worth_preemption(
    waiting_step const& wait, base::instant now) const
{
    auto const& job = *wait.job;
    auto const* const queue = this->queue_of(job);
    if (queue == nullptr || queue->adviser) {
        return false; // the adviser may not allow the worker
    }
    auto const& wanted = job.spec.steps[wait.step];
    auto const left = job.seen_at + objective_of(job, *queue) - now;
    auto const needed =
        this->stop_time() + wanted.estimate + job.chain_after[wait.step];
    return wanted.estimate.ms > 0 && needed <= left;
}

base::duration scheduler::implementation::stop_time() const
{
    return base::milliseconds(static_cast<std::int64_t>(this->mean_stop_ms));
}

void scheduler::implementation::note_stop_time(base::duration took)
{
    /// Stops take up to 0.2 or 0.9 s; an average of some ten follows them.
    constexpr double weight = 0.1;
    this->mean_stop_ms +=
        weight * (static_cast<double>(took.ms) - this->mean_stop_ms);
}

void scheduler::implementation::preempt_for(
    waiting_step const& wait, base::instant now)
{
    auto& job = *wait.job;
    if (!this->is_worth_preemption(wait, now)) {
        return;
    }
    auto const& wanted = job.spec.steps[wait.step];
    auto const slot = wait.occurrence * job.spec.steps.size() + wait.step;
    std::vector<std::pair<std::size_t, run_name>> offered;
    auto choices = this->find_preemptible(wait, offered, now);
    room_demand const demand{
        .need = wanted.need,
        .tasks = job.steps[slot].idle,
        .worth = worth_of_short_work * work_of(job.spec)};
    auto const chosen = choose_preempted(demand, choices);
    if (!chosen) {
        return;
    }
    for (auto const number : *chosen) {
        auto const& [worker, run] = offered[number];
        this->log(base::event_line{"run_preempted"}
                      .add("task", to_string(run.task))
                      .add("attempt", run.attempt)
                      .add("worker", this->workers[worker].info.id)
                      .add("job", job.spec.id)
                      .add("step", wait.step)
                      .add("tasks", demand.tasks)
                      .add("waited_ms", now - job.steps[slot].ready_at));
        this->stop_run(worker, run);
    }
}

std::vector<preemptible_worker> scheduler::implementation::find_preemptible(
    waiting_step const& wait,
    std::vector<std::pair<std::size_t, run_name>>& offered,
    base::instant now)
{
    auto const& wanted = wait.job->spec.steps[wait.step];
    auto const* const queue = this->queue_of(*wait.job);
    std::vector<preemptible_worker> result;
    std::map<step_name, std::uint32_t> allowed;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        placement_wish const wish{.wanted = &wanted};
        if (worker.info.service != queue->service || !is_usable(worker, now) ||
            worker.is_slow || worker.failures_in_row > 0 ||
            !is_allowed(worker, wish)) {
            continue;
        }
        preemptible_worker entry{
            .room = worker.info.capacity,
            .task_limit = wanted.tasks_per_worker > 0 ? wanted.tasks_per_worker
                                                      : wanted.count};
        entry.room -= worker.used;
        for (auto const& [run, taken] : worker.runs) {
            auto frees = taken.need;
            frees.processors = taken.is_filling ? 0 : frees.processors;
            if (this->stops.contains({i, run})) {
                entry.room += frees;
                continue;
            }
            auto const loss = this->preemption_loss(i, run, wait, allowed);
            if (loss) {
                entry.runs.push_back(
                    {.number = offered.size(), .frees = frees, .loss = *loss});
                offered.emplace_back(i, run);
            }
        }
        result.push_back(std::move(entry));
    }
    return result;
}

std::optional<double> scheduler::implementation::preemption_loss(
    std::size_t index,
    run_name const& run,
    waiting_step const& wait,
    std::map<step_name, std::uint32_t>& allowed)
{
    auto const* const entry = this->find_run(index, run);
    auto const* const job = this->find_job(run.task.job);
    if (entry == nullptr || entry->phase != run_phase::running) {
        return std::nullopt;
    }
    auto const& step = job->spec.steps[run.task.step];
    auto const* const own = this->queue_of(*job);
    auto const* const urgent = this->queue_of(*wait.job);
    if (own == nullptr || step.is_gang || !step.is_lasting ||
        own->priority < urgent->priority) {
        return std::nullopt;
    }
    auto const [known, is_new] = allowed.try_emplace(
        step_name{run.task.job, run.task.occurrence, run.task.step}, 0);
    if (is_new) {
        auto const limit = step.max_unavailable.value_or(
            std::max(std::uint32_t{1}, step.count / least_present));
        auto const missing = unavailable_tasks(*job, run.task, this->stops);
        known->second = limit > missing ? limit - missing : 0;
    }
    if (known->second == 0) {
        return std::nullopt;
    }
    --known->second;
    auto const interruption = this->stop_time() + restart_time +
                              wait.job->spec.steps[wait.step].estimate;
    return processor_ms(step, interruption) *
           (entry->percent >= at_work ? 1 : loss_before_work);
}

} // namespace foxtaillift::jobs
