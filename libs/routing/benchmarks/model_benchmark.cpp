// Virtual-time queueing models: latency at the crest, short calls behind long
// ones, extra load from retries, order of service. The figures depend on the
// seeds only, not on the machine.
#include "../tests/inputs.hpp"
#include "../tests/simulated_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace routing = foxtaillift::routing;
namespace base = foxtaillift::base;
using namespace foxtaillift::routing::testing;

namespace
{

constexpr std::uint32_t repeats = 5;

void print(char const* what, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    std::printf(
        "%-58s median %8.3f (%.3f to %.3f)\n", what, values[values.size() / 2],
        values.front(), values.back());
}

routing::call_attributes call_of(std::string const& caller)
{
    return {.service = service(), .caller = base::caller_id{caller}};
}

// Crest: demand grows fourfold within 2 s; batch work on every other worker
// slows calls there. Reports of it lag by 1 s.

constexpr std::uint32_t crest_workers = 48;
constexpr double crest_end = 10'000;

struct crest
{
    bool has_throttle = false; ///< 1 s after the crest begins
    double harm = 2.0;         ///< slowdown at full batch load, minus 1
    double use = 0.75;         ///< of what the workers can do with batch

    [[nodiscard]] double slowdown(base::worker_id const& name, double now) const
    {
        bool const has_batch = std::stoul(name.str().substr(1)) % 2 == 0;
        bool const is_throttled = this->has_throttle && now > 3000;
        return has_batch && !is_throttled ? 1 + this->harm : 1;
    }
};

double
crest_p99(crest const& model, routing::policy_kind kind, std::uint32_t seed)
{
    simulated_fleet fleet{
        {.input = local_fleet(crest_workers),
         .router =
             {.policy = kind,
              .queues =
                  {.max_waiting_per_caller = 4096,
                   .max_waiting_per_class = 4096}},
         .seed = seed,
         .slowdown = [&](base::worker_id const& name, double now) {
             return model.slowdown(name, now);
         }}};
    double const most =
        crest_workers * 4 / 10.0 * (1 + 1 / (1 + model.harm)) * model.use;
    double when = 0;
    while (when < crest_end) {
        auto const growth = std::clamp((when - 2000) / 2000, 0.0, 1.0);
        when +=
            exponential(fleet.random(), 1 / (most * (0.25 + 0.75 * growth)));
        fleet.submit(
            when, exponential(fleet.random(), 10), call_of("a"), 10'000);
    }
    for (double report = 0; report < crest_end; report += 1000) {
        fleet.at(report + 1000, [&fleet, &model, report] {
            for (std::uint32_t i = 0; i < crest_workers; ++i) {
                auto const load = model.slowdown(worker(i), report) > 1 ? 1 : 0;
                fleet.table().set_batch(worker(i), load, model.harm);
            }
        });
    }
    fleet.run();
    std::vector<double> latencies;
    for (auto const& call : fleet.calls()) {
        if (call.arrived >= 2000) {
            latencies.push_back(call.latency());
        }
    }
    return quantile(latencies, 0.99);
}

void compare_crest()
{
    for (double const use : {0.5, 0.75, 0.9}) {
        std::vector<double> with_throttle;
        std::vector<double> without;
        for (std::uint32_t seed = 1; seed <= repeats; ++seed) {
            crest const plain{.use = use};
            crest const throttled{.has_throttle = true, .use = use};
            auto const baseline =
                crest_p99(plain, routing::policy_kind::two_choices, seed);
            without.push_back(
                crest_p99(plain, routing::policy_kind::adaptive, seed) /
                baseline);
            with_throttle.push_back(
                crest_p99(throttled, routing::policy_kind::adaptive, seed) /
                baseline);
        }
        std::printf(
            "crest p99 against two_choices, use %.2f of capacity\n", use);
        print(
            "  adaptive with batch throttle (target at most 0.5)",
            with_throttle);
        print("  adaptive alone", without);
    }
}

// Short calls: 2% of the calls are long, at 80% load.

constexpr std::uint32_t short_workers = 48;
constexpr double short_ms = 5;
constexpr double long_ms = 200;

struct arrival
{
    double when;
    double run_ms;
    bool is_long;
};

std::vector<arrival> make_arrivals(std::uint32_t seed)
{
    auto random = make_engine(seed);
    auto const mean = 0.98 * short_ms + 0.02 * long_ms;
    auto const rate = 0.8 * short_workers * 8 / mean;
    std::vector<arrival> arrivals;
    for (double when = 0; when < 6000;) {
        when += exponential(random, 1 / rate);
        bool const is_long = base::uniform_below(random, 50) == 0;
        arrivals.push_back(
            {when, exponential(random, is_long ? long_ms : short_ms), is_long});
    }
    return arrivals;
}

/// One first-in-first-out queue per worker in front of its 8 slots; a call goes
/// to the one of two random workers with fewer calls.
class fifo_worker
{
public:
    std::size_t calls_at(double now)
    {
        std::erase_if(this->ends, [now](double end) { return end <= now; });
        return this->ends.size();
    }
    /// Returns the wait.
    double add(arrival const& call)
    {
        auto& slot = *std::min_element(this->slots.begin(), this->slots.end());
        auto const start = std::max(slot, call.when);
        slot = start + call.run_ms;
        this->ends.push_back(slot);
        return start - call.when;
    }

private:
    std::vector<double> slots = std::vector<double>(8, 0.0);
    std::vector<double> ends;
};

double fifo_p99_wait(std::vector<arrival> const& arrivals, std::uint32_t seed)
{
    auto random = make_engine(seed);
    std::vector<fifo_worker> workers(short_workers);
    std::vector<double> waits;
    for (auto const& call : arrivals) {
        auto& a = workers[base::uniform_below(random, short_workers)];
        auto& b = workers[base::uniform_below(random, short_workers)];
        auto const wait =
            (a.calls_at(call.when) <= b.calls_at(call.when) ? a : b).add(call);
        if (!call.is_long && call.when > 1000) {
            waits.push_back(wait);
        }
    }
    return quantile(waits, 0.99);
}

double routed_p99_wait(std::vector<arrival> const& arrivals, std::uint32_t seed)
{
    simulated_fleet fleet{
        {.input = local_fleet(short_workers),
         .router =
             {.queues =
                  {.max_waiting_per_caller = 4096,
                   .max_waiting_per_class = 4096}},
         .seed = seed}};
    for (auto const& call : arrivals) {
        auto attributes = call_of("a");
        attributes.path = call.is_long ? "/pay/report" : "/pay/get";
        fleet.submit(call.when, call.run_ms, attributes, 60'000);
    }
    fleet.run();
    std::vector<double> waits;
    for (auto const& call : fleet.calls()) {
        if (call.attributes.path == "/pay/get" && call.arrived > 1000) {
            waits.push_back(call.wait());
        }
    }
    return quantile(waits, 0.99);
}

void compare_short_calls()
{
    std::vector<double> ratios;
    std::vector<double> fifo;
    std::vector<double> routed;
    for (std::uint32_t seed = 1; seed <= repeats; ++seed) {
        auto const arrivals = make_arrivals(seed);
        fifo.push_back(fifo_p99_wait(arrivals, seed));
        routed.push_back(routed_p99_wait(arrivals, seed));
        ratios.push_back(routed.back() / fifo.back());
    }
    print("short calls: p99 wait, one queue per worker, ms", fifo);
    print("short calls: p99 wait, routed, ms", routed);
    print("short calls: ratio (target at most 0.2)", ratios);
}

// Retries: a third of the workers fails everything.

void measure_retries(char const* what, behaviour how)
{
    std::vector<double> extra;
    std::vector<double> answered;
    for (std::uint32_t seed = 1; seed <= repeats; ++seed) {
        simulated_fleet fleet{
            {.input = local_fleet(48),
             .seed = seed,
             .behave = [how](base::worker_id const& name, double, auto&) {
                 return std::stoul(name.str().substr(1)) % 3 == 0
                            ? how
                            : behaviour::answer;
             }}};
        double when = 0;
        while (when < 5000) {
            when += exponential(fleet.random(), 0.06);
            auto call = call_of("a");
            call.is_idempotent = true;
            fleet.submit(when, exponential(fleet.random(), 10), call);
        }
        fleet.run();
        auto const offered = static_cast<double>(fleet.calls().size());
        extra.push_back(static_cast<double>(fleet.attempts()) / offered - 1);
        answered.push_back(
            static_cast<double>(std::count_if(
                fleet.calls().begin(), fleet.calls().end(),
                [](auto const& call) { return call.status == 200; })) /
            offered);
    }
    std::printf("retries, %s\n", what);
    print("  extra attempts a call (target at most 0.1)", extra);
    print("  calls answered", answered);
}

// Order of service at 130% load for 4 s, deadlines of 50 to 500 ms.

struct order_result
{
    double in_time; ///< share of the calls
    double p50;     ///< latency of answered calls
    double p99;
};

/// Calls for each one that the slots can answer.
using demand = double (*)(double now);

order_result
run_order(routing::service_order order, demand load, std::uint32_t seed)
{
    simulated_fleet fleet{
        {.input = local_fleet(16),
         .router = {.queues = {.order = order}},
         .seed = seed}};
    double when = 0;
    while (when < 4000) {
        when += exponential(fleet.random(), 10 / (128 * load(when)));
        fleet.submit(
            when, exponential(fleet.random(), 10),
            call_of("a" + std::to_string(fleet.calls().size() % 8)),
            50 + 450 * base::uniform_unit(fleet.random()));
    }
    fleet.run();
    std::vector<double> latencies;
    for (auto const& call : fleet.calls()) {
        if (call.status == 200) {
            latencies.push_back(call.latency());
        }
    }
    return {
        static_cast<double>(latencies.size()) /
            static_cast<double>(fleet.calls().size()),
        quantile(latencies, 0.5), quantile(latencies, 0.99)};
}

void measure_order(char const* name, routing::service_order order, demand load)
{
    std::vector<double> shares;
    std::vector<double> p50;
    std::vector<double> p99;
    for (std::uint32_t seed = 1; seed <= repeats; ++seed) {
        auto const result = run_order(order, load, seed);
        shares.push_back(result.in_time);
        p50.push_back(result.p50);
        p99.push_back(result.p99);
    }
    std::printf("  %s\n", name);
    print("    calls answered in time", shares);
    print("    latency of answered calls p50, ms", p50);
    print("    latency of answered calls p99, ms", p99);
}

void compare_orders(char const* what, demand load)
{
    std::printf("order of service, %s\n", what);
    measure_order("fifo", routing::service_order::fifo, load);
    measure_order("newest first", routing::service_order::newest_first, load);
    measure_order(
        "earliest deadline", routing::service_order::earliest_deadline, load);
}

} // namespace

/// usage: routing_model_benchmark [crest|short|retries|order]
int main(int argc, char** argv)
{
    std::string_view const only = argc > 1 ? argv[1] : "";
    auto const is_chosen = [only](std::string_view name) {
        return only.empty() || only == name;
    };
    if (is_chosen("crest")) {
        compare_crest();
    }
    if (is_chosen("short")) {
        compare_short_calls();
    }
    if (is_chosen("retries")) {
        measure_retries("a third answers errors", behaviour::error_answer);
        measure_retries("a third loses answers", behaviour::lose_answer);
        measure_retries("a third refuses", behaviour::refuse);
    }
    if (is_chosen("order")) {
        compare_orders("130% load for 4 s", [](double) { return 1.3; });
        compare_orders("70% load, 250% for 100 ms each second", [](double now) {
            return std::fmod(now, 1000) < 100 ? 2.5 : 0.7;
        });
    }
}
