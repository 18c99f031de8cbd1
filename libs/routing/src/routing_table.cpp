#include "foxtaillift/routing/routing_table.hpp"

#include "read_section.hpp"
#include "snapshot_builder.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::routing
{

namespace
{

bool is_used(worker_load const& load)
{
    return load.slots.load().own > 0;
}

bool is_used(cell_load const& load)
{
    return load.in_flight.load(std::memory_order_acquire) > 0;
}

/// Frees the loads that are not in `kept` and that no call uses. Returns how
/// many stay only because calls use them.
template <class Map, class Kept>
std::size_t free_unused(Map& loads, Kept is_kept)
{
    std::size_t retired = 0;
    for (auto entry = loads.begin(); entry != loads.end();) {
        if (is_kept(entry->first)) {
            ++entry;
        } else if (is_used(*entry->second)) {
            ++retired;
            ++entry;
        } else {
            entry = loads.erase(entry);
        }
    }
    return retired;
}

} // namespace

struct routing_table::state
{
    routing_table_options options;
    detail::load_registry registry;
    std::atomic<routing_snapshot const*> current{nullptr};
    std::size_t dropped = 0;
    std::size_t retired = 0;

    /// Closes workers that get no new calls. Runs before the swap, so that a
    /// decision on the former snapshot cannot claim them afterwards.
    void close_workers(
        std::vector<detail::slot_setting> const& settings,
        routing_snapshot const& next)
    {
        for (auto const& setting : settings) {
            if (setting.is_closed) {
                setting.load->slots.set_limit(setting.slots, true);
            }
        }
        for (auto const& [worker, load] : this->registry.workers) {
            auto const* view = next.find_worker(worker);
            if (view == nullptr || view->load == nullptr) {
                load->slots.set_limit(load->slots.load().slots, true);
            }
        }
    }

    void free_loads(routing_snapshot const& next)
    {
        this->retired =
            free_unused(this->registry.workers, [&](auto const& worker) {
                auto const* view = next.find_worker(worker);
                return view != nullptr && view->load != nullptr;
            });
        this->retired +=
            free_unused(this->registry.cells, [&](base::cell_id const& cell) {
                return std::any_of(
                    next.cells.begin(), next.cells.end(), [&](auto const& c) {
                        return c.load != nullptr && c.spec.cell == cell;
                    });
            });
        std::erase_if(this->registry.services, [&](auto const& entry) {
            return !next.services.contains(entry.first);
        });
    }
};

snapshot_reader::snapshot_reader(routing_table const& table)
{
    detail::enter_read_section();
    this->snapshot = table.self->current.load(std::memory_order_acquire);
}

snapshot_reader::~snapshot_reader()
{
    detail::leave_read_section();
}

routing_table::routing_table(routing_table_options options)
    : self(std::make_unique<state>())
{
    this->self->options = options;
    this->self->current.store(new routing_snapshot);
}

routing_table::~routing_table()
{
    delete this->self->current.load();
}

void routing_table::publish(table_input const& input)
{
    auto& table = *this->self;
    auto built = detail::build_snapshot(input, table.options, table.registry);
    auto const& next = *built.snapshot;
    table.close_workers(built.settings, next);
    std::unique_ptr<routing_snapshot const> former{table.current.exchange(
        built.snapshot.release(), std::memory_order_acq_rel)};
    for (auto const& setting : built.settings) {
        if (!setting.is_closed) {
            setting.load->slots.set_limit(setting.slots, false);
        }
    }
    detail::wait_for_readers();
    former.reset();
    table.dropped = built.dropped;
    table.free_loads(next);
}

bool routing_table::set_inherited(
    base::worker_id const& worker, std::uint32_t calls)
{
    auto const found = this->self->registry.workers.find(worker);
    if (found == this->self->registry.workers.end()) {
        return false;
    }
    found->second->slots.set_inherited(calls);
    return true;
}

bool routing_table::set_batch(
    base::worker_id const& worker, double load, double harm)
{
    auto const found = this->self->registry.workers.find(worker);
    if (found == this->self->registry.workers.end()) {
        return false;
    }
    found->second->batch_load.store(static_cast<float>(load));
    found->second->harm.store(static_cast<float>(harm));
    return true;
}

bool routing_table::update_summary(
    base::cell_id const& cell, cell_summary const& summary, base::instant now)
{
    auto const found = this->self->registry.cells.find(cell);
    return found != this->self->registry.cells.end() &&
           found->second->update(summary, now);
}

std::size_t routing_table::dropped() const
{
    return this->self->dropped;
}

std::size_t routing_table::retired() const
{
    return this->self->retired;
}

} // namespace foxtaillift::routing
