#include "snapshot_builder.hpp"

#include "foxtaillift/base/hash.hpp"

#include <algorithm>

namespace foxtaillift::routing::detail
{

namespace
{

template <class Map>
auto* find_or_create(Map& map, typename Map::key_type const& key)
{
    auto& slot = map[key];
    if (!slot) {
        slot = std::make_unique<typename Map::mapped_type::element_type>();
    }
    return slot.get();
}

class builder
{
public:
    builder(
        table_input const& from,
        routing_table_options const& limits,
        load_registry& loads)
        : input(from)
        , options(limits)
        , registry(loads)
    {}

    built_snapshot build()
    {
        this->result.snapshot = std::make_unique<routing_snapshot>();
        this->result.snapshot->configuration_version =
            this->input.configuration_version;
        this->add_cells();
        this->result.snapshot->workers.reserve(this->input.workers.size());
        for (auto const& spec : this->input.workers) {
            this->add_worker(spec);
        }
        this->finish_services();
        return std::move(this->result);
    }

private:
    void add_cells()
    {
        auto& cells = this->result.snapshot->cells;
        for (auto const& spec : this->input.cells) {
            this->cell_index.emplace(
                spec.cell, static_cast<std::uint32_t>(cells.size()));
            cells.push_back(
                {.spec = spec,
                 .is_same_domain = spec.failure_domain == this->input.home,
                 .load = spec.is_local ? nullptr
                                       : find_or_create(
                                             this->registry.cells, spec.cell)});
        }
    }

    void add_worker(worker_spec const& spec)
    {
        auto& snapshot = *this->result.snapshot;
        auto const cell = this->cell_index.find(spec.cell);
        if (cell == this->cell_index.end() ||
            snapshot.workers.size() >= this->options.max_workers ||
            snapshot.worker_index.contains(spec.worker)) {
            this->result.dropped += 1;
            return;
        }
        auto const index = static_cast<std::uint32_t>(snapshot.workers.size());
        auto& owner = snapshot.cells[cell->second];
        worker_view view{
            .worker = spec.worker,
            .cell = cell->second,
            .is_leaving = spec.is_leaving,
            .is_quarantined = spec.is_quarantined};
        bool const is_open = !spec.is_leaving && !spec.is_quarantined &&
                             (spec.is_adopted || !owner.spec.is_local);
        if (owner.spec.is_local) {
            view.load = find_or_create(this->registry.workers, spec.worker);
            this->result.settings.push_back({view.load, spec.slots, !is_open});
        } else if (is_open) {
            owner.slots += spec.slots;
        }
        this->add_services(spec, view, index, is_open, owner.spec.is_local);
        snapshot.worker_index.emplace(spec.worker, index);
        snapshot.workers.push_back(std::move(view));
    }

    void add_services(
        worker_spec const& spec,
        worker_view& view,
        std::uint32_t index,
        bool is_open,
        bool is_local)
    {
        for (auto const& service : spec.services) {
            auto* entry = this->find_service(service);
            if (entry == nullptr) {
                continue;
            }
            if (is_local) {
                view.services.push_back(entry);
            }
            if (is_open && is_local) {
                entry->workers.push_back({view.load, index, view.cell});
            } else if (is_open) {
                entry->cells.push_back(view.cell);
            }
        }
    }

    service_view* find_service(base::service_id const& service)
    {
        auto& services = this->result.snapshot->services;
        auto found = services.find(service);
        if (found != services.end()) {
            return &found->second;
        }
        if (services.size() >= this->options.max_services) {
            this->result.dropped += 1;
            return nullptr;
        }
        auto& entry = services[service];
        entry.service = service;
        entry.load = find_or_create(this->registry.services, service);
        auto const chosen = this->input.services.find(service);
        entry.options = chosen == this->input.services.end()
                            ? this->input.other_services
                            : chosen->second;
        return &entry;
    }

    void finish_services()
    {
        auto const& workers = this->result.snapshot->workers;
        for (auto& [name, service] : this->result.snapshot->services) {
            auto& cells = service.cells;
            std::sort(cells.begin(), cells.end());
            cells.erase(std::unique(cells.begin(), cells.end()), cells.end());
            // Long calls are confined to the first workers; hashing spreads
            // these over the racks and differs between services.
            auto const seed = base::hash64(name.view());
            std::sort(
                service.workers.begin(), service.workers.end(),
                [&](worker_candidate const& a, worker_candidate const& b) {
                    return base::hash64(workers[a.worker].worker.view(), seed) <
                           base::hash64(workers[b.worker].worker.view(), seed);
                });
        }
    }

    table_input const& input;
    routing_table_options const& options;
    load_registry& registry;
    std::unordered_map<base::cell_id, std::uint32_t> cell_index;
    built_snapshot result;
};

} // namespace

built_snapshot build_snapshot(
    table_input const& input,
    routing_table_options const& options,
    load_registry& registry)
{
    return builder{input, options, registry}.build();
}

} // namespace foxtaillift::routing::detail
