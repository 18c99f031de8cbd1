/// What is known of the load of services before any report.
#pragma once

namespace foxtaillift::jobs
{

/// Part of its processors that a serving task uses on average; the deployments
/// state 0.42.
constexpr double mean_serving_load = 0.42;

} // namespace foxtaillift::jobs
