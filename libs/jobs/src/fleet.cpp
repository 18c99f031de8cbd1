#include "foxtaillift/jobs/fleet.hpp"

namespace foxtaillift::jobs
{

queue_route const*
fleet_configuration::find(std::string_view host, std::string_view path) const
{
    queue_route const* best = nullptr;
    for (auto const& route : this->routes) {
        if (route.host == host && path.starts_with(route.path_prefix) &&
            (best == nullptr ||
             route.path_prefix.size() > best->path_prefix.size())) {
            best = &route;
        }
    }
    return best;
}

std::vector<queue> fleet_configuration::queues() const
{
    std::vector<queue> result;
    result.reserve(this->routes.size());
    for (auto const& route : this->routes) {
        result.push_back(route.target);
    }
    return result;
}

} // namespace foxtaillift::jobs
