// Quality of the decisions on virtual time: the crest response against the
// baseline that stops the newest run, throughput, urgent starts.
#include "report.hpp"
#include "simulation.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

using namespace foxtaillift;
using namespace foxtaillift::batch;

namespace
{

constexpr formats::resources machine{16'000, 60'000, 0};
constexpr int worker_count = 8;
// Rise of the latency ratio by one core at the crest.
std::map<std::string, double> const harms{
    {"quiet", 0.005}, {"medium", 0.03}, {"noisy", 0.12}};

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    auto const place = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    return values.empty() ? 0 : values[place];
}

struct crest_result
{
    double p99 = 0; ///< latency ratio during the crests
    double evictions = 0;
    double thrown_away = 0; ///< core seconds
    double finished = 0;
};

void submit_batch(simulation& sim, base::random_engine& random, int count)
{
    char const* const classes[] = {"quiet", "medium", "noisy"};
    for (int i = 0; i < count; ++i) {
        // A few stragglers run many times longer than the others.
        bool const is_straggler = base::uniform_below(random, 50) == 0;
        auto spec = sim.make_task(
            (20'000 + base::uniform_below(random, 60'000)) *
                (is_straggler ? 20 : 1),
            1'000 * (1 + base::uniform_below(random, 3)));
        spec.task_class = classes[base::uniform_below(random, 3)];
        spec.team = base::team_id{
            "team" + std::to_string(base::uniform_below(random, 6))};
        spec.run_ms = 60'000; // declared run times are far off
        sim.submit(spec);
    }
}

crest_result run_crests(std::uint32_t seed, crest_policy policy, int minutes)
{
    scheduler_options options;
    options.settings.crest = policy;
    simulation sim{seed, options};
    base::random_engine random{seed * 31 + 7};
    sim.add_workers(worker_count, machine);
    sim.take_over();
    sim.run_for(base::seconds(1));
    std::vector<double> crest;
    for (int half = 0; half < minutes * 120; ++half) {
        auto const waiting = view_queue(sim.state(), sim.now).queued;
        if (waiting < 100) {
            submit_batch(sim, random, 100);
        }
        // A crest of 20 s in each minute, reached within two seconds.
        double const phase = std::fmod(half * 0.5, 60.0);
        double const load = phase < 40   ? 0.25
                            : phase < 42 ? 0.25 + (phase - 40) * 0.375
                                         : 1;
        for (auto& worker : sim.workers) {
            double const noise = 0.97 + 0.06 * base::uniform_unit(random);
            double const ratio = (1 + load * load * worker.harm(harms)) * noise;
            if (load == 1) {
                crest.push_back(ratio);
            }
            service_pressure pressure{
                worker.entry.worker,
                base::service_id{"web"},
                ratio,
                static_cast<std::int32_t>(load * 8),
                8,
                1'000};
            sim.send_later(1'000, pressure);
            sim.send(service_load{
                pressure.worker, pressure.service, pressure.slots_in_use,
                pressure.slots});
        }
        sim.run_for(base::milliseconds(500));
    }
    crest_result result;
    result.p99 = quantile(crest, 0.99);
    auto const& counters = counters_of(sim.state());
    result.evictions = static_cast<double>(counters.evictions);
    for (auto const& worker : sim.workers) {
        result.thrown_away += worker.thrown_away;
    }
    result.finished = static_cast<double>(sim.judge.finished);
    return result;
}

double throughput(std::uint32_t seed)
{
    simulation sim{seed};
    base::random_engine random{seed * 31 + 7};
    sim.add_workers(worker_count, machine);
    sim.take_over();
    sim.run_for(base::seconds(1));
    double used = 0;
    int samples = 0;
    for (int i = 0; i < 3'000; ++i) {
        if (view_queue(sim.state(), sim.now).queued < 100) {
            submit_batch(sim, random, 100);
        }
        sim.run_for(base::milliseconds(200));
        if (i < 150) {
            continue; // filling up
        }
        for (auto const& worker : sim.workers) {
            used += static_cast<double>(worker.used().processors);
        }
        ++samples;
    }
    auto const capacity =
        static_cast<double>(summarize(sim.state()).batch_capacity.processors);
    return used / samples / capacity;
}

double urgent_p99(std::uint32_t seed)
{
    simulation sim{seed};
    base::random_engine random{seed * 31 + 7};
    sim.add_workers(worker_count, machine);
    sim.take_over();
    sim.run_for(base::seconds(1));
    submit_batch(sim, random, 400);
    sim.run_for(base::seconds(30));
    std::vector<double> waits;
    for (int i = 0; i < 200; ++i) {
        if (view_queue(sim.state(), sim.now).queued < 100) {
            submit_batch(sim, random, 100);
        }
        auto const known = sim.accepted_tasks.size();
        auto const submitted = sim.now;
        // Sometimes several at once, more than the space kept free holds.
        auto const count = base::uniform_below(random, 4) == 0 ? 4 : 1;
        for (int k = 0; k < count; ++k) {
            auto spec = sim.make_task(
                4'000, 1'000 * (1 + base::uniform_below(random, 4)));
            spec.priority = task_priority::urgent;
            sim.submit(spec);
        }
        sim.run_for(base::milliseconds(2'500));
        for (auto k = known; k < sim.accepted_tasks.size(); ++k) {
            auto const& id = sim.accepted_tasks[k];
            auto const view = find_task(sim.state(), id, sim.now);
            if (!view || view->spec.priority != task_priority::urgent) {
                continue;
            }
            auto const start = sim.first_start.find(id.str());
            waits.push_back(
                start == sim.first_start.end()
                    ? 10'000
                    : static_cast<double>((start->second - submitted).ms));
        }
    }
    return quantile(waits, 0.99);
}

} // namespace

int main(int count, char** arguments)
{
    auto const repeats =
        static_cast<std::uint32_t>(count > 1 ? std::atoi(arguments[1]) : 5);
    std::vector<double> evictions, thrown, p99s, finished;
    std::vector<double> used, urgent;
    for (std::uint32_t seed = 1; seed <= repeats; ++seed) {
        auto const a = run_crests(seed, crest_policy::stepwise, 15);
        auto const b = run_crests(seed, crest_policy::evict_newest, 15);
        std::printf(
            "seed %u stepwise: p99 %.3f evictions %.0f thrown %.0f done %.0f"
            " | newest: p99 %.3f evictions %.0f thrown %.0f done %.0f\n",
            seed, a.p99, a.evictions, a.thrown_away, a.finished, b.p99,
            b.evictions, b.thrown_away, b.finished);
        p99s.push_back(a.p99 / b.p99);
        evictions.push_back(a.evictions / std::max(b.evictions, 1.0));
        thrown.push_back(a.thrown_away / std::max(b.thrown_away, 1.0));
        finished.push_back(a.finished / std::max(b.finished, 1.0));
        used.push_back(throughput(seed));
        urgent.push_back(urgent_p99(seed));
    }
    print_row("crest p99 of the service, against the baseline", p99s, "<= 1");
    print_row("evictions, against the baseline", evictions, "<= 0.4");
    print_row("work thrown away, against the baseline", thrown, "<= 0.3");
    print_row("tasks finished, against the baseline", finished, ">= 1");
    print_row("batch throughput, share of the batch capacity", used, ">= 0.9");
    print_row("start of urgent tasks p99, full queue, ms", urgent, "< 1100");
    return 0;
}
