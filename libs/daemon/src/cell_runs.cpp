// Starts and other requests about runs, under the leases that they may get.
#include "cell_driver.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

transport::runs_action to_transport(batch::runs_verb verb)
{
    switch (verb) {
    case batch::runs_verb::renew:
        return transport::runs_action::renew;
    case batch::runs_verb::throttle:
        return transport::runs_action::throttle;
    case batch::runs_verb::checkpoint:
        return transport::runs_action::checkpoint;
    case batch::runs_verb::stop:
        return transport::runs_action::stop;
    case batch::runs_verb::acknowledge:
        break;
    }
    return transport::runs_action::acknowledge;
}

} // namespace

void cell_driver::perform(batch::start_run action)
{
    auto& message = action.message;
    auto const lease = this->services.run_lease();
    if (lease.ms == 0) {
        // Not sent, so that the task waits and may be moved or started later.
        this->services.shared.post_control(this->guarded(
            [this, request = action.request, worker = action.worker,
             task = message.task, attempt = message.attempt] {
                this->handle(batch::start_answered{
                    request,
                    worker,
                    task,
                    attempt,
                    formats::agent_status::refused,
                    {}});
            }));
        return;
    }
    message.lease_ms = std::min(message.lease_ms, lease.ms);
    this->services.agents.async_start(
        this->address_of(action.worker), message,
        this->guarded([this, request = action.request, worker = action.worker,
                       task = message.task, attempt = message.attempt](
                          transport::agent_result<formats::run_entry> result) {
            batch::start_answered event{request, worker,        task,
                                        attempt, result.status, {}};
            if (result.status == formats::agent_status::done) {
                event.run = std::move(result.answer);
            }
            this->handle(event);
        }));
}

void cell_driver::perform(batch::runs_command action)
{
    auto const lease = this->services.run_lease();
    bool const is_renewal = action.verb == batch::runs_verb::renew;
    if (is_renewal && lease.ms == 0) {
        this->services.shared.post_control(this->guarded(
            [this, request = action.request, worker = action.worker] {
                this->handle(batch::runs_answered{
                    request, worker, formats::agent_status::unknown, {}});
            }));
        return;
    }
    if (is_renewal) {
        action.message.lease_ms = std::min(action.message.lease_ms, lease.ms);
    }
    this->services.agents.async_runs(
        this->address_of(action.worker), to_transport(action.verb),
        action.message,
        this->guarded(
            [this, request = action.request, worker = action.worker](
                transport::agent_result<formats::runs_answer> result) {
                // Only an agent that answers can refuse; one that cannot be
                // reached counts as silent, or its leases would never end.
                auto const status = result.is_sent
                                        ? result.status
                                        : formats::agent_status::unknown;
                this->handle(batch::runs_answered{
                    request, worker, status, std::move(result.answer.runs)});
            }));
}

} // namespace foxtaillift::daemon
