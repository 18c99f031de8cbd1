// Processor time of a leader's decisions while a fleet like the grown
// Directorate's works through its usual load: short, filling and serving tasks
// that start, report and end.
#include "foxtaillift/base/random.hpp"
#include "foxtaillift/jobs/scheduler.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>
#include <optional>
#include <string>
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

/// Tasks of one kind as their callers submit them.
struct workload
{
    char const* name = "";
    double jobs_per_s = 0;
    std::uint32_t tasks = 0; ///< of a step; each job has two
    double run_ms = 0;       ///< mean of a task
    resources need{};
    bool is_filling = false;
    int images = 1;
};

class busy_fleet
{
public:
    explicit busy_fleet(std::size_t worker_count)
        : decisions(
              {.token = 1,
               .log =
                   [this](base::event_line const& line) {
                       this->logged += line.str().size();
                   }})
        , workers(worker_count)
    {
        this->decisions.set_queues(
            {{.name = "q",
              .service = "s",
              .max_attempts = 4,
              .target_factor = 2,
              .target_latency = base::milliseconds(1000)}});
        for (std::size_t i = 0; i < worker_count; ++i) {
            this->workers[i].id = "w" + std::to_string(i);
            this->decisions.list_worker(
                {.id = this->workers[i].id,
                 .address = this->workers[i].id,
                 .service = "s",
                 .capacity = {.processors = 16'000, .memory_mb = 62'500}},
                this->now);
        }
        // Together they ask for more than there is.
        constexpr std::uint32_t tasks = 14;
        constexpr std::int64_t least_processors = 2400;
        constexpr std::int64_t step_processors = 100;
        constexpr std::size_t sizes = 19;
        for (std::size_t i = 0; i < worker_count * 5 / tasks; ++i) {
            job_spec job{.id = "service" + std::to_string(i), .queue = "q"};
            job.steps = {
                {.count = tasks,
                 .need =
                     {.processors = least_processors +
                                    step_processors * static_cast<std::int64_t>(
                                                          i * 7 % sizes),
                      .memory_mb = 6000},
                 .is_lasting = true,
                 .image = "service-image" + std::to_string(i % 5),
                 .tail_target_ms = serving_target_ms}};
            this->kinds[job.id] = {.image = static_cast<int>(i % 5)};
            this->decisions.add_job(job, std::nullopt, this->now);
        }
    }

    void run_for(base::duration span, std::vector<workload> const& loads)
    {
        constexpr base::duration tick = base::milliseconds(10);
        auto const end = this->now + span;
        while (this->now < end) {
            this->now += tick;
            for (auto const& load : loads) {
                double due =
                    load.jobs_per_s * static_cast<double>(tick.ms) / 1000;
                for (; due >= 1; --due) {
                    this->submit(load);
                }
                if (base::uniform_unit(this->random) < due) {
                    this->submit(load);
                }
            }
            this->advance(tick);
            this->answer_looks();
            this->decide();
            this->commit();
        }
    }

    double deciding = 0;  ///< seconds
    double reporting = 0; ///< seconds
    double committing = 0;
    std::size_t starts = 0;
    std::size_t reports = 0;
    std::size_t logged = 0; ///< bytes

private:
    static constexpr std::int64_t serving_target_ms = 18;

    struct run
    {
        run_name name{};
        double left_ms = 0; ///< of work at full speed; lasting ones: negative
        double whole_ms = 0;
        std::int64_t processors = 0;
        int percent = 100; ///< pace
        int image = 0;
        bool is_filling = false;
    };
    struct fake_worker
    {
        std::string id{};
        std::vector<run> runs{};
        std::vector<reported_end> ends{};
        std::int64_t end_count = 0;
        std::optional<look_order> look{};
        base::instant look_until{};
    };

    void submit(workload const& load)
    {
        job_spec job{
            .id = load.name + std::to_string(this->job_count++), .queue = "q"};
        step first{
            .count = load.tasks,
            .need = load.need,
            .estimate =
                base::milliseconds(static_cast<std::int64_t>(load.run_ms)),
            .has_checkpoints = load.is_filling,
            .may_race = !load.is_filling,
            .is_filling = load.is_filling,
            .image = load.name + std::to_string(
                                     this->job_count %
                                     static_cast<std::size_t>(load.images))};
        step second = first;
        second.depends_on = {0};
        job.steps = {first, second};
        this->kinds[job.id] = {
            .load = load,
            .image = static_cast<int>(
                this->job_count % static_cast<std::size_t>(load.images))};
        this->decisions.add_job(job, std::nullopt, this->now);
    }

    void advance(base::duration tick)
    {
        for (auto& worker : this->workers) {
            std::erase_if(worker.runs, [&](run& each) {
                if (each.whole_ms <= 0) {
                    return false;
                }
                each.left_ms -=
                    static_cast<double>(tick.ms) * each.percent / 100;
                if (each.left_ms > 0) {
                    return false;
                }
                worker.ends.push_back(
                    {.number = ++worker.end_count,
                     .run = each.name,
                     .outcome = run_outcome::done});
                return true;
            });
        }
    }

    void answer_looks()
    {
        for (auto& worker : this->workers) {
            bool const has_new_end =
                worker.look && !worker.ends.empty() &&
                worker.ends.back().number > worker.look->acknowledged;
            if (!worker.look ||
                (!has_new_end && this->now < worker.look_until)) {
                continue;
            }
            worker.look.reset();
            worker_report report{.clock_ms = this->now.ms, .born_ms = 1};
            for (auto const& each : worker.runs) {
                bool const is_serving = each.whole_ms <= 0;
                report.running.push_back(
                    {.run = each.name,
                     .percent = is_serving ? 100
                                           : static_cast<int>(
                                                 100 - 100 * each.left_ms /
                                                           each.whole_ms),
                     .recent = is_serving
                                   ? this->tail_of(worker, each)
                                   : each.processors * each.percent / 100});
            }
            report.ended = worker.ends;
            ++this->reports;
            auto const began = seconds_now();
            this->decisions.on_look(
                worker.id, order_status::done, report, this->now, this->now);
            this->reporting += seconds_now() - began;
        }
    }

