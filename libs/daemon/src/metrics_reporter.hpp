/// Copies the figures of the engines into the metrics.
#pragma once

#include "call_service.hpp"
#include "cell_set.hpp"
#include "configuration_driver.hpp"
#include "context.hpp"
#include "membership_driver.hpp"
#include "ownership_driver.hpp"
#include "store_driver.hpp"

namespace foxtaillift::daemon
{

struct metrics_sources
{
    context& shared;
    call_service& calls;
    cell_set& cells;
    store_driver& store;
    membership_driver& membership;
    ownership_driver& ownership;
    configuration_driver& configuration;
};

/// Control thread only.
class metrics_reporter
{
public:
    explicit metrics_reporter(metrics_sources const& sources);

    /// Expected once a second.
    void update();

private:
    void set(char const* name, char const* help, std::uint64_t value);
    void update_calls();
    void update_batch();
    void update_store();
    void update_cluster();

    metrics_sources sources;
};

} // namespace foxtaillift::daemon
