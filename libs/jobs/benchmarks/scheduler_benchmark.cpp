// Processor time of the job service's decisions by the size of the fleet.
// Workers answer at once, so that only the decisions are measured.
#include "foxtaillift/jobs/scheduler.hpp"

#include <chrono>
#include <cstdio>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace foxtaillift;
using namespace foxtaillift::jobs;

namespace
{

double seconds_now()
{
    return std::chrono::duration<double>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Sum of the times of some calls.
struct stopwatch
{
    double sum = 0;
    int count = 0;

    template <class Function>
    auto measure(Function function)
    {
        auto const began = seconds_now();
        auto result = function();
        this->sum += seconds_now() - began;
        ++this->count;
        return result;
    }
    [[nodiscard]] double mean_us() const
    {
        constexpr double us = 1e6;
        return this->count == 0 ? 0 : this->sum * us / this->count;
    }
};

/// A fleet like the deployments': 84% of the processors belong to serving
/// tasks, filling tasks ask for more than is left.
class fleet
{
public:
    explicit fleet(int workers)
        : decisions({.token = 1})
        , worker_count(workers)
    {
        this->decisions.set_queues(
            {{.name = "q",
              .service = "s",
              .max_attempts = 4,
              .target_factor = 2,
              .target_latency = base::milliseconds(1000)}});
        for (int i = 0; i < workers; ++i) {
            this->decisions.list_worker(
                {.id = name_of(i),
                 .address = name_of(i),
                 .service = "s",
                 .capacity = {.processors = 16'000, .memory_mb = 64'000}},
                this->now);
        }
        this->carry_out(this->take());
        this->report();
        this->add(workers * 4, "service", 10, {.processors = 3300}, true);
        this->settle(workers / 20 + 5);
    }

    /// Filling tasks of `images` images, in jobs of 8.
    void add_backlog(int tasks, int images)
    {
        this->add(tasks, "filling", images, {.processors = 1800}, false);
    }

    std::vector<worker_order> take()
    {
        constexpr std::int64_t wall_ms = 1;
        return this->decisions.take_orders(this->now, wall_ms, true);
    }

    void carry_out(std::vector<worker_order> const& orders)
    {
        for (auto const& order : orders) {
            if (auto const* const start = std::get_if<start_order>(&order)) {
                this->running[start->worker].push_back(start->run);
                ++this->starts;
                this->decisions.on_start(
                    start->worker, start->run, order_status::done, this->now);
            }
        }
    }

    /// One report of each worker; serving tasks are near their targets.
    void report()
    {
        for (int i = 0; i < this->worker_count; ++i) {
            worker_report answer{.clock_ms = this->now.ms, .born_ms = 1};
            for (auto const& run : this->running[name_of(i)]) {
                bool const is_serving = run.task.job.starts_with("service");
                answer.running.push_back(
                    {.run = run,
                     .percent = is_serving ? 100 : 50,
                     .recent = is_serving ? 15 : 900});
            }
            this->reports.measure([&] {
                this->decisions.on_look(
                    name_of(i), order_status::done, answer, this->now,
                    this->now);
                return 0;
            });
        }
    }

    void settle(int rounds)
    {
        for (int i = 0; i < rounds; ++i) {
            this->now += base::milliseconds(100);
            this->carry_out(this->take());
            for (auto batch = this->decisions.take_commit(1000); !batch.empty();
                 batch = this->decisions.take_commit(1000)) {
                this->decisions.on_committed(batch);
            }
        }
        this->report();
    }

    scheduler decisions;
    base::instant now{1'000'000};
    std::size_t starts = 0;
    stopwatch reports{};

private:
    static std::string name_of(int worker)
    {
        return "w" + std::to_string(worker);
    }

    void
    add(int tasks,
        std::string const& kind,
        int images,
        resources need,
        bool is_serving)
    {
        constexpr int tasks_in_job = 8;
        need.memory_mb = 3000;
        for (int i = 0; i < tasks / tasks_in_job; ++i) {
            job_spec job{
                .id = kind + std::to_string(this->jobs++), .queue = "q"};
            job.steps = {
                {.count = tasks_in_job,
                 .need = need,
                 .estimate = base::milliseconds(2000),
                 .has_checkpoints = !is_serving,
                 .is_lasting = is_serving,
                 .is_filling = !is_serving,
                 .image = kind + "-image" + std::to_string(i % images),
                 .tail_target_ms = is_serving ? 18 : 0}};
            this->decisions.add_job(job, std::nullopt, this->now);
        }
    }

    int worker_count;
    int jobs = 0;
    std::map<std::string, std::vector<run_name>> running{};
};

void measure(int workers)
{
    fleet all{workers};
    constexpr int images = 18;
    all.add_backlog(workers * 6, images);
    all.settle(workers / 20 + 20); // what fits is started
    stopwatch decisions;
    all.reports = {};
    constexpr int rounds = 30;
    auto const before = all.starts;
    for (int i = 0; i < rounds; ++i) {
        all.now += base::milliseconds(30);
        auto const orders = decisions.measure([&] { return all.take(); });
        all.carry_out(orders);
        if (i % 10 == 9) {
            all.report();
        }
    }
    std::printf(
        "%5d workers: %8.0f us for a run of the decisions with a backlog "
        "(%zu starts in %d), %5.1f us for a report\n",
        workers, decisions.mean_us(), all.starts - before, rounds,
        all.reports.mean_us());
}

} // namespace

int main()
{
    for (int const workers : {66, 490, 2000}) {
        measure(workers);
    }
}
