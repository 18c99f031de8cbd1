// The share of what any scheduler could earn that the order of work earns in
// overloads of 5 s and 60 s, beside the order that went by deadlines only, and
// how often large jobs are served. Virtual time, seeded.
//
// The bound: all work of the overload is infinitely divisible, and of each job
// any part may be done at any time up to its limit; the work worth most by
// core-second is taken first, as much as the processors can do until each later
// limit (fractional knapsack). Of a job's value, 0.15 have three times the
// objective as their limit, and the rest the objective; both have all
// processors. It knows no starvation.
#include "dispatch_order.hpp"

#include "foxtaillift/base/random.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <numeric>
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
std::vector<simulated_job> make_jobs(
    workload const& load,
    double demand,
    base::duration length,
    std::uint32_t seed)
{
    base::random_engine random{seed};
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
        for (auto const i : this->waiting) {
            candidates.push_back(
                to_candidate(this->jobs[i], this->load, this->now));
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

/// The most value of divisible work that is done within a multiple of the
/// objectives.
double most_value(
    workload const& load,
    std::span<simulated_job const> jobs,
    std::int64_t objectives)
{
    auto const limit_of = [&](std::size_t i) {
        return jobs[i].submitted + jobs[i].objective * objectives;
    };
    std::vector<std::size_t> by_limit(jobs.size());
    std::iota(by_limit.begin(), by_limit.end(), std::size_t{0});
    auto by_rate = by_limit;
    std::sort(by_limit.begin(), by_limit.end(), [&](auto a, auto b) {
        return limit_of(a) < limit_of(b);
    });
    std::sort(by_rate.begin(), by_rate.end(), [&](auto a, auto b) {
        return jobs[a].value / jobs[a].work > jobs[b].value / jobs[b].work;
    });
    std::vector<std::size_t> position(jobs.size());
    std::vector<double> room; // that is left until each limit
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        position[by_limit[i]] = i;
        room.push_back(
            static_cast<double>(load.slots) * load.processors *
            static_cast<double>(limit_of(by_limit[i]).ms));
    }
    double value = 0;
    for (auto const job : by_rate) {
        auto const first =
            room.begin() + static_cast<std::ptrdiff_t>(position[job]);
        double const done =
            std::min(jobs[job].work, *std::min_element(first, room.end()));
        value += jobs[job].value * done / jobs[job].work;
        std::for_each(first, room.end(), [&](double& each) { each -= done; });
    }
    return value;
}

/// What no scheduler can exceed.
double bound(workload const& load, std::span<simulated_job const> jobs)
{
    return (1 - late_value) * most_value(load, jobs, 1) +
           late_value * most_value(load, jobs, worthless_factor);
}

/// Sums over the runs of one order.
struct tally
{
    double earned = 0;
    double jobs = 0;
    double in_time = 0;
    double largest = 0;         ///< jobs of the largest tenth
    double largest_in_time = 0; ///< of these
    double large = 0;           ///< jobs of the fifth below
    double large_in_time = 0;   ///< of these

    void add(std::span<simulated_job const> played)
    {
        constexpr std::size_t tenths = 10;
        std::vector<simulated_job const*> by_work;
        for (auto const& job : played) {
            by_work.push_back(&job);
        }
        std::sort(by_work.begin(), by_work.end(), [](auto* a, auto* b) {
            return a->work > b->work;
        });
        for (std::size_t i = 0; i < by_work.size(); ++i) {
            auto const& job = *by_work[i];
            auto const tenth = i * tenths / by_work.size();
            double const served = job.earned >= job.value ? 1 : 0;
            this->earned += job.earned;
            this->jobs += 1;
            this->in_time += served;
            if (tenth == 0) {
                this->largest += 1;
                this->largest_in_time += served;
            } else if (tenth <= 2) {
                this->large += 1;
                this->large_in_time += served;
            }
        }
    }

    // Over the share of all jobs that are in time.
    [[nodiscard]] double largest_share() const
    {
        return this->largest_in_time / this->largest /
               (this->in_time / this->jobs);
    }
    [[nodiscard]] double large_share() const
    {
        return this->large_in_time / this->large / (this->in_time / this->jobs);
    }
};

void measure(
    workload const& load,
    double demand,
    base::duration length,
    std::uint32_t seeds)
{
    double most = 0;
    double deciding = 0;
    double decisions = 0;
    std::size_t longest_queue = 0;
    tally before;
    tally after;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        auto const jobs = make_jobs(load, demand, length, seed * 7919);
        most += bound(load, jobs);
        playback<deadline_order> by_deadline{load, jobs};
        by_deadline.run();
        before.add(by_deadline.played());
        playback<dispatch_order> by_worth{load, jobs};
        by_worth.run();
        after.add(by_worth.played());
        deciding += by_worth.deciding;
        decisions += static_cast<double>(by_worth.decisions);
        longest_queue = std::max(longest_queue, by_worth.longest_queue);
    }
    constexpr double us = 1e6;
    std::printf(
        "%-6s %2lld s %.1f | %.3f %.3f | %.2f %.2f | %.2f %.2f | %5zu %6.0f\n",
        load.name, static_cast<long long>(length.ms / 1000), demand,
        before.earned / most, after.earned / most, before.largest_share(),
        after.largest_share(), before.large_share(), after.large_share(),
        longest_queue, us * deciding / decisions);
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
            // As many jobs for short overloads as for long ones.
            std::uint32_t const seeds = length == base::seconds(5) ? 12 : 1;
            for (double const demand : {0.8, 1.0, 1.3, 2.0, 3.0, 4.0}) {
                measure(load, demand, length, seeds);
            }
        }
    }
}
