// Log lines of call_flow.
#include "call_flow.hpp"

#include "foxtaillift/base/event_line.hpp"

#include <cstdio>

namespace foxtaillift::routing::detail
{

namespace
{

std::string describe_candidates(choice const& chosen)
{
    std::string text;
    for (std::uint32_t i = 0; i < chosen.weighed_count; ++i) {
        char cost[32];
        std::snprintf(
            cost, sizeof cost, ":%.2f",
            static_cast<double>(chosen.weighed[i].cost));
        text += text.empty() ? "" : ",";
        text += chosen.weighed[i].name();
        text += cost;
    }
    return text;
}

} // namespace

void call_flow::log_choice(
    call_environment& environment,
    choice const& chosen,
    std::uint64_t version,
    std::string_view purpose) const
{
    base::event_line line{chosen.is_forward() ? "forward" : "route"};
    line.add("call", this->attributes.call)
        .add("service", this->attributes.service)
        .add("class", to_string(this->kind))
        .add("attempt", this->attempts.size())
        .add("purpose", purpose)
        .add("candidates", describe_candidates(chosen));
    if (chosen.is_forward()) {
        line.add("choice", chosen.cell->spec.owner);
    } else {
        line.add("choice", chosen.worker->worker);
    }
    line.add("cell", chosen.cell->spec.cell)
        .add("epoch", chosen.cell->spec.epoch)
        .add("reason", chosen.reason)
        .add("config", version);
    environment.out.emplace_back(log_line{line.str()});
}

void call_flow::log_retry(
    call_environment& environment, base::duration wait) const
{
    base::event_line line{"retry"};
    line.add("call", this->attributes.call)
        .add("service", this->attributes.service)
        .add("after_attempts", this->attempts.size())
        .add("wait_ms", wait);
    environment.out.emplace_back(log_line{line.str()});
}

void call_flow::log_reply(
    call_environment& environment, reply const& what) const
{
    base::event_line line{"reply"};
    line.add("call", this->attributes.call)
        .add("service", this->attributes.service)
        .add("caller", this->attributes.caller)
        .add("status", what.status)
        .add("outcome", to_string(what.outcome))
        .add("reason", what.reason)
        .add("attempts", this->attempts.size());
    environment.out.emplace_back(log_line{line.str()});
}

} // namespace foxtaillift::routing::detail
