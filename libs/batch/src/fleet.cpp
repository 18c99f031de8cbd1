// The workers of the cell: the platform's list, limits, operators' orders and
// workers that fail what they start.
#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

worker_index cell_state::add_worker(base::worker_id const& id)
{
    auto& own = this->owned;
    if (auto const known = own.worker_by_id.find(id);
        known != own.worker_by_id.end()) {
        return known->second;
    }
    if (own.worker_by_id.size() >= this->options.max_workers) {
        ++this->counters.ignored_workers;
        return no_index;
    }
    worker_index index = 0;
    if (own.unused_workers.empty()) {
        index = own.ledger.add_worker();
        own.workers.emplace_back();
    } else {
        index = own.unused_workers.back();
        own.unused_workers.pop_back();
        own.workers[index] = worker{};
    }
    auto& added = own.workers[index];
    added.id = id;
    added.is_used = true;
    added.next_adopt = this->now;
    added.next_renew = this->now + this->options.renew_every;
    own.worker_by_id.emplace(id, index);
    return index;
}

void cell_state::on(workers_listed const& input)
{
    auto& own = this->owned;
    if (own.phase == cell_phase::released) {
        return;
    }
    own.has_list = true;
    for (auto& one : own.workers) {
        one.is_listed = false;
    }
    for (auto const& entry : input.workers) {
        this->list_worker(entry);
    }
    for (worker_index index = 0; index < own.workers.size(); ++index) {
        if (own.workers[index].is_used) {
            this->update_limits(index);
            this->update_open(index);
        }
    }
    this->evaluate_impossible();
    own.is_pass_needed = true;
}

