// The share of what any scheduler could earn that the order of work earns in
// overloads of 5 s and 60 s, beside the order that went by deadlines only, and
// how often large jobs are served. Virtual time, seeded.
//
// The bound: all work of the overload is infinitely divisible and shares the
// processors until the last objective is over, and those until three times the
// objective for late work; the work worth most by core-second is done first
// (fractional knapsack). It knows no starvation.
#include "dispatch_order.hpp"

#include "foxtaillift/base/random.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <span>
#include <string>
#include <tuple>
#include <vector>

using namespace foxtaillift;
using namespace foxtaillift::jobs;

namespace
{

constexpr double late_value = 0.15;
constexpr double largest_value = 4;

/// Jobs of one kind; sizes of steps are distributed geometrically.
struct workload
{
    char const* name = "";
    double mean_tasks = 0;  ///< of a step
    double second_step = 0; ///< share of jobs that have one
    double run_ms = 0;      ///< mean of a task
    double processors = 0;  ///< cores of a task
    double target_factor = 0;
    base::duration target_latency{};
    std::size_t slots = 0; ///< tasks for which the fleet has room
};

struct simulated_step
{
    std::vector<double> run_ms{}; ///< of each task
    double estimate_ms = 0;
    std::size_t started = 0;
    std::size_t done = 0;
};

struct simulated_job
{
    std::string name{};
    base::instant submitted{};
    base::duration objective{};
    std::vector<simulated_step> steps{};
    double work = 0;           ///< as it turns out [core-ms]
    double estimated_work = 0; ///< [core-ms]
    double value = 0;          ///< if it is in time
    double earned = 0;
    bool is_done = false;

    [[nodiscard]] std::size_t current() const
    {
        return this->steps[0].done < this->steps[0].run_ms.size() ? 0 : 1;
    }
};

double normal(base::random_engine& random)
{
    constexpr double turn = 6.283185307;
    double const a = 1 - base::uniform_unit(random);
    double const b = base::uniform_unit(random);
    return std::sqrt(-2 * std::log(a)) * std::cos(turn * b);
}

simulated_job make_job(
    workload const& load,
    std::size_t number,
    base::instant at,
    base::random_engine& random)
{
    constexpr double spread = 0.3; // of durations, beside their estimates
    simulated_job job{.name = "job" + std::to_string(number), .submitted = at};
    std::size_t const count =
        base::uniform_unit(random) < load.second_step ? 2 : 1;
    auto const tasks =
        1 + static_cast<std::size_t>(
                -std::log(1 - base::uniform_unit(random)) * load.mean_tasks);
    double chain = 0;
    for (std::size_t k = 0; k < count; ++k) {
        simulated_step step;
        double const mean = load.run_ms * (0.5 + base::uniform_unit(random));
        double const error = std::exp(spread * normal(random));
        step.estimate_ms = mean * error;
        double longest = 0;
        for (std::size_t i = 0; i < tasks; ++i) {
            step.run_ms.push_back(mean * std::exp(0.1 * normal(random)));
            longest = std::max(longest, step.run_ms.back());
            job.work += step.run_ms.back() * load.processors;
            job.estimated_work += step.estimate_ms * load.processors;
        }
        chain += longest;
        job.steps.push_back(std::move(step));
    }
    job.objective = load.target_latency +
                    base::milliseconds(
                        static_cast<std::int64_t>(load.target_factor * chain));
    return job;
}

/// Jobs that arrive evenly over the overload, with their values.
std::vector<simulated_job>
make_jobs(workload const& load, double demand, base::duration length)
{
    base::random_engine random{7};
    std::vector<simulated_job> jobs;
    double const room = static_cast<double>(load.slots) * load.processors *
                        static_cast<double>(length.ms) * demand;
    double work = 0;
    while (work < room) {
        jobs.push_back(make_job(load, jobs.size(), {}, random));
        work += jobs.back().work;
    }
    double const mean = work / static_cast<double>(jobs.size());
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        auto& job = jobs[i];
        job.submitted.ms = static_cast<std::int64_t>(
            static_cast<double>(length.ms) * static_cast<double>(i) /
            static_cast<double>(jobs.size()));
        job.value = std::min(largest_value, 0.3 + 0.7 * job.work / mean);
    }
    return jobs;
}

/// The objective that the scheduler knows is by estimates.
base::duration
estimated_objective(simulated_job const& job, workload const& load)
{
    double chain = 0;
    for (auto const& step : job.steps) {
        chain += step.estimate_ms;
    }
    return load.target_latency + base::milliseconds(static_cast<std::int64_t>(
                                     load.target_factor * chain));
}

