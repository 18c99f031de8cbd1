/// Load generator: sends a workload to several entry hosts and judges the
/// outcome against the workers' audits.
#pragma once

#include "foxtaillift/standin/workload.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace foxtaillift::standin
{

struct load_options
{
    workload work;
    /// Entry hosts. A call goes to a random one; if the connection fails,
    /// nothing was sent and the next one is tried, as by a load balancer.
    std::vector<std::string> addresses;
    std::vector<std::string> workers; ///< for audits; empty: no comparison
};

/// Sends the workload, waits for the tasks and returns the account. Its member
/// "violations" lists broken guarantees, "unjudged" what could not be compared.
/// Blocks; ends by itself within the workload's bounds.
nlohmann::json run_load(load_options const& options);

/// The account as a few lines of text.
std::string describe_account(nlohmann::json const& account);

} // namespace foxtaillift::standin
