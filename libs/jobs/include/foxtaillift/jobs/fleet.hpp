/// What operators configure for the job service.
#pragma once

#include "foxtaillift/jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

/// Requests of callers for this host name below this path go to the queue.
struct queue_route
{
    std::string host{};
    std::string path_prefix{};
    queue target{};
};

/// One version of the configuration. Versions only grow.
struct fleet_configuration
{
    std::int64_t version = 0;
    std::vector<queue_route> routes{};
    std::size_t body_limit = 0; ///< bytes of a request's body; 0: no limit

    /// The route with the longest matching prefix, or null.
    [[nodiscard]] queue_route const*
    find(std::string_view host, std::string_view path) const;
    [[nodiscard]] std::vector<queue> queues() const;
    /// The queue of this name, if there is one.
    [[nodiscard]] std::optional<queue> find_queue(std::string_view name) const;
};

} // namespace foxtaillift::jobs
