#include "foxtaillift/routing/health.hpp"

#include <algorithm>

namespace foxtaillift::routing
{

namespace
{

constexpr float worker_latency_weight = 0.1F;
constexpr float service_latency_weight = 0.02F;
constexpr float worker_error_weight = 0.1F;
constexpr float service_error_weight = 0.01F;
// The clock counts whole milliseconds; 0 would look like "not known".
constexpr float least_latency_ms = 0.5F;
constexpr base::duration ejection_check_interval = base::milliseconds(100);

/// Concurrent updates may get lost, which a moving average tolerates.
void move_towards(std::atomic<float>& average, float value, float weight)
{
    auto const old = average.load(std::memory_order_relaxed);
    average.store(old + weight * (value - old), std::memory_order_relaxed);
}

void learn_latency(std::atomic<float>& average, float value, float weight)
{
    if (average.load(std::memory_order_relaxed) == 0) {
        average.store(value, std::memory_order_relaxed);
    } else {
        move_towards(average, value, weight);
    }
}

std::uint32_t count_ejected(service_view const& service)
{
    return static_cast<std::uint32_t>(std::count_if(
        service.workers.begin(), service.workers.end(),
        [](worker_candidate const& worker) {
            return worker.load->ejected_until.load() != 0;
        }));
}

worker_view const* find_view(
    routing_snapshot const& snapshot,
    service_view const& service,
    worker_load const& load)
{
    for (auto const& worker : service.workers) {
        if (worker.load == &load) {
            return &snapshot.workers[worker.worker];
        }
    }
    return nullptr;
}

void bring_back(worker_load& load, base::instant now)
{
    load.error_points.store(0);
    load.error_rate.store(0);
    load.returned_at.store(now.ms);
    load.ejected_until.store(0);
}

void schedule_return(
    worker_load& load, health_options const& options, base::instant now)
{
    auto const earlier = std::min(load.ejections.fetch_add(1), 16U);
    auto const wait = std::min(
        options.eject_for * (std::int64_t{1} << earlier),
        options.eject_at_most);
    load.ejected_until.store((now + wait).ms);
}

} // namespace

std::uint32_t ejection_limit(std::uint32_t workers)
{
    return workers / 3;
}

bool is_available(worker_load const& load, base::instant now)
{
    auto const until = load.ejected_until.load(std::memory_order_relaxed);
    return until == 0 ||
           (now.ms >= until && !load.has_probe.load(std::memory_order_relaxed));
}

health_monitor::health_monitor(health_options from)
    : options(from)
{}

bool health_monitor::try_eject(
    routing_snapshot const& snapshot,
    service_view const& service,
    worker_load& load,
    base::instant now)
{
    if (this->ejecting.test_and_set(std::memory_order_acquire)) {
        return false;
    }
    auto const* view = find_view(snapshot, service, load);
    bool const allowed =
        view != nullptr && load.ejected_until.load() == 0 &&
        std::all_of(
            view->services.begin(), view->services.end(),
            [&](service_view const* offered) {
                auto const total =
                    static_cast<std::uint32_t>(offered->workers.size());
                return count_ejected(*offered) + 1 <= ejection_limit(total);
            });
    if (allowed) {
        schedule_return(load, this->options, now);
    }
    this->ejecting.clear(std::memory_order_release);
    return allowed;
}

health_change health_monitor::record(
    routing_snapshot const& snapshot,
    service_view const& service,
    slot_claim const& claim,
    call_result result,
    base::duration elapsed,
    base::instant now)
{
    if (result == call_result::no_information) {
        return health_change::none;
    }
    claim.load().result_at.store(now.ms, std::memory_order_relaxed);
    return result == call_result::success
               ? this->on_success(service, claim, elapsed, now)
               : this->on_error(snapshot, service, claim, result, elapsed, now);
}

health_change health_monitor::on_success(
    service_view const& service,
    slot_claim const& claim,
    base::duration elapsed,
    base::instant now)
{
    auto& load = claim.load();
    auto const latency =
        std::max(least_latency_ms, static_cast<float>(elapsed.ms));
    load.error_points.store(0, std::memory_order_relaxed);
    move_towards(load.error_rate, 0, worker_error_weight);
    move_towards(service.load->error_rate, 0, service_error_weight);
    learn_latency(load.latency_ms, latency, worker_latency_weight);
    load.latency_at.store(now.ms, std::memory_order_relaxed);
    learn_latency(service.load->latency_ms, latency, service_latency_weight);
    if (claim.is_probe() && load.ejected_until.load() != 0) {
        bring_back(load, now);
        return health_change::returned;
    }
    if (load.ejected_until.load() == 0 && load.ejections.load() != 0 &&
        now.ms - load.returned_at.load() > this->options.eject_at_most.ms) {
        load.ejections.store(0);
    }
    return health_change::none;
}

health_change health_monitor::on_error(
    routing_snapshot const& snapshot,
    service_view const& service,
    slot_claim const& claim,
    call_result result,
    base::duration elapsed,
    base::instant now)
{
    auto& load = claim.load();
    bool const is_fast =
        static_cast<double>(elapsed.ms) <
        this->options.fast_share * service.load->latency_ms.load();
    auto const added = result == call_result::refused
                           ? this->options.refusal_points
                           : (is_fast ? this->options.fast_error_points
                                      : this->options.error_points);
    auto const points = load.error_points.fetch_add(added) + added;
    move_towards(load.error_rate, 1, worker_error_weight);
    move_towards(service.load->error_rate, 1, service_error_weight);
    if (load.ejected_until.load() != 0) {
        if (claim.is_probe()) {
            schedule_return(load, this->options, now);
            return health_change::ejected;
        }
        return health_change::none;
    }
    auto const rate = load.error_rate.load();
    bool const is_outlier = rate >= this->options.error_rate_to_eject &&
                            rate >= 2 * service.load->error_rate.load();
    if (points < this->options.points_to_eject && !is_outlier) {
        return health_change::none;
    }
    if (now.ms < load.next_ejection_check.load()) {
        return health_change::none;
    }
    if (this->try_eject(snapshot, service, load, now)) {
        return health_change::ejected;
    }
    // Counting the ejected workers scans the service; bounds how often.
    load.next_ejection_check.store((now + ejection_check_interval).ms);
    return health_change::kept_by_limit;
}

std::uint32_t
health_monitor::reconcile(routing_snapshot const& snapshot, base::instant now)
{
    while (this->ejecting.test_and_set(std::memory_order_acquire)) {
    }
    std::uint32_t returned = 0;
    for (auto const& [name, service] : snapshot.services) {
        auto const limit =
            ejection_limit(static_cast<std::uint32_t>(service.workers.size()));
        auto ejected = count_ejected(service);
        for (auto const& worker : service.workers) {
            auto& load = *worker.load;
            if (ejected > limit && load.ejected_until.load() != 0) {
                bring_back(load, now);
                ejected -= 1;
                returned += 1;
            }
        }
    }
    this->ejecting.clear(std::memory_order_release);
    return returned;
}

} // namespace foxtaillift::routing
