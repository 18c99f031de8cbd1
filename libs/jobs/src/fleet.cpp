#include "foxtaillift/jobs/fleet.hpp"

#include <algorithm>

namespace foxtaillift::jobs
{

namespace
{

queue with_address(queue_route const& route)
{
    auto result = route.target;
    result.address = route.host + route.path_prefix;
    return result;
}

} // namespace

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
        result.push_back(with_address(route));
    }
    return result;
}

std::optional<queue>
fleet_configuration::find_queue(std::string_view name) const
{
    auto const found = std::find_if(
        this->routes.begin(), this->routes.end(),
        [&](queue_route const& each) { return each.target.name == name; });
    return found == this->routes.end() ? std::nullopt
                                       : std::optional{with_address(*found)};
}

} // namespace foxtaillift::jobs
