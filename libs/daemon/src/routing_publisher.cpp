#include "routing_publisher.hpp"

#include "service_settings.hpp"

#include "foxtaillift/cluster/configuration_query.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

routing_publisher::routing_publisher(
    routing_sources const& used, call_service& service)
    : sources(used)
    , calls(service)
{}

std::vector<routing::cell_spec> routing_publisher::list_cells() const
{
    std::vector<routing::cell_spec> cells;
    base::host_id const own{this->sources.shared.settings.host.id};
    auto const hosts = this->sources.ownership.state().hosts();
    for (auto const& owner : this->sources.ownership.state().owners()) {
        if (owner.host.empty() || owner.host == own ||
            !this->sources.membership.is_member(owner.host)) {
            continue;
        }
        routing::cell_spec cell{
            .cell = owner.cell, .epoch = owner.epoch, .owner = owner.host};
        for (auto const& host : hosts) {
            if (host.host == owner.host) {
                cell.failure_domain = host.failure_domain;
            }
        }
        cells.push_back(std::move(cell));
    }
    base::failure_domain_id const home{
        this->sources.shared.settings.host.failure_domain};
    for (auto const& owned : this->sources.ownership.state().owned()) {
        // The rows may still name the former owner.
        std::erase_if(
            cells, [&](auto const& cell) { return cell.cell == owned.cell; });
        cells.push_back(
            {.cell = owned.cell,
             .epoch = owned.epoch,
             .owner = own,
             .failure_domain = home,
             .is_local = true});
    }
    return cells;
}

std::vector<routing::worker_spec> routing_publisher::list_workers() const
{
    std::vector<routing::worker_spec> workers;
    auto const& document = this->sources.configuration.state().document();
    auto const wall = base::wall_time_ms();
    for (auto const& entry : this->sources.hosts.workers()) {
        auto const cell = cell_of(entry);
        bool const is_local = this->sources.cells.find(cell) != nullptr;
        workers.push_back(
            {.worker = entry.worker,
             .cell = cell,
             .services = entry.services,
             .slots = static_cast<std::uint32_t>(entry.slots),
             .is_leaving = entry.state == formats::worker_state::leaving,
             .is_quarantined =
                 !cluster::is_in_service(document, entry.worker.view(), wall),
             .is_adopted = !is_local || this->sources.cells.has_adopted(
                                            cell, entry.worker)});
    }
    return workers;
}

void routing_publisher::publish()
{
    auto const& document = this->sources.configuration.state().document();
    routing::table_input input{
        .configuration_version = document.version(),
        .home =
            base::failure_domain_id{
                this->sources.shared.settings.host.failure_domain},
        .cells = this->list_cells(),
        .workers = this->list_workers()};
    add_service_options(document, base::wall_time_ms(), input);
    this->calls.table().publish(input);
    for (auto const& [worker, count] : this->inherited_calls) {
        this->calls.table().set_inherited(worker, count);
    }
    routing::snapshot_reader snapshot{this->calls.table()};
    this->calls.health().reconcile(*snapshot, this->sources.shared.now());
    this->publish_addresses(this->cell_load);
}

void routing_publisher::set_links(std::shared_ptr<link_table const> changed)
{
    this->links = std::move(changed);
    this->publish_addresses(this->cell_load);
}

void routing_publisher::publish_addresses(std::string load)
{
    this->cell_load = std::move(load);
    this->calls.set_addresses(
        {.workers = this->sources.hosts.addresses(),
         .links = this->links,
         .cell_load = this->cell_load});
}

void routing_publisher::on_adopted(
    base::worker_id const& worker, std::int32_t count)
{
    this->inherited_calls[worker] =
        static_cast<std::uint32_t>(std::max(count, 0));
    this->publish();
}

void routing_publisher::set_inherited(
    base::worker_id const& worker, std::uint32_t count)
{
    if (count == 0) {
        this->inherited_calls.erase(worker);
    } else {
        this->inherited_calls[worker] = count;
    }
    this->calls.table().set_inherited(worker, count);
}

} // namespace foxtaillift::daemon
