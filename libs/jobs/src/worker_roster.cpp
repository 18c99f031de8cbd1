#include "foxtaillift/jobs/worker_roster.hpp"

#include <cstddef>

namespace foxtaillift::jobs
{

void worker_roster::recall(std::span<worker_info const> named)
{
    for (auto const& worker : named) {
        this->recorded.insert(worker.id);
    }
}

void worker_roster::list(worker_info const& worker)
{
    this->in_list[worker.id] = worker;
}

void worker_roster::unlist(std::string const& worker)
{
    this->in_list.erase(worker);
}

void worker_roster::on_recorded(worker_map const& named)
{
    this->recorded.clear();
    for (auto const& [id, worker] : named) {
        this->recorded.insert(id);
    }
}

worker_roster::worker_map
worker_roster::to_record(scheduler const& decisions) const
{
    auto const in_use = decisions.workers_in_use();
    std::size_t unlisted = 0;
    bool is_same = true;
    for (auto const* const worker : in_use) {
        unlisted += this->in_list.contains(worker->id) ? 0 : 1;
        is_same = is_same && this->is_recorded(worker->id);
    }
    for (auto const& [id, worker] : this->in_list) {
        is_same = is_same && this->is_recorded(id);
    }
    is_same =
        is_same && this->in_list.size() + unlisted == this->recorded.size();
    if (is_same) {
        return {};
    }
    auto wanted = this->in_list;
    for (auto const* const worker : in_use) {
        wanted.emplace(worker->id, *worker);
    }
    return wanted;
}

} // namespace foxtaillift::jobs
