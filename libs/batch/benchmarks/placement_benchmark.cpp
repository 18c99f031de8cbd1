// Processor time of the engine: placements, cell size, cancellations. Workers
// and the table answer at once, so that only the engine is measured.
#include "report.hpp"

#include "foxtaillift/batch/cell_query.hpp"
#include "foxtaillift/batch/cell_scheduler.hpp"

#include <cstdio>
#include <cstdlib>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

using namespace foxtaillift;
using namespace foxtaillift::batch;

namespace
{

/// Drives one scheduler and answers each of its actions with success.
class driver
{
public:
    driver(int workers, scheduler_options options)
        : scheduler(std::move(options))
    {
        this->handle(cell_taken{base::cell_id{"c1"}, 1});
        workers_listed list;
        for (int i = 0; i < workers; ++i) {
            formats::worker_entry entry;
            entry.worker = base::worker_id{"w" + std::to_string(i)};
            entry.rack = base::rack_id{"r" + std::to_string(i / 8)};
            entry.failure_domain =
                base::failure_domain_id{"f" + std::to_string(i % 3)};
            entry.capacity = {16'000, 60'000, i % 4 == 0 ? 4 : 0};
            entry.services.emplace_back("s" + std::to_string(i % 20));
            list.workers.push_back(std::move(entry));
        }
        this->handle(list);
        this->handle(log_replayed{});
        this->settle(50);
    }

    void handle(event const& input)
    {
        this->actions.clear();
        auto const before = seconds_now();
        this->scheduler.handle(input, this->now, this->actions);
        auto const spent = seconds_now() - before;
        this->busy += spent;
        this->longest = std::max(this->longest, spent);
        for (auto const& one : this->actions) {
            std::visit([this](auto const& typed) { this->answer(typed); }, one);
        }
    }

    /// Hands out answers and ticks until nothing more comes.
    void settle(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            for (auto const& one : std::exchange(this->answers, {})) {
                this->handle(one);
            }
            this->now += base::milliseconds(10);
            this->handle(tick{});
        }
    }

    /// The worker's answer to the renewal in progress, or to a later one,
    /// shows that this run is over.
    void finish(base::worker_id const& worker, formats::run_entry entry)
    {
        this->over[worker.str()].push_back(std::move(entry));
        formats::usage_report report;
        report.worker = worker;
        report.sequence = ++this->sequence;
        formats::run_usage usage;
        usage.task = this->over[worker.str()].back().task;
        usage.attempt = this->over[worker.str()].back().attempt;
        usage.state = formats::run_state::finished;
        report.runs.push_back(std::move(usage));
        this->handle(usage_reported{std::move(report)});
    }

    cell_scheduler scheduler;
    base::instant now{1'000'000};
    std::vector<start_run> started;
    double busy = 0;
    double longest = 0;
    std::vector<base::task_id> accepted;

private:
    template <class Other>
    void answer(Other const&)
    {}
    void answer(adopt_worker const& wanted)
    {
        worker_adopted reply{
            wanted.request, wanted.worker, formats::agent_status::done, {}};
        reply.answer.worker = wanted.worker;
        auto const number = std::stoi(wanted.worker.str().substr(1));
        reply.answer.capacity = {16'000, 60'000, number % 4 == 0 ? 4 : 0};
        this->answers.emplace_back(std::move(reply));
    }
    void answer(start_run const& wanted)
    {
        this->started.push_back(wanted);
        this->answers.emplace_back(start_answered{
            wanted.request,
            wanted.worker,
            wanted.message.task,
            wanted.message.attempt,
            formats::agent_status::done,
            {}});
    }
    void answer(runs_command const& wanted)
    {
        runs_answered reply{
            wanted.request, wanted.worker, formats::agent_status::done, {}};
        for (auto const& one : wanted.message.tasks) {
            formats::run_entry entry;
            entry.task = one.task;
            entry.attempt = one.attempt;
            entry.state = wanted.verb == runs_verb::stop
                              ? formats::run_state::stopped
                              : formats::run_state::running;
            auto const ended = this->over.find(wanted.worker.str());
            if (ended != this->over.end()) {
                for (auto const& known : ended->second) {
                    if (known.task == entry.task) {
                        entry.state = known.state;
                    }
                }
            }
            reply.runs.push_back(std::move(entry));
        }
        this->answers.emplace_back(std::move(reply));
    }
    void answer(commit const& wanted)
    {
        this->answers.emplace_back(commit_finished{
            wanted.id, formats::transact_status::committed, {}});
    }
    void answer(write_object const& wanted)
    {
        this->answers.emplace_back(object_written{wanted.name, true});
    }
    void answer(submission_reply const& got)
    {
        if (got.status == reply_status::accepted) {
            this->accepted.push_back(got.task);
        }
    }

