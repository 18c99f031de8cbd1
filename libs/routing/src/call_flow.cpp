#include "call_flow.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace foxtaillift::routing::detail
{

call_flow::call_flow(call_handle call, call_attributes from)
    : handle_number(call)
    , attributes(std::move(from))
    , attempts(this->attributes)
{}

void call_flow::arrive(call_environment& environment, std::string id)
{
    environment.counters.arrived += 1;
    auto const& service = this->attributes.service;
    this->kind = environment.classes.classify(service, this->attributes.path);
    this->typical_ms =
        environment.classes.typical_ms(service, this->attributes.path);
    {
        snapshot_reader const snapshot{environment.table};
        auto const* view = snapshot->find_service(service);
        if (view == nullptr) {
            this->refuse(environment, refusal::no_worker);
            return;
        }
        environment.queues.set_order(
            service,
            view->options.order.value_or(environment.options.queues.order));
        if (!this->attributes.is_forwarded) {
            view->load->retries.deposit(
                budget_share(environment, *view),
                environment.options.retries.budget_capacity);
        }
    }
    bool const is_claimed = !this->attributes.key.empty() &&
                            !this->attributes.is_idempotent &&
                            !this->attributes.is_forwarded;
    // Checked before the claim, so that an overload causes no store writes.
    auto const why =
        environment.queues.check(this->as_waiting(), environment.now);
    if (why != refusal::none) {
        this->refuse(environment, why);
    } else if (is_claimed) {
        this->operation = std::move(id);
        this->claim.emplace(this->operation);
        this->set_timer(environment);
        this->perform(environment, this->claim->start());
    } else {
        this->enter(environment);
    }
}

waiting_call call_flow::as_waiting() const
{
    return {
        .call = this->handle_number,
        .service = this->attributes.service,
        .caller = this->attributes.caller,
        .kind = this->kind,
        .deadline = this->attributes.deadline,
        .typical_ms = this->typical_ms};
}

void call_flow::perform(call_environment& environment, claim_action action)
{
    if (std::holds_alternative<std::monostate>(action)) {
        if (this->claim->is_done() && this->has_replied) {
            environment.counters.outcomes_lost +=
                this->claim->is_outcome_lost() ? 1 : 0;
            this->current = step::done;
        }
    } else if (std::holds_alternative<claim_dispatch>(action)) {
        if (this->has_replied) {
            this->end(environment, std::nullopt);
        } else {
            this->enter(environment);
        }
    } else if (auto* stored = std::get_if<claim_reply_stored>(&action)) {
        this->answer(
            environment, {.status = stored->answer.status,
                          .outcome = call_outcome::ran,
                          .reason = "stored answer",
                          .stored = std::move(stored->answer)});
        this->current = step::done;
    } else if (std::holds_alternative<claim_reply_conflict>(action)) {
        this->answer(
            environment, {.status = 409,
                          .outcome = call_outcome::unknown,
                          .reason = "key in progress or unknown"});
        this->current = step::done;
    } else if (auto const* refused = std::get_if<claim_refuse>(&action)) {
        this->answer(
            environment, {.status = 503,
                          .outcome = call_outcome::not_run,
                          .reason = refused->reason,
                          .retry_after = environment.queues.retry_after(
                              this->attributes.service)});
        this->current = step::done;
    } else {
        environment.out.emplace_back(claim_work{
            this->handle_number, std::move(action), this->operation});
    }
}

void call_flow::handle(call_environment& environment, claim_result const& event)
{
    if (this->claim) {
        this->perform(environment, this->claim->handle(event.result));
    }
}

void call_flow::enter(call_environment& environment)
{
    auto const& service = this->attributes.service;
    if (environment.queues.is_open(service, this->kind) &&
        this->try_start(environment)) {
        return;
    }
    if (this->has_replied) {
        return;
    }
    auto const why = environment.queues.enter(
        this->as_waiting(), environment.now, environment.pushed_out);
    if (why != refusal::none) {
        this->refuse(environment, why);
        return;
    }
    this->current = step::waiting;
}

bool call_flow::try_start(
    call_environment& environment, base::worker_id const* released)
{
    snapshot_reader const snapshot{environment.table};
    auto const* service = snapshot->find_service(this->attributes.service);
    if (service == nullptr ||
        (service->workers.empty() &&
         (service->cells.empty() || this->attributes.is_forwarded))) {
        environment.queues.cancel(this->handle_number);
        this->refuse(environment, refusal::no_worker);
        return false;
    }
    auto chosen = this->attempts.choose(
        environment, *snapshot, *service, this->kind, released);
    if (!chosen) {
        return false;
    }
    bool const is_first = this->attempts.size() == 0;
    auto& counters = environment.counters;
    if (is_first) {
        (chosen.is_forward() ? counters.forwarded : counters.dispatched) += 1;
    } else {
        counters.retried += 1;
    }
    this->log_choice(
        environment, chosen, snapshot->configuration_version,
        is_first ? "first" : "retry");
    this->begin_attempt(environment, std::move(chosen));
    return true;
}

void call_flow::begin_attempt(call_environment& environment, choice chosen)
{
    this->attempts.start(environment, std::move(chosen), this->handle_number);
    this->current = step::running;
    auto const& settings = environment.options.retries;
    auto const wait = std::max(
        settings.hedge_at_least.ms,
        static_cast<std::int64_t>(
            std::ceil(settings.hedge_factor * this->typical_ms)));
    this->hedge_at = environment.now + base::duration{wait};
    this->long_at = environment.now +
                    environment.classes.long_after(this->attributes.service);
    this->set_timer(environment);
}

void call_flow::handle(
    call_environment& environment, dispatch_failed const& event)
{
    this->on_failure(
        environment, event.attempt, !event.may_have_left, call_result::error);
}

void call_flow::handle(
    call_environment& environment, attempt_refused const& event)
{
    this->on_failure(environment, event.attempt, true, call_result::refused);
}

void call_flow::handle(
    call_environment& environment, answer_broken const& event)
{
    this->on_failure(environment, event.attempt, false, call_result::error);
}

void call_flow::handle(
    call_environment& environment, answer_complete const& event)
{
    if (!this->attempts.is_active(event.attempt)) {
        environment.counters.late_answers += 1;
        return;
    }
    bool const is_error = event.answer.status >= 500;
    this->attempts.finish(
        environment, event.attempt,
        is_error ? call_result::error : call_result::success);
    this->some_ran = true;
    if (is_error && this->attributes.is_idempotent) {
        if (this->attempts.active() > 0) {
            return;
        }
        if (this->may_retry(environment) && this->take_token(environment)) {
            this->schedule_retry(environment);
            return;
        }
    }
    this->attempts.cancel_all(environment, this->handle_number);
    this->answer(
        environment, {.status = event.answer.status,
                      .outcome = call_outcome::ran,
                      .reason = "answered",
                      .answer_of = event.attempt});
    this->end(environment, event.answer);
}

void call_flow::fail(call_environment& environment, std::string_view reason)
{
    auto const how = this->outcome();
    bool const is_not_run = how == call_outcome::not_run;
    this->answer(
        environment,
        {.status = static_cast<std::uint16_t>(is_not_run ? 503 : 502),
         .outcome = how,
         .reason = reason,
         .retry_after = is_not_run ? environment.queues.retry_after(
                                         this->attributes.service)
                                   : base::duration{}});
    this->end(environment, std::nullopt);
}

void call_flow::refuse(call_environment& environment, refusal why)
{
    auto const how = this->outcome();
    bool const is_late = why == refusal::deadline;
    this->answer(
        environment,
        {.status = static_cast<std::uint16_t>(
             how != call_outcome::not_run ? 502 : (is_late ? 504 : 503)),
         .outcome = how,
         .reason = to_string(why),
         .retry_after =
             environment.queues.retry_after(this->attributes.service)});
    this->end(environment, std::nullopt);
}

void call_flow::handle(call_environment& environment, timer_expired const&)
{
    this->timer.reset();
    auto const now = environment.now;
    if (now >= this->attributes.deadline && this->current != step::finishing) {
        this->on_deadline(environment);
        return;
    }
    if (this->current == step::backing_off && now >= this->retry_at) {
        this->enter(environment);
        return;
    }
    if (this->current == step::running) {
        this->attempts.mark_long(
            now, environment.classes.long_after(this->attributes.service));
        if (now >= this->hedge_at) {
            this->hedge(environment);
        }
    }
    this->set_timer(environment);
}

void call_flow::set_timer(call_environment& environment)
{
    auto next = this->attributes.deadline;
    if (this->current == step::backing_off) {
        next = std::min(next, this->retry_at);
    } else if (this->current == step::running) {
        for (auto const when : {this->hedge_at, this->long_at}) {
            if (when > environment.now) {
                next = std::min(next, when);
            }
        }
    }
    bool const is_timed =
        this->current != step::finishing && this->current != step::done;
    if (is_timed && this->timer != next) {
        this->timer = next;
        environment.out.emplace_back(wait_until{this->handle_number, next});
    }
}

void call_flow::handle(call_environment& environment, caller_gone const&)
{
    if (this->has_replied) {
        return;
    }
    this->has_replied = true;
    environment.queues.cancel(this->handle_number);
    if (this->current == step::claiming) {
        return;
    }
    if (this->claim && this->attempts.active() > 0) {
        // The outcome still has to be stored under the key.
        return;
    }
    this->some_unknown = this->some_unknown || this->attempts.active() > 0;
    this->attempts.cancel_all(environment, this->handle_number);
    this->end(environment, std::nullopt);
}

call_outcome call_flow::outcome() const
{
    if (this->some_unknown) {
        return call_outcome::unknown;
    }
    return this->some_ran ? call_outcome::ran : call_outcome::not_run;
}

void call_flow::answer(call_environment& environment, reply what)
{
    if (std::exchange(this->has_replied, true)) {
        return;
    }
    auto& counters = environment.counters;
    (what.outcome == call_outcome::ran       ? counters.ran
     : what.outcome == call_outcome::not_run ? counters.not_run
                                             : counters.unknown) += 1;
    what.call = this->handle_number;
    this->log_reply(environment, what);
    environment.out.emplace_back(std::move(what));
}

void call_flow::end(
    call_environment& environment, std::optional<stored_answer> answer)
{
    if (!this->claim || !this->claim->is_held()) {
        this->current = step::done;
        return;
    }
    this->current = step::finishing;
    if (answer) {
        this->perform(environment, this->claim->finish(std::move(*answer)));
    } else if (this->outcome() == call_outcome::not_run) {
        this->perform(environment, this->claim->abandon());
    } else {
        this->claim->leave_unknown();
        this->current = step::done;
    }
}

} // namespace foxtaillift::routing::detail