dispatch_candidate
to_candidate(simulated_job const& job, workload const& load, base::instant now)
{
    dispatch_candidate result{
        .timing =
            {.age = now - job.submitted,
             .objective = estimated_objective(job, load)},
        .work = job.estimated_work,
        .name = job.name};
    double chain = 0;
    for (auto const& step : job.steps) {
        auto const tasks = step.run_ms.size();
        auto const idle = static_cast<double>(tasks - step.started);
        auto const runs = static_cast<double>(step.started - step.done);
        chain += idle > 0 ? step.estimate_ms : 0;
        result.work_left +=
            (idle + runs / 2) * step.estimate_ms * load.processors;
    }
    result.timing.chain_left.ms = static_cast<std::int64_t>(chain);
    return result;
}

/// The order before: class, then deadline.
class deadline_order
{
public:
    void arrange(
        std::span<dispatch_candidate const> jobs,
        std::span<kind_load const>,
        std::span<dispatch_pool const>)
    {
        this->order.clear();
        for (std::size_t i = 0; i < jobs.size(); ++i) {
            this->order.push_back({.candidate = i});
        }
        auto const rank = [&](dispatch_entry const& entry) {
            auto const& job = jobs[entry.candidate];
            auto const left = job.timing.objective - job.timing.age;
            auto const late = job.timing.age > job.timing.objective;
            auto const worthless =
                job.timing.age > job.timing.objective * worthless_factor;
            return std::tuple{worthless, late, left, job.name};
        };
        std::sort(
            this->order.begin(), this->order.end(),
            [&](auto const& a, auto const& b) { return rank(a) < rank(b); });
    }
    [[nodiscard]] std::span<dispatch_entry const> entries() const
    {
        return this->order;
    }

private:
    std::vector<dispatch_entry> order{};
};

struct running_task
{
    base::instant ends{};
    std::size_t job = 0;
    std::size_t step = 0;
};

/// Plays the jobs on the slots of the fleet.
template <class Order>
class playback
{
public:
    playback(workload const& kind, std::vector<simulated_job> list)
        : load(kind)
        , jobs(std::move(list))
    {}

    void run()
    {
        constexpr base::duration tick = base::milliseconds(10);
        while (this->arrived < this->jobs.size() || this->has_worth()) {
            this->end_tasks();
            while (this->arrived < this->jobs.size() &&
                   this->jobs[this->arrived].submitted <= this->now) {
                this->waiting.push_back(this->arrived++);
            }
            if (this->running.size() < this->load.slots) {
                this->decide();
            }
            this->now += tick;
        }
    }

    [[nodiscard]] std::vector<simulated_job> const& played() const
    {
        return this->jobs;
    }

    double deciding = 0; ///< seconds
    std::size_t decisions = 0;
    std::size_t longest_queue = 0;

private:
    [[nodiscard]] bool has_worth() const
    {
        return std::any_of(
            this->jobs.begin(), this->jobs.end(), [&](auto const& job) {
                return !job.is_done && this->now - job.submitted <=
                                           job.objective * worthless_factor;
            });
    }

    void end_tasks()
    {
        auto const is_over = [&](running_task const& task) {
            return task.ends <= this->now;
        };
        for (auto const& task : this->running) {
            if (!is_over(task)) {
                continue;
            }
            auto& job = this->jobs[task.job];
            ++job.steps[task.step].done;
            job.is_done = std::all_of(
                job.steps.begin(), job.steps.end(), [](auto const& step) {
                    return step.done == step.run_ms.size();
                });
            auto const age = task.ends - job.submitted;
            if (job.is_done) {
                job.earned = age <= job.objective ? job.value
                             : age <= job.objective * worthless_factor
                                 ? job.value * late_value
                                 : 0;
            }
        }
        std::erase_if(this->running, is_over);
        std::erase_if(this->waiting, [&](std::size_t i) {
            auto const& last = this->jobs[i].steps.back();
            return last.started == last.run_ms.size();
        });
    }

    void decide()
    {
        std::vector<dispatch_candidate> candidates;
        kind_load kind;
        double waiting_work = 0;
        for (auto const i : this->waiting) {
            candidates.push_back(
                to_candidate(this->jobs[i], this->load, this->now));
            waiting_work += candidates.back().work_left;
            if (prospect_of(candidates.back().timing) != prospect::worthless) {
                ++kind.jobs;
                kind.work += candidates.back().work;
            }
        }
        double committed = 0;
        for (auto const& task : this->running) {
            auto const& step = this->jobs[task.job].steps[task.step];
            auto const& last = this->jobs[task.job].steps.back();
            committed += last.started == last.run_ms.size()
                             ? step.estimate_ms * this->load.processors / 2
                             : 0;
        }
        dispatch_pool const pool{
            .processors =
                static_cast<double>(this->load.slots) * this->load.processors,
            .committed_work = committed};
        auto const began = std::chrono::steady_clock::now();
        this->order.arrange(candidates, {&kind, 1}, {&pool, 1});
        this->deciding += std::chrono::duration<double>(
                              std::chrono::steady_clock::now() - began)
                              .count();
        ++this->decisions;
        this->longest_queue = std::max(this->longest_queue, candidates.size());
        for (auto const& entry : this->order.entries()) {
            this->start(this->waiting[entry.candidate]);
        }
    }