    std::vector<action> actions;
    std::vector<event> answers;
    std::unordered_map<std::string, std::vector<formats::run_entry>> over;
    std::uint64_t sequence = 0;
};

scheduler_options large_options()
{
    scheduler_options options;
    options.commit_records = 4'096;
    options.commit_bytes = 8'000'000;
    options.log_rows = 1'000'000; // snapshots are not part of this measure
    return options;
}

task_spec make_spec(int number, int teams)
{
    task_spec spec;
    spec.team = base::team_id{"team" + std::to_string(number % teams)};
    spec.key = std::to_string(number);
    spec.task_class = "class" + std::to_string(number % 40);
    spec.size = {1'000 + 500 * (number % 5), 2'000 + 512 * (number % 7), 0};
    spec.run_ms = number % 50 == 0 ? 3'600'000 : 30'000;
    return spec;
}

/// Fills the cell, then ends runs in turn so that waiting tasks are placed.
/// Returns microseconds of engine time for each placement.
double placement_cost(int workers, int tasks, int teams, int measured)
{
    driver cell{workers, large_options()};
    for (int i = 0; i < tasks; ++i) {
        cell.handle(
            task_submitted{static_cast<std::uint64_t>(i), make_spec(i, teams)});
        if (i % 2'000 == 1'999) {
            cell.settle(3);
        }
    }
    cell.settle(100);
    auto const placed = counters_of(cell.scheduler.state()).placements;
    cell.busy = 0;
    std::size_t next = 0;
    while (static_cast<int>(
               counters_of(cell.scheduler.state()).placements - placed) <
               measured &&
           next < cell.started.size()) {
        for (int i = 0; i < 64 && next < cell.started.size(); ++i, ++next) {
            auto const run = cell.started[next];
            formats::run_entry entry;
            entry.task = run.message.task;
            entry.attempt = run.message.attempt;
            entry.state = formats::run_state::finished;
            cell.finish(run.worker, std::move(entry));
        }
        cell.settle(1);
    }
    auto const count = counters_of(cell.scheduler.state()).placements - placed;
    return count == 0 ? 0 : cell.busy * 1e6 / static_cast<double>(count);
}

} // namespace

int main(int count, char** arguments)
{
    int const repeats = count > 1 ? std::atoi(arguments[1]) : 3;
    std::vector<double> large;
    std::vector<double> ratios;
    for (int repeat = 0; repeat < repeats; ++repeat) {
        auto const small_cost = placement_cost(66, 4'000, 1'200, 1'500);
        auto const large_cost = placement_cost(13'000, 110'000, 1'200, 8'000);
        large.push_back(1e6 / large_cost);
        ratios.push_back(large_cost / small_cost);
    }
    print_row(
        "placements/s a core, 13,000 workers, 110,000 tasks", large,
        ">= 10000");
    print_row("cost of a placement, 13,000 against 66 workers", ratios, "<= 4");

    std::vector<double> pauses;
    for (int repeat = 0; repeat < repeats; ++repeat) {
        driver cell{150, large_options()};
        for (int i = 0; i < 50'000; ++i) {
            cell.handle(task_submitted{
                static_cast<std::uint64_t>(i), make_spec(i, 1'200)});
            if (i % 2'000 == 1'999) {
                cell.settle(3);
            }
        }
        cell.settle(50);
        cell.longest = 0;
        for (auto const& id : cell.accepted) {
            cell.handle(cancel_requested{1, id});
        }
        cell.settle(100);
        pauses.push_back(cell.longest * 1e3);
    }
    print_row("longest pause, 50,000 tasks cancelled, ms", pauses, "< 50");
    return 0;
}
