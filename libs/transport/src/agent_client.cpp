#include "foxtaillift/transport/agent_client.hpp"

#include "json_body.hpp"

#include <utility>

namespace foxtaillift::transport
{

namespace
{

using formats::agent_status;

formats::epoch_number read_epoch(response const& answer)
{
    std::string ignored;
    return read_json(
               answer,
               [](nlohmann::json const& body) {
                   return body.at("epoch").get<formats::epoch_number>();
               },
               ignored)
        .value_or(0);
}

agent_status status_of(response const& answer)
{
    switch (answer.status) {
    case 412:
        return agent_status::stale_epoch;
    case 507:
        return agent_status::insufficient_capacity;
    default:
        return states_not_run(answer) ? agent_status::refused
                                      : agent_status::unknown;
    }
}

template <class Answer>
agent_result<Answer> read_result(exchange_result const& result)
{
    agent_result<Answer> out;
    if (result.outcome != delivery::answered) {
        out.is_sent = result.outcome != delivery::not_sent;
        out.status =
            out.is_sent ? agent_status::unknown : agent_status::refused;
        out.message =
            std::string{to_string(result.reason)} + ": " + result.message;
        return out;
    }
    auto const& answer = result.answer;
    if (answer.status != 200) {
        out.status = status_of(answer);
        out.message = describe(answer);
        if (out.status == agent_status::stale_epoch) {
            out.epoch = read_epoch(answer);
        }
        return out;
    }
    auto value = read_json(
        answer, [](nlohmann::json const& body) { return body.get<Answer>(); },
        out.message);
    if (value) {
        out.status = agent_status::done;
        out.answer = std::move(*value);
    }
    return out;
}

} // namespace

std::string_view to_string(runs_action action)
{
    switch (action) {
    case runs_action::renew:
        return "renew";
    case runs_action::throttle:
        return "throttle";
    case runs_action::checkpoint:
        return "checkpoint";
    case runs_action::stop:
        return "stop";
    case runs_action::acknowledge:
        return "acknowledge";
    }
    return "invalid";
}

agent_client::agent_client(
    http_client_pool& client_pool, base::duration request_timeout)
    : pool(client_pool)
    , timeout(request_timeout)
{}

template <class Answer>
void agent_client::send(
    std::string_view address, request message, agent_callback<Answer> callback)
{
    this->pool.send(
        address, std::move(message), this->timeout,
        [callback = std::move(callback)](exchange_result const& result) {
            callback(read_result<Answer>(result));
        });
}

void agent_client::async_adopt(
    std::string_view address,
    formats::adopt_request const& message,
    agent_callback<formats::adopt_answer> callback)
{
    this->send(
        address, make_json_request("/v1/adopt", message), std::move(callback));
}

void agent_client::async_start(
    std::string_view address,
    formats::start_request const& message,
    agent_callback<formats::run_entry> callback)
{
    this->send(
        address, make_json_request("/v1/tasks/start", message),
        std::move(callback));
}

void agent_client::async_runs(
    std::string_view address,
    runs_action action,
    formats::runs_request const& message,
    agent_callback<formats::runs_answer> callback)
{
    auto const target = "/v1/tasks/" + std::string{to_string(action)};
    this->send(
        address, make_json_request(target, message), std::move(callback));
}

void agent_client::async_report(
    std::string_view address, agent_callback<formats::usage_report> callback)
{
    this->send(address, {.target = "/v1/report"}, std::move(callback));
}

void agent_client::async_audit(
    std::string_view address, agent_callback<formats::adopt_answer> callback)
{
    this->send(address, {.target = "/v1/audit"}, std::move(callback));
}

} // namespace foxtaillift::transport
