#include "worker_monitor.hpp"

#include "foxtaillift/batch/cell_query.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

/// Without a good answer for this long a worker is not measured.
constexpr std::int64_t measurement_max_age_ms = 1000;

} // namespace

worker_monitor::worker_monitor(
    context& context,
    call_service& service,
    cell_set& owned,
    host_watch& list,
    transport::agent_client& agent_links,
    routing_publisher& routes)
    : shared(context)
    , calls(service)
    , cells(owned)
    , hosts(list)
    , agents(agent_links)
    , publisher(routes)
{}

std::vector<worker_monitor::measurement> worker_monitor::read_workers() const
{
    std::vector<measurement> all;
    auto const now = this->shared.now();
    routing::snapshot_reader snapshot{this->calls.table()};
    for (auto const& worker : snapshot->workers) {
        if (worker.load == nullptr || worker.services.empty()) {
            continue;
        }
        measurement one{
            .cell = snapshot->cells[worker.cell].spec.cell,
            .worker = worker.worker,
            .service = worker.services.front()->service,
            .slots = worker.load->slots.load()};
        one.slowdown = worker.load->slowdown.load();
        one.age_ms = now.ms - worker.load->latency_at.load();
        all.push_back(std::move(one));
    }
    return all;
}

void worker_monitor::report(measurement const& one)
{
    auto const driver = this->cells.find(one.cell);
    if (!driver) {
        return;
    }
    auto const slots_in_use = static_cast<std::int32_t>(one.slots.occupied());
    auto const slots = static_cast<std::int32_t>(one.slots.slots);
    driver->handle(batch::service_load{
        .worker = one.worker,
        .service = one.service,
        .slots_in_use = slots_in_use,
        .slots = slots});
    // Old measurements are left out: a service that gets no calls is calm.
    if (one.age_ms > measurement_max_age_ms && slots_in_use == 0) {
        return;
    }
    driver->handle(batch::service_pressure{
        .worker = one.worker,
        .service = one.service,
        .latency_ratio = std::max(1.0F, one.slowdown),
        .slots_in_use = slots_in_use,
        .slots = slots,
        .age_ms = std::min(one.age_ms, measurement_max_age_ms)});
}

void worker_monitor::update_batch_load(measurement const& one)
{
    auto const driver = this->cells.find(one.cell);
    if (!driver) {
        return;
    }
    auto const view = batch::find_worker(driver->state(), one.worker);
    if (!view || view->capacity.processors <= 0) {
        return;
    }
    auto const load = static_cast<double>(view->committed.processors) /
                      static_cast<double>(view->capacity.processors);
    // The learned slowdown is that of the present load.
    auto const slowdown = view->predicted_pressure - 1;
    this->calls.table().set_batch(
        one.worker, load, load > 0 ? slowdown / load : 0);
}

void worker_monitor::measure()
{
    auto const all = this->read_workers();
    for (auto const& one : all) {
        this->report(one);
        this->update_batch_load(one);
    }
}

void worker_monitor::poll_inherited()
{
    for (auto const& [worker, count] : this->publisher.inherited()) {
        auto const* const entry = this->hosts.find(worker);
        if (count == 0 || entry == nullptr ||
            !this->asking.insert(worker).second) {
            continue;
        }
        this->agents.async_audit(
            entry->address,
            [this, worker](
                transport::agent_result<formats::adopt_answer> const& result) {
                this->asking.erase(worker);
                if (result.status != formats::agent_status::done) {
                    return;
                }
                std::uint32_t own = 0;
                for (auto const& one : this->read_workers()) {
                    own = one.worker == worker ? one.slots.own : own;
                }
                auto const all = static_cast<std::uint32_t>(
                    std::max(result.answer.calls_in_progress, 0));
                this->publisher.set_inherited(
                    worker, all > own ? all - own : 0);
            });
    }
}

} // namespace foxtaillift::daemon
