/// The cells that this host owns, each with its driver.
#pragma once

#include "cell_driver.hpp"

#include <map>
#include <memory>
#include <string>

namespace foxtaillift::daemon
{

/// Control thread only.
class cell_set
{
public:
    explicit cell_set(cell_services services);

    void gain(base::cell_id const& cell, formats::epoch_number epoch);
    void lose(base::cell_id const& cell);

    /// The platform's list changed.
    void set_workers();
    /// The fleet configuration changed.
    void update_settings();
    void set_lease_confirmed(bool is_confirmed);

    /// The driver of an owned cell, or null.
    [[nodiscard]] std::shared_ptr<cell_driver>
    find(base::cell_id const& cell) const;
    [[nodiscard]] std::map<base::cell_id, std::shared_ptr<cell_driver>> const&
    all() const
    {
        return this->drivers;
    }
    [[nodiscard]] bool
    has_adopted(base::cell_id const& cell, base::worker_id const& worker) const;

private:
    cell_services services;
    std::map<base::cell_id, std::shared_ptr<cell_driver>> drivers;
    bool is_confirmed = true;
};

} // namespace foxtaillift::daemon