    /// The services of a job swing together; half of the pairs of images are
    /// harmful.
    [[nodiscard]] std::int64_t
    tail_of(fake_worker const& worker, run const& service) const
    {
        constexpr double mean = 2.6;
        constexpr double swing = 0.95;
        constexpr double period_ms = 12'000;
        constexpr double capacity = 16'000;
        constexpr double turn = 6.283;
        double margin =
            mean +
            swing * std::sin(
                        turn * static_cast<double>(this->now.ms) / period_ms +
                        service.image);
        for (auto const& each : worker.runs) {
            if (each.is_filling) {
                bool const is_harmful = (service.image + each.image) % 2 == 0;
                margin -= (is_harmful ? 11.0 : 1.0) *
                          static_cast<double>(each.processors) * each.percent /
                          100 / capacity;
            }
        }
        return static_cast<std::int64_t>(
            static_cast<double>(serving_target_ms) / std::max(0.2, margin));
    }

    void decide()
    {
        auto const began = seconds_now();
        auto const orders = this->decisions.take_orders(this->now, 1, true);
        this->deciding += seconds_now() - began;
        for (auto const& order : orders) {
            std::visit(
                [this](auto const& each) { this->carry_out(each); }, order);
        }
    }

    fake_worker& find(std::string const& id)
    {
        return this->workers[std::stoul(id.substr(1))];
    }

    void carry_out(look_order const& order)
    {
        auto& worker = this->find(order.worker);
        std::erase_if(worker.ends, [&](reported_end const& end) {
            return end.number <= order.acknowledged;
        });
        worker.look = order;
        worker.look_until = this->now + order.wait;
    }

    void carry_out(start_order const& order)
    {
        ++this->starts;
        auto const& kind = this->kinds[order.run.task.job];
        double const ms =
            kind.load.run_ms * (0.5 + base::uniform_unit(this->random));
        this->find(order.worker)
            .runs.push_back(
                {.name = order.run,
                 .left_ms = ms,
                 .whole_ms = ms,
                 .processors = kind.load.need.processors,
                 .image = kind.image,
                 .is_filling = kind.load.is_filling});
        this->decisions.on_start(
            order.worker, order.run, order_status::done, this->now);
    }

    void carry_out(stop_order const& order)
    {
        auto& worker = this->find(order.worker);
        std::erase_if(worker.runs, [&](run const& each) {
            if (each.name != order.run) {
                return false;
            }
            worker.ends.push_back(
                {.number = ++worker.end_count,
                 .run = each.name,
                 .outcome = run_outcome::stopped,
                 .checkpoint = "c"});
            return true;
        });
        this->decisions.on_stop(
            order.worker, order.run, order_status::done, this->now);
    }

    void carry_out(advice_order const&) {} // the queue has no adviser

    void carry_out(pace_order const& order)
    {
        for (auto& each : this->find(order.worker).runs) {
            if (each.name == order.run) {
                each.percent = order.percent;
            }
        }
        this->decisions.on_pace(
            order.worker, order.run, order_status::done, this->now);
    }

    void commit()
    {
        constexpr std::size_t rows = 80;
        auto const began = seconds_now();
        auto const batch = this->decisions.take_commit(rows);
        if (!batch.empty()) {
            this->decisions.on_committed(batch);
        }
        this->committing += seconds_now() - began;
    }

    scheduler decisions;
    std::vector<fake_worker> workers;
    base::instant now{1'000'000};
    base::random_engine random{1};
    std::size_t job_count = 0;
    struct kind_of_job
    {
        workload load{};
        int image = 0;
    };
    std::map<std::string, kind_of_job> kinds{};
};

/// The load of the grown Directorate, in proportion to the workers.
void measure(std::size_t workers)
{
    constexpr double grown_workers = 490;
    double const factor = static_cast<double>(workers) / grown_workers;
    std::vector<workload> const loads{
        {.name = "short",
         .jobs_per_s = 15 * factor,
         .tasks = 8,
         .run_ms = 540,
         .need = {.processors = 2800, .memory_mb = 3000}},
        {.name = "filling",
         .jobs_per_s = 24 * factor,
         .tasks = 20,
         .run_ms = 1900,
         .need = {.processors = 1800, .memory_mb = 3000},
         .is_filling = true,
         .images = 12}};
    busy_fleet fleet{workers};
    fleet.run_for(base::seconds(5), {}); // the services start
    fleet.deciding = fleet.reporting = fleet.committing = 0;
    fleet.starts = fleet.reports = 0;
    constexpr std::int64_t seconds = 20;
    fleet.run_for(base::seconds(seconds), loads);
    constexpr double ms = 1000;
    std::printf(
        "%5zu workers, %4.0f starts/s, %4.0f reports/s; processor time by "
        "second: decisions %.1f ms, reports %.1f ms, records %.1f ms\n",
        workers, static_cast<double>(fleet.starts) / seconds,
        static_cast<double>(fleet.reports) / seconds,
        fleet.deciding * ms / seconds, fleet.reporting * ms / seconds,
        fleet.committing * ms / seconds);
}

} // namespace

int main()
{
    for (std::size_t const workers : {66, 490, 1100, 2000}) {
        measure(workers);
    }
}
