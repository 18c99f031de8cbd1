#include "foxtaillift/routing/call_router.hpp"

#include "call_flow.hpp"

#include "foxtaillift/base/error.hpp"

#include <type_traits>
#include <unordered_map>

namespace foxtaillift::routing
{

using detail::call_environment;
using detail::call_flow;

struct call_router::state
{
    state(
        routing_table const& shared_table,
        run_time_classes& shared_classes,
        health_monitor& shared_health,
        base::random_engine engine,
        call_router_options const& from)
        : table(shared_table)
        , classes(shared_classes)
        , health(shared_health)
        , random(engine)
        , options(from)
        , queues(from.queues)
        , policy(from.policy, from.choice)
    {}

    call_environment
    environment(base::instant now, std::vector<call_action>& out)
    {
        return {
            .table = this->table,
            .classes = this->classes,
            .health = this->health,
            .queues = this->queues,
            .policy = this->policy,
            .random = this->random,
            .options = this->options,
            .counters = this->counters,
            .out = out,
            .now = now,
            .pushed_out = this->pushed_out,
            .released = this->released};
    }

    void arrive(call_environment& environment, call_arrived const& event)
    {
        if (this->flows.contains(event.call)) {
            throw base::error{
                base::error_code::invalid_argument,
                "call handle " + std::to_string(event.call) + " is in use"};
        }
        if (this->flows.size() >= this->options.max_calls) {
            this->refuse_at_bound(environment, event);
            return;
        }
        auto flow = std::make_unique<call_flow>(event.call, event.attributes);
        auto& added = *flow;
        this->flows.emplace(event.call, std::move(flow));
        added.arrive(environment, event.operation);
        this->remove_if_done(environment, event.call);
    }

    void
    refuse_at_bound(call_environment& environment, call_arrived const& event)
    {
        this->counters.arrived += 1;
        this->counters.not_run += 1;
        environment.out.emplace_back(reply{
            .call = event.call,
            .status = 503,
            .outcome = call_outcome::not_run,
            .reason = "too many calls in progress",
            .retry_after = this->options.queues.retry_after_least});
        environment.out.emplace_back(call_ended{event.call});
    }

    template <class Event>
    void pass_on(call_environment& environment, Event const& event)
    {
        auto const found = this->flows.find(event.call);
        if (found == this->flows.end()) {
            this->counters.late_answers += 1;
            return;
        }
        found->second->handle(environment, event);
        this->remove_if_done(environment, event.call);
    }

    void remove_if_done(call_environment& environment, call_handle call)
    {
        auto const found = this->flows.find(call);
        if (found != this->flows.end() && found->second->is_done()) {
            this->flows.erase(found);
            environment.out.emplace_back(call_ended{call});
        }
    }

    /// Carries out what the last event left behind: refuses calls that were
    /// pushed out and gives released slots to waiting calls.
    void settle(call_environment& environment)
    {
        while (!this->pushed_out.empty() || !this->released.empty()) {
            if (!this->pushed_out.empty()) {
                auto const call = this->pushed_out.back();
                this->pushed_out.pop_back();
                this->refuse(environment, call, refusal::pushed_out);
                continue;
            }
            auto const worker = this->released.back();
            this->released.pop_back();
            if (this->queues.waiting() > 0) {
                this->hand_over(environment, worker);
            }
        }
    }

    void refuse(call_environment& environment, call_handle call, refusal why)
    {
        auto const found = this->flows.find(call);
        if (found != this->flows.end()) {
            found->second->refuse(environment, why);
            this->remove_if_done(environment, call);
        }
    }

    /// One free slot of `worker` goes to the first waiting call, in the order
    /// of the services' turns, that may use it.
    void hand_over(call_environment& environment, base::worker_id const& worker)
    {
        this->scratch.clear();
        this->queues.waiting_services(this->scratch);
        for (auto const& service : this->scratch) {
            if (!this->offers(worker, service)) {
                continue;
            }
            for (auto kind : this->next_kinds()) {
                if (this->start_next(environment, service, kind, &worker)) {
                    return;
                }
            }
        }
    }

