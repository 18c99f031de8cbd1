#include "ownership_driver.hpp"

#include "host_watch.hpp"

#include <map>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

cluster::ownership_options
options_of(context const& shared, std::string const& address)
{
    auto const& lease = shared.settings.lease;
    return {
        .host = base::host_id{shared.settings.host.id},
        .address = address,
        .failure_domain =
            base::failure_domain_id{shared.settings.host.failure_domain},
        .process = shared.process,
        .renewal_interval = lease.renewal_interval,
        .scan_interval = lease.scan_interval,
        .lease = lease.length,
        .unconfirmed_after = lease.length - lease.margin};
}

} // namespace

ownership_driver::ownership_driver(
    context& context,
    store_driver& table,
    peer_links& peers,
    std::string const& peer_address,
    ownership_listener to)
    : shared(context)
    , store(table)
    , links(peers)
    , listener(std::move(to))
    , engine(options_of(context, peer_address))
    , timer(context.control.get_executor(), [this] {
        this->handle(cluster::ownership_tick{});
    })
{}

void ownership_driver::set_workers(
    std::vector<formats::worker_entry> const& workers)
{
    std::map<base::cell_id, double> cores;
    for (auto const& worker : workers) {
        cores[cell_of(worker)] +=
            static_cast<double>(worker.capacity.processors) / 1000;
    }
    cluster::cells_changed event;
    for (auto const& [cell, weight] : cores) {
        event.cells.push_back({cell, weight});
    }
    this->handle(event);
}

void ownership_driver::handle(cluster::ownership_event const& event)
{
    std::vector<cluster::ownership_action> actions;
    auto const now = this->shared.now();
    this->engine.handle(event, now, this->shared.random, actions);
    for (auto& action : actions) {
        std::visit(
            [this](auto& wanted) { this->perform(std::move(wanted)); }, action);
    }
    if (std::holds_alternative<cluster::ownership_scan_finished>(event)) {
        this->listener.observed();
    }
    this->timer.wake_at(this->engine.wake_at(), now);
}

void ownership_driver::perform(store::submission action)
{
    this->store.submit(
        std::move(action),
        [this](store::completion const& finished) { this->handle(finished); });
}

void ownership_driver::perform(cluster::scan_rows const& action)
{
    this->store.scan(
        action.content,
        [this, request = action.request](formats::rows_result result) {
            this->handle(
                cluster::ownership_scan_finished{request, std::move(result)});
        });
}

void ownership_driver::perform(cluster::cell_gained const& action)
{
    this->listener.gained(action);
}

void ownership_driver::perform(cluster::cell_draining const& action)
{
    base::event_line line{"cell_draining"};
    this->shared.log.write(line.add("cell", action.cell));
}

void ownership_driver::perform(cluster::cell_resumed const& action)
{
    base::event_line line{"cell_resumed"};
    this->shared.log.write(line.add("cell", action.cell));
}

void ownership_driver::perform(cluster::cell_lost const& action)
{
    this->listener.lost(action);
}

void ownership_driver::perform(cluster::send_handover_offer const& action)
{
    this->links.send(
        action.to, "/peer/handover-offer", cluster::encode(action.content));
}

void ownership_driver::perform(cluster::send_handover_answer const& action)
{
    this->links.send(
        action.to, "/peer/handover-answer", cluster::encode(action.content));
}

void ownership_driver::perform(cluster::ownership_stopped const&)
{
    this->listener.stopped();
}

void ownership_driver::perform(store::log_line action)
{
    this->shared.log.write(std::move(action.text));
}

} // namespace foxtaillift::daemon
