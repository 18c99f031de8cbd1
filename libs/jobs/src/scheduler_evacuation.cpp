/// Failure domains in which the operator wants nothing to start.
#include "scheduler_core.hpp"

namespace foxtaillift::jobs
{

void scheduler::implementation::update_evacuated(worker_entry& worker) const
{
    // The record of an earlier leader names workers without their domains.
    auto const& domain = worker.info.failure_domain;
    worker.is_evacuated = domain.empty() ? !this->evacuated.empty()
                                         : this->evacuated.contains(domain);
}

void scheduler::implementation::set_evacuated(
    std::string_view failure_domain, bool is_evacuated, base::instant now)
{
    auto const found = this->evacuated.find(failure_domain);
    if ((found != this->evacuated.end()) == is_evacuated) {
        return;
    }
    base::event_line line{
        is_evacuated ? "domain_evacuated" : "domain_restored"};
    line.add("failure_domain", failure_domain);
    if (is_evacuated) {
        this->evacuated.emplace(failure_domain, now);
    } else {
        line.add("evacuated_ms", now - found->second);
        this->evacuated.erase(found);
    }
    std::size_t workers_there = 0;
    std::size_t runs_there = 0;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto& worker = this->workers[i];
        this->update_evacuated(worker);
        if (worker.info.failure_domain == failure_domain) {
            workers_there += worker.is_listed ? 1 : 0;
            runs_there += worker.runs.size();
        }
    }
    this->log(line.add("workers", workers_there).add("runs", runs_there));
}

} // namespace foxtaillift::jobs
