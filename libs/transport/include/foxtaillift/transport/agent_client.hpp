/// Requests to the agents of workers over an HTTP pool.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/formats/worker_agent.hpp"
#include "foxtaillift/transport/http_client_pool.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace foxtaillift::transport
{

template <class Answer>
struct agent_result
{
    formats::agent_status status = formats::agent_status::unknown;
    Answer answer{};                 ///< meaningful only if `done`
    formats::epoch_number epoch = 0; ///< `stale_epoch`: the agent's epoch
    /// False if no byte reached the agent; the status is `refused` then.
    bool is_sent = true;
    std::string message{}; ///< reason if not `done`
};

template <class Answer>
using agent_callback = std::function<void(agent_result<Answer>)>;

/// What a runs_request asks for.
enum class runs_action
{
    renew,
    throttle,
    checkpoint,
    stop,
    acknowledge,
};

std::string_view to_string(runs_action action);

/// Sends each request once. 412 is `stale_epoch`, 507 `insufficient_capacity`;
/// another status with `Foxtail-Outcome: not-run`, or a request that was not
/// sent, is `refused`. Everything else without a readable 200 is `unknown`.
///
/// Safe from any thread. The pool must outlive the client.
class agent_client
{
public:
    agent_client(http_client_pool& client_pool, base::duration request_timeout);

    void async_adopt(
        std::string_view address,
        formats::adopt_request const& message,
        agent_callback<formats::adopt_answer> callback);

    /// The answer is the state of the run; a repeated start of a known attempt
    /// starts nothing and returns the state of the existing run.
    void async_start(
        std::string_view address,
        formats::start_request const& message,
        agent_callback<formats::run_entry> callback);

    void async_runs(
        std::string_view address,
        runs_action action,
        formats::runs_request const& message,
        agent_callback<formats::runs_answer> callback);

    void async_report(
        std::string_view address,
        agent_callback<formats::usage_report> callback);

    /// The worker's audit, without raising its epoch.
    void async_audit(
        std::string_view address,
        agent_callback<formats::adopt_answer> callback);

private:
    template <class Answer>
    void send(
        std::string_view address,
        request message,
        agent_callback<Answer> callback);

    http_client_pool& pool;
    base::duration timeout;
};

} // namespace foxtaillift::transport
