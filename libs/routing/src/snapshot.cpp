#include "foxtaillift/routing/snapshot.hpp"

namespace foxtaillift::routing
{

std::string_view to_string(worker_state state)
{
    switch (state) {
    case worker_state::live:
        return "live";
    case worker_state::leaving:
        return "leaving";
    case worker_state::ejected:
        return "ejected";
    case worker_state::quarantined:
        return "quarantined";
    }
    return "unknown";
}

service_view const*
routing_snapshot::find_service(base::service_id const& service) const
{
    auto const found = this->services.find(service);
    return found == this->services.end() ? nullptr : &found->second;
}

worker_view const*
routing_snapshot::find_worker(base::worker_id const& worker) const
{
    auto const found = this->worker_index.find(worker);
    return found == this->worker_index.end() ? nullptr
                                             : &this->workers[found->second];
}

worker_state state_of(worker_view const& worker)
{
    if (worker.is_leaving) {
        return worker_state::leaving;
    }
    if (worker.is_quarantined) {
        return worker_state::quarantined;
    }
    if (worker.load != nullptr && worker.load->ejected_until.load() != 0) {
        return worker_state::ejected;
    }
    return worker_state::live;
}

} // namespace foxtaillift::routing