    /// Classes take turns, so that neither starves the other.
    std::array<run_class, 2> next_kinds()
    {
        this->is_long_turn = !this->is_long_turn;
        return this->is_long_turn
                   ? std::array{run_class::long_call, run_class::short_call}
                   : std::array{run_class::short_call, run_class::long_call};
    }

    bool
    offers(base::worker_id const& worker, base::service_id const& service) const
    {
        snapshot_reader const snapshot{this->table};
        auto const* view = snapshot->find_worker(worker);
        if (view == nullptr) {
            return false;
        }
        for (auto const* offered : view->services) {
            if (offered->service == service) {
                return true;
            }
        }
        return false;
    }

    /// True if a waiting call of the service and class got a slot.
    bool start_next(
        call_environment& environment,
        base::service_id const& service,
        run_class kind,
        base::worker_id const* worker)
    {
        auto const call = this->queues.peek(service, kind);
        if (!call) {
            return false;
        }
        bool const is_started =
            this->flows.at(*call)->try_start(environment, worker);
        if (is_started) {
            this->queues.take(service, kind, environment.now);
        }
        this->remove_if_done(environment, *call);
        return is_started;
    }

    /// Rounds over all services with waiting calls; each gets one slot a
    /// round until none gets one.
    void start_waiting(call_environment& environment)
    {
        bool is_progress = true;
        while (is_progress && this->queues.waiting() > 0) {
            is_progress = false;
            this->scratch.clear();
            this->queues.waiting_services(this->scratch);
            for (auto const& service : this->scratch) {
                for (auto kind : this->next_kinds()) {
                    is_progress |=
                        this->start_next(environment, service, kind, nullptr);
                }
            }
        }
    }

    void expire(call_environment& environment)
    {
        this->expired.clear();
        this->queues.expire(environment.now, this->expired);
        for (auto call : this->expired) {
            this->refuse(environment, call, refusal::deadline);
        }
    }

    routing_table const& table;
    run_time_classes& classes;
    health_monitor& health;
    base::random_engine random;
    call_router_options options;
    admission queues;
    detail::any_policy policy;
    call_counters counters;
    std::unordered_map<call_handle, std::unique_ptr<call_flow>> flows;
    std::vector<call_handle> pushed_out;
    std::vector<base::worker_id> released;
    std::vector<call_handle> expired;
    std::vector<base::service_id> scratch;
    bool is_long_turn = false;
};

call_router::call_router(
    routing_table const& table,
    run_time_classes& classes,
    health_monitor& health,
    base::random_engine random,
    call_router_options options)
    : self(std::make_unique<state>(table, classes, health, random, options))
{}

call_router::~call_router() = default;

void call_router::handle(
    call_event const& event, base::instant now, std::vector<call_action>& out)
{
    auto environment = this->self->environment(now, out);
    std::visit(
        [&](auto const& specific) {
            if constexpr (std::is_same_v<
                              std::decay_t<decltype(specific)>, call_arrived>) {
                this->self->arrive(environment, specific);
            } else {
                this->self->pass_on(environment, specific);
            }
        },
        event);
    this->self->settle(environment);
}

void call_router::poll(base::instant now, std::vector<call_action>& out)
{
    auto environment = this->self->environment(now, out);
    this->self->expire(environment);
    this->self->start_waiting(environment);
    this->self->settle(environment);
}

std::uint32_t call_router::waiting() const
{
    return this->self->queues.waiting();
}

std::uint32_t call_router::waiting(base::service_id const& service) const
{
    return this->self->queues.waiting(service);
}

std::size_t call_router::calls_in_progress() const
{
    return this->self->flows.size();
}

call_counters call_router::counters() const
{
    return this->self->counters;
}

admission_counters call_router::queue_counters() const
{
    return this->self->queues.counters();
}

} // namespace foxtaillift::routing
