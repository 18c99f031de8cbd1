// Failures, retries, hedging and deadlines of call_flow.
#include "call_flow.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtaillift::routing::detail
{

void call_flow::on_failure(
    call_environment& environment,
    attempt_index attempt,
    bool is_certainly_not_run,
    call_result result)
{
    if (!this->attempts.finish(environment, attempt, result)) {
        environment.counters.late_answers += 1;
        return;
    }
    this->some_unknown = this->some_unknown || !is_certainly_not_run;
    if (this->attempts.active() > 0) {
        return;
    }
    if (this->has_replied) {
        this->end(environment, std::nullopt);
    } else if (this->may_retry(environment) && this->take_token(environment)) {
        this->schedule_retry(environment);
    } else {
        this->fail(
            environment,
            is_certainly_not_run ? "refused by the worker" : "answer lost");
    }
}

bool call_flow::may_retry(call_environment const& environment) const
{
    // A forwarded call is retried by the host that received it from the
    // caller, never here as well.
    if (this->attributes.is_forwarded || this->has_replied ||
        this->attempts.size() >= environment.options.retries.max_attempts) {
        return false;
    }
    auto const run = static_cast<std::int64_t>(std::ceil(this->typical_ms));
    bool const has_time =
        environment.now + base::duration{std::max(run, std::int64_t{1})} <
        this->attributes.deadline;
    bool const is_safe = this->attributes.is_idempotent ||
                         (!this->some_unknown && !this->some_ran);
    return has_time && is_safe;
}

bool call_flow::take_token(call_environment& environment) const
{
    snapshot_reader const snapshot{environment.table};
    auto const* service = snapshot->find_service(this->attributes.service);
    bool const is_taken =
        service != nullptr && take_retry_token(environment, *service);
    environment.counters.retries_denied += is_taken ? 0 : 1;
    return is_taken;
}

void call_flow::schedule_retry(call_environment& environment)
{
    this->retries += 1;
    auto const wait = backoff_before(
        environment.options.retries, this->retries, environment.random);
    this->retry_at = environment.now + wait;
    this->current = step::backing_off;
    this->log_retry(environment, wait);
    this->set_timer(environment);
}

void call_flow::on_deadline(call_environment& environment)
{
    if (this->attempts.active() > 0) {
        this->some_unknown = true;
        this->report_overdue(environment);
        this->attempts.cancel_all(environment, this->handle_number);
    }
    environment.queues.cancel(this->handle_number);
    this->answer(
        environment, {.status = 504,
                      .outcome = this->outcome(),
                      .reason = "deadline passed"});
    if (this->current != step::claiming) {
        this->end(environment, std::nullopt);
    }
}

void call_flow::report_overdue(call_environment& environment)
{
    // Deadlines are the callers' choice: a short one says nothing about the
    // worker, but an attempt far beyond the usual run time does.
    auto const limit = base::duration{static_cast<std::int64_t>(std::ceil(
        environment.options.retries.hedge_factor *
        std::max(this->typical_ms, 1.0)))};
    for (attempt_index i = 0; i < this->attempts.size(); ++i) {
        if (this->attempts.is_active(i) && this->typical_ms > 0 &&
            environment.now - this->attempts.at(i).started > limit) {
            this->attempts.finish(environment, i, call_result::error);
            environment.out.emplace_back(
                cancel_attempt{this->handle_number, i});
        }
    }
}

void call_flow::hedge(call_environment& environment)
{
    auto const& settings = environment.options.retries;
    if (!settings.is_hedging || this->has_hedged ||
        !this->attributes.is_idempotent || this->kind == run_class::long_call ||
        !this->may_retry(environment)) {
        return;
    }
    this->has_hedged = true;
    snapshot_reader const snapshot{environment.table};
    auto const* service = snapshot->find_service(this->attributes.service);
    // A hedge never takes a slot that a waiting call could have.
    if (service == nullptr ||
        environment.queues.waiting(this->attributes.service) > 0) {
        return;
    }
    auto chosen = this->attempts.choose(
        environment, *snapshot, *service, this->kind, nullptr);
    if (!chosen || !take_retry_token(environment, *service)) {
        if (chosen.is_forward()) {
            chosen.cell->load->count_answered();
        }
        return;
    }
    environment.counters.hedged += 1;
    this->log_choice(
        environment, chosen, snapshot->configuration_version, "hedge");
    this->begin_attempt(environment, std::move(chosen));
}

} // namespace foxtaillift::routing::detail