void cell_state::list_worker(formats::worker_entry const& entry)
{
    auto const index = this->add_worker(entry.worker);
    if (index == no_index) {
        return;
    }
    auto& target = this->owned.workers[index];
    std::uint64_t shared = 0;
    target.is_listed = true;
    target.next_check = this->now;
    target.entry = entry;
    target.rack = this->racks.number(entry.rack.str(), 4'096, shared);
    target.failure_domain =
        this->domains.number(entry.failure_domain.str(), 256, shared);
    target.services.clear();
    for (auto const& service : entry.services) {
        target.services.push_back(this->services.number(
            service.str(), interference_model::max_services, shared));
    }
    if (entry.state == formats::worker_state::leaving) {
        this->log(base::event_line{"worker_leaving"}.add("worker", target.id));
    }
}

void cell_state::update_limits(worker_index index)
{
    auto& target = this->owned.workers[index];
    auto const& settings = this->options.settings;
    formats::resources limit;
    formats::resources hole;
    if (target.is_listed && target.entry.state == formats::worker_state::live) {
        auto const& capacity = target.entry.capacity;
        auto const share = [](std::int64_t amount, double reserve) {
            return static_cast<std::int64_t>(
                static_cast<double>(amount) * (1 - reserve));
        };
        limit = {
            share(capacity.processors, settings.service_processors),
            share(capacity.memory_mb, settings.service_memory),
            capacity.accelerators};
        if (settings.urgent_every != 0 && index % settings.urgent_every == 0) {
            hole = {
                std::min(settings.urgent_hole.processors, limit.processors),
                std::min(settings.urgent_hole.memory_mb, limit.memory_mb),
                std::min(
                    settings.urgent_hole.accelerators, limit.accelerators)};
        }
    }
    auto& ledger = this->owned.ledger;
    if (limit != ledger.limit(index) || hole != ledger.hole(index)) {
        this->owned.are_limits_changed = true;
        ledger.set_limit(index, limit, hole);
    }
}

bool cell_state::is_in_quarantine(worker const& one) const
{
    return one.is_quarantined || this->now < one.quarantined_until;
}

char const* cell_state::closed_reason(worker const& one) const
{
    if (!one.is_listed) {
        return "not in the platform's list";
    }
    if (one.entry.state == formats::worker_state::leaving) {
        return "leaving";
    }
    if (one.is_draining) {
        return "drained by an operator";
    }
    if (one.is_quarantined) {
        return "quarantined by an operator";
    }
    if (this->now < one.quarantined_until) {
        return "quarantined: failed several tasks in a row";
    }
    if (one.link == worker_link::unreachable) {
        return "unreachable";
    }
    if (one.link != worker_link::adopted) {
        return "not adopted yet";
    }
    if (!one.is_joined) {
        return "its joining is not recorded yet";
    }
    if (this->now < one.refused_until) {
        return "refused a start";
    }
    return nullptr;
}

void cell_state::update_open(worker_index index)
{
    auto& target = this->owned.workers[index];
    bool const is_open = this->closed_reason(target) == nullptr;
    if (this->owned.ledger.set_open(index, is_open) && is_open) {
        this->owned.is_pass_needed = true;
    }
    if (!is_open && target.reserved_for != no_index) {
        this->drop_reservation(target.reserved_for);
    }
}

void cell_state::on(worker_ordered const& input)
{
    auto& own = this->owned;
    auto const found = own.worker_by_id.find(input.worker);
    if (found == own.worker_by_id.end()) {
        return;
    }
    auto& target = own.workers[found->second];
    switch (input.order) {
    case worker_order::drain:
        target.is_draining = true;
        break;
    case worker_order::quarantine:
        target.is_quarantined = true;
        break;
    case worker_order::release:
        target.is_draining = false;
        target.is_quarantined = false;
        target.quarantined_until = {};
        target.quarantines = 0;
        target.failures.clear();
        break;
    }
    target.next_check = this->now;
    this->log(base::event_line{"worker_ordered"}
                  .add("worker", target.id)
                  .add(
                      "reason", this->closed_reason(target) == nullptr
                                    ? "open"
                                    : this->closed_reason(target)));
    this->update_open(found->second);
    own.is_pass_needed = true;
}

void cell_state::retire_worker(worker_index index)
{
    auto& own = this->owned;
    auto& target = own.workers[index];
    if (target.is_listed || !target.runs.empty() || target.is_join_pending ||
        target.is_leave_pending) {
        return;
    }
    if (target.is_joined) {
        // A successor must read its audit until this record is durable.
        target.is_leave_pending = true;
        pending_record left;
        left.value = worker_left_record{target.id};
        left.after = follow_up::left;
        this->add_record(std::move(left));
        return;
    }
    own.ledger.set_open(index, false);
    own.ledger.set_limit(index, {}, {});
    own.worker_by_id.erase(target.id);
    target = worker{};
    own.unused_workers.push_back(index);
}

void cell_state::count_failure(
    worker_index index, live_task& task, base::instant began_at)
{
    auto& own = this->owned;
    auto& target = own.workers[index];
    // A task that failed elsewhere too says nothing about this worker.
    auto const& before = task.durable->failed_on;
    bool const has_failed_elsewhere =
        std::any_of(before.begin(), before.end(), [&](auto const& id) {
            auto const known = own.worker_by_id.find(id);
            return id != target.id &&
                   (known == own.worker_by_id.end() ||
                    !this->is_in_quarantine(own.workers[known->second]));
        });
    auto const& name = task.durable->task;
    if (has_failed_elsewhere) {
        this->exonerate(name, no_index);
        return;
    }
    if (target.quarantines > 0 && began_at <= target.quarantined_at) {
        return; // a failure of the occasion that led to the quarantine
    }
    auto& failures = target.failures;
    if (std::find(failures.begin(), failures.end(), name) != failures.end()) {
        return;
    }
    failures.push_back(name);
    if (failures.size() < this->options.failures_to_quarantine ||
        this->is_in_quarantine(target)) {
        return;
    }
    constexpr std::uint32_t most_doublings = 16;
    auto const length = std::min(
        this->options.quarantine,
        this->options.first_quarantine *
            (1LL << std::min(target.quarantines, most_doublings)));
    ++target.quarantines;
    target.quarantined_at = this->now;
    target.quarantined_until = this->now + length;
    ++this->counters.quarantines;
    this->log(base::event_line{"worker_quarantined"}
                  .add("worker", target.id)
                  .add("failed", failures.size())
                  .add("for", length));
    this->update_open(index);
}

void cell_state::exonerate(base::task_id const& task, worker_index except)
{
    auto& own = this->owned;
    for (worker_index index = 0; index < own.workers.size(); ++index) {
        auto& one = own.workers[index];
        if (index == except || std::erase(one.failures, task) == 0) {
            continue;
        }
        bool const is_cleared =
            this->now < one.quarantined_until &&
            one.failures.size() < this->options.failures_to_quarantine;
        if (is_cleared) {
            one.quarantined_until = {};
            one.quarantines -= one.quarantines > 0 ? 1 : 0;
            this->log(base::event_line{"worker_cleared"}
                          .add("worker", one.id)
                          .add("task", task)
                          .add("reason", "the task failed elsewhere too"));
            this->update_open(index);
        }
    }
}

} // namespace foxtaillift::batch
