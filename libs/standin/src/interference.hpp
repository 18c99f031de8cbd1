/// How much the tasks of a worker slow its calls.
#pragma once

#include "run_table.hpp"

#include "foxtaillift/standin/worker_service.hpp"

namespace foxtaillift::standin
{

/// Factor on the service time of a call: 1 plus, for each task, the excess of
/// its class weighted with the share of the worker's processors that it uses.
inline double slowdown(
    worker_service_options const& options,
    run_table const& runs,
    std::string const& service)
{
    double factor = 1.0;
    for (auto const* run : runs.open_runs()) {
        auto const& task_class = run->entry.task_class;
        std::string pair{service};
        pair.append("/").append(task_class);
        auto found = options.interference.find(pair);
        if (found == options.interference.end()) {
            found = options.interference.find(task_class);
        }
        if (found != options.interference.end()) {
            factor += (found->second - 1.0) * run->throttle *
                      static_cast<double>(run->real_processors) /
                      static_cast<double>(options.capacity.processors);
        }
    }
    return factor;
}

} // namespace foxtaillift::standin
