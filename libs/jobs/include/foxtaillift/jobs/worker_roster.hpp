/// Which workers a leader may use: those that the platform lists and that are
/// durably named, so that a successor knows whom to ask.
#pragma once

#include "foxtaillift/jobs/scheduler.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <map>
#include <set>
#include <span>
#include <string>

namespace foxtaillift::jobs
{

/// Not thread-safe.
class worker_roster
{
public:
    /// Workers by identifier.
    using worker_map = std::map<std::string, worker_info>;

    // Commands

    /// What an earlier leader has named.
    void recall(std::span<worker_info const> named);
    void list(worker_info const& worker);
    void unlist(std::string const& worker);
    /// These workers are durably named now, and no others.
    void on_recorded(worker_map const& named);

    // Queries

    [[nodiscard]] worker_map const& listed() const { return this->in_list; }
    [[nodiscard]] bool is_recorded(std::string const& worker) const
    {
        return this->recorded.contains(worker);
    }
    [[nodiscard]] std::size_t recorded_count() const
    {
        return this->recorded.size();
    }
    /// The workers to be named, or nothing if the last record still holds. A
    /// worker is named before the first task starts there, and until nothing
    /// can run there, so that a successor waits for no others.
    [[nodiscard]] worker_map to_record(scheduler const& decisions) const;

private:
    worker_map in_list{};
    std::set<std::string> recorded{};
};

} // namespace foxtaillift::jobs
