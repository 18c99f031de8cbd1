/// The batch tasks of a workload.
#pragma once

#include "entry_hosts.hpp"

#include "foxtaillift/standin/audit_check.hpp"
#include "foxtaillift/standin/workload.hpp"

#include <nlohmann/json_fwd.hpp>

#include <deque>

namespace foxtaillift::standin
{

class task_load
{
public:
    task_load(
        workload const& load, entry_hosts& entry_hosts, std::string run_name)
        : work(load)
        , hosts(entry_hosts)
        , run_id(std::move(run_name))
    {}

    /// Adds the coroutines that submit the tasks and wait for their end.
    void spawn(boost::asio::io_context& context);

    [[nodiscard]] std::vector<task_outcome> outcomes() const;
    /// Number of tasks by last state.
    [[nodiscard]] nlohmann::json count() const;

private:
    struct submitted_task
    {
        task_outcome outcome;
        std::string path; ///< "/v1/tasks/<team>/<key>"
    };

    boost::asio::awaitable<void>
    submit_tasks(task_step step, std::size_t number);
    boost::asio::awaitable<void> submit(std::string body, std::size_t index);
    boost::asio::awaitable<void> watch_tasks();

    workload const& work;
    entry_hosts& hosts;
    std::string run_id;
    base::instant started{};
    base::instant end{}; ///< of the wait for the tasks
    std::vector<submitted_task> tasks;
    std::deque<std::size_t> watched; ///< accepted tasks that have not ended
    std::int64_t submitters = 0;     ///< coroutines that may add to `watched`
    std::int64_t resubmissions = 0;
};

} // namespace foxtaillift::standin
