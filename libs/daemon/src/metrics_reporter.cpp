#include "metrics_reporter.hpp"

#include "foxtaillift/batch/cell_query.hpp"

namespace foxtaillift::daemon
{

metrics_reporter::metrics_reporter(metrics_sources const& used)
    : sources(used)
{}

void metrics_reporter::set(
    char const* name, char const* help, std::uint64_t value)
{
    this->sources.shared.metrics.gauge_of(name, help)
        .set(static_cast<std::int64_t>(value));
}

void metrics_reporter::update()
{
    this->update_calls();
    this->update_batch();
    this->update_store();
    this->update_cluster();
    this->set(
        "foxtail_log_lines_dropped", "Log lines dropped for a slow reader.",
        this->sources.shared.log.dropped());
}

void metrics_reporter::update_calls()
{
    auto const counters = this->sources.calls.counters();
    this->set(
        "foxtail_calls_arrived", "Calls that arrived, forwarded ones included.",
        counters.arrived);
    this->set(
        "foxtail_calls_dispatched", "First attempts sent to own workers.",
        counters.dispatched);
    this->set(
        "foxtail_calls_forwarded", "First attempts sent to peers.",
        counters.forwarded);
    this->set("foxtail_calls_retried", "Further attempts.", counters.retried);
    this->set("foxtail_calls_hedged", "Second tries.", counters.hedged);
    this->set(
        "foxtail_retries_denied", "Retries that the budget refused.",
        counters.retries_denied);
    this->set("foxtail_calls_ran", "Replies with outcome ran.", counters.ran);
    this->set(
        "foxtail_calls_not_run", "Replies with outcome not-run.",
        counters.not_run);
    this->set(
        "foxtail_calls_unknown", "Replies with outcome unknown.",
        counters.unknown);
    this->set(
        "foxtail_late_answers", "Answers dropped because they came late.",
        counters.late_answers);
    this->set(
        "foxtail_claims_open", "Claims whose outcome could not be stored.",
        counters.outcomes_lost);
    this->set(
        "foxtail_workers_ejected", "Ejections of workers.", counters.ejected);
    this->set(
        "foxtail_calls_waiting", "Calls that wait for a slot.",
        this->sources.calls.waiting());
    auto const pool = this->sources.calls.upstreams();
    this->set(
        "foxtail_upstream_connections", "Open connections to upstreams.",
        pool.connections_open);
    this->set(
        "foxtail_upstream_broken_answers",
        "Answers of upstreams that ended early or were malformed.",
        pool.broken_answers);
}

void metrics_reporter::update_batch()
{
    batch::cell_counters total;
    std::uint64_t tasks = 0;
    std::uint64_t running = 0;
    for (auto const& [cell, driver] : this->sources.cells.all()) {
        auto const& part = batch::counters_of(driver->state());
        auto const summary = batch::summarize(driver->state());
        tasks += summary.tasks;
        running += summary.running;
        total.placements += part.placements;
        total.evictions += part.evictions;
        total.throttles += part.throttles;
        total.discarded_work_ms += part.discarded_work_ms;
        total.lost_runs += part.lost_runs;
        total.late_completions += part.late_completions;
        total.overdrafts_refused += part.overdrafts_refused;
        total.quarantines += part.quarantines;
    }
    this->set("foxtail_tasks", "Unfinished tasks of own cells.", tasks);
    this->set("foxtail_tasks_running", "Running tasks of own cells.", running);
    this->set("foxtail_placements", "Tasks placed.", total.placements);
    this->set("foxtail_evictions", "Tasks evicted.", total.evictions);
    this->set("foxtail_throttles", "Tasks throttled.", total.throttles);
    this->set(
        "foxtail_discarded_work_ms", "Run time lost since checkpoints.",
        total.discarded_work_ms);
    this->set(
        "foxtail_lost_runs", "Runs given up with an unreachable worker.",
        total.lost_runs);
    this->set(
        "foxtail_late_completions", "Completions of superseded attempts.",
        total.late_completions);
    this->set(
        "foxtail_overdrafts_refused", "Commitments refused by the ledger.",
        total.overdrafts_refused);
    this->set(
        "foxtail_quarantines", "Workers quarantined for failing tasks.",
        total.quarantines);
}

void metrics_reporter::update_store()
{
    auto const store = this->sources.store.statistics();
    this->set(
        "foxtail_store_transactions", "Transactions sent.", store.transactions);
    this->set("foxtail_store_records", "Submissions committed.", store.records);
    this->set(
        "foxtail_store_unknown_outcomes", "Transactions without an answer.",
        store.unknown_outcomes);
    this->set(
        "foxtail_store_conflicts", "Submissions with a false condition.",
        store.conflicts);
    this->set(
        "foxtail_store_rejected_full", "Submissions rejected by the bound.",
        store.rejected_full);
    this->set("foxtail_store_queued", "Waiting submissions.", store.queued);
    this->set(
        "foxtail_store_circuit_open", "1 while the store is not used.",
        store.circuit == store::circuit_state::closed ? 0 : 1);
}

void metrics_reporter::update_cluster()
{
    auto const& ownership = this->sources.ownership.state();
    auto const& membership = this->sources.membership.state();
    this->set("foxtail_cells", "Owned cells.", ownership.owned().size());
    this->set(
        "foxtail_members", "Live entry hosts, this one included.",
        membership.members().size() + 1);
    this->set(
        "foxtail_takeovers", "Cells taken over.",
        ownership.statistics().takeovers);
    this->set(
        "foxtail_times_fenced", "Times that this host lost its lease.",
        ownership.statistics().times_fenced);
    this->set(
        "foxtail_heartbeats_sent", "Heartbeats sent.",
        membership.statistics().sent);
    this->set(
        "foxtail_configuration_version", "Configuration in force.",
        this->sources.configuration.state().document().version());
}

} // namespace foxtaillift::daemon
