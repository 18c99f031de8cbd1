#include "cell_set.hpp"

#include <utility>

namespace foxtaillift::daemon
{

cell_set::cell_set(cell_services used)
    : services(std::move(used))
{}

void cell_set::gain(base::cell_id const& cell, formats::epoch_number epoch)
{
    this->lose(cell);
    auto const driver = std::make_shared<cell_driver>(this->services, cell);
    this->drivers[cell] = driver;
    driver->take(epoch);
    driver->handle(batch::lease_changed{this->is_confirmed});
}

void cell_set::lose(base::cell_id const& cell)
{
    auto const found = this->drivers.find(cell);
    if (found == this->drivers.end()) {
        return;
    }
    auto const driver = found->second;
    this->drivers.erase(found);
    driver->release();
}

void cell_set::set_workers()
{
    for (auto const& [cell, driver] : this->drivers) {
        driver->set_workers();
    }
}

void cell_set::update_settings()
{
    for (auto const& [cell, driver] : this->drivers) {
        driver->handle(batch::settings_changed{this->services.settings(cell)});
    }
}

void cell_set::set_lease_confirmed(bool confirmed)
{
    if (this->is_confirmed == confirmed) {
        return;
    }
    this->is_confirmed = confirmed;
    base::event_line line{"lease_changed"};
    this->services.shared.log.write(line.add("confirmed", confirmed));
    for (auto const& [cell, driver] : this->drivers) {
        driver->handle(batch::lease_changed{confirmed});
    }
}

std::shared_ptr<cell_driver> cell_set::find(base::cell_id const& cell) const
{
    auto const found = this->drivers.find(cell);
    return found == this->drivers.end() ? nullptr : found->second;
}

bool cell_set::has_adopted(
    base::cell_id const& cell, base::worker_id const& worker) const
{
    auto const driver = this->find(cell);
    return driver && driver->has_adopted(worker);
}

} // namespace foxtaillift::daemon