    void start(std::size_t index)
    {
        auto& job = this->jobs[index];
        auto const number = job.current();
        if (number >= job.steps.size()) {
            return;
        }
        auto& step = job.steps[number];
        while (this->running.size() < this->load.slots &&
               step.started < step.run_ms.size()) {
            auto const ms =
                static_cast<std::int64_t>(step.run_ms[step.started++]);
            this->running.push_back(
                {this->now + base::milliseconds(ms), index, number});
        }
    }

    workload const& load;
    std::vector<simulated_job> jobs;
    Order order{};
    base::instant now{};
    std::size_t arrived = 0;
    std::vector<std::size_t> waiting{};
    std::vector<running_task> running{};
};

/// What no scheduler can exceed.
double bound(
    workload const& load,
    std::span<simulated_job const> jobs,
    base::duration length)
{
    base::duration objective{};
    std::vector<std::pair<double, double>> items; // rate, work
    for (auto const& job : jobs) {
        objective = std::max(objective, job.objective);
        items.emplace_back(job.value / job.work, job.work);
    }
    std::sort(items.rbegin(), items.rend());
    double const room = static_cast<double>(load.slots) * load.processors;
    double in_time = room * static_cast<double>((length + objective).ms);
    double late =
        room * static_cast<double>((objective * (worthless_factor - 1)).ms);
    double value = 0;
    for (auto const& [rate, work] : items) {
        double const full = std::min(work, in_time);
        double const rest = std::min(work - full, late);
        value += rate * (full + late_value * rest);
        in_time -= full;
        late -= rest;
    }
    return value;
}

double earned(std::span<simulated_job const> jobs)
{
    double sum = 0;
    for (auto const& job : jobs) {
        sum += job.earned;
    }
    return sum;
}

/// The share of jobs in time of these ranks by size, over that of all.
double served_share(
    std::span<simulated_job const> jobs, double from_rank, double to_rank)
{
    std::vector<simulated_job const*> by_work;
    double all = 0;
    for (auto const& job : jobs) {
        by_work.push_back(&job);
        all += job.earned >= job.value ? 1 : 0;
    }
    std::sort(by_work.begin(), by_work.end(), [](auto* a, auto* b) {
        return a->work > b->work;
    });
    auto const count = static_cast<double>(jobs.size());
    auto const first = static_cast<std::size_t>(from_rank * count);
    auto const last = static_cast<std::size_t>(to_rank * count);
    double served = 0;
    for (std::size_t i = first; i < last; ++i) {
        served += by_work[i]->earned >= by_work[i]->value ? 1 : 0;
    }
    return served / static_cast<double>(last - first) / (all / count);
}

void measure(workload const& load, double demand, base::duration length)
{
    auto const jobs = make_jobs(load, demand, length);
    double const most = bound(load, jobs, length);
    playback<deadline_order> before{load, jobs};
    before.run();
    playback<dispatch_order> after{load, jobs};
    after.run();
    constexpr double us = 1e6;
    constexpr double largest = 0.1;
    constexpr double large = 0.3;
    std::printf(
        "%-6s %2lld s %.1f | %.3f %.3f | %.2f %.2f | %.2f %.2f | %5zu %6.0f\n",
        load.name, static_cast<long long>(length.ms / 1000), demand,
        earned(before.played()) / most, earned(after.played()) / most,
        served_share(before.played(), 0, largest),
        served_share(after.played(), 0, largest),
        served_share(before.played(), largest, large),
        served_share(after.played(), largest, large), after.longest_queue,
        us * after.deciding / static_cast<double>(after.decisions));
}

} // namespace

int main()
{
    std::vector<workload> const loads{
        {.name = "short",
         .mean_tasks = 10,
         .second_step = 0.6,
         .run_ms = 800,
         .processors = 1.8,
         .target_factor = 1.5,
         .target_latency = base::milliseconds(250),
         .slots = 200},
        {.name = "batch",
         .mean_tasks = 20,
         .second_step = 1,
         .run_ms = 2700,
         .processors = 1.8,
         .target_factor = 2,
         .target_latency = base::milliseconds(1000),
         .slots = 1200}};
    std::puts("load, length, demand | share of the bound: by deadline, new | "
              "in time, largest tenth over all: by deadline, new | the fifth "
              "below: by deadline, new | longest queue, us of a decision");
    for (auto const& load : loads) {
        for (auto const length : {base::seconds(5), base::seconds(60)}) {
            for (double const demand : {0.8, 1.0, 1.3, 2.0, 3.0, 4.0}) {
                measure(load, demand, length);
            }
        }
    }
}
