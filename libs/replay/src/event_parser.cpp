#include "event_parser.hpp"

#include "foxtaillift/formats/member_reader.hpp"

#include <nlohmann/json.hpp>

#include <initializer_list>
#include <utility>

namespace foxtaillift::replay
{

using formats::member_reader;
using nlohmann::json;

namespace
{

[[noreturn]] void refuse(std::string const& reason)
{
    throw base::error(base::error_code::invalid_argument, reason);
}

void check_share(std::optional<double> const& share, char const* what)
{
    if (share && (*share < 0 || *share > 1)) {
        refuse(std::string{what} + " is not between 0 and 1");
    }
}

void check_factor(std::optional<double> const& factor, char const* what)
{
    if (factor && (*factor <= 0 || *factor > 1000)) {
        refuse(std::string{what} + " is not above 0 and at most 1000");
    }
}

template <class Number>
void check_time(std::optional<Number> const& ms, char const* what)
{
    if (ms && (*ms < 1 || *ms > 600'000)) {
        refuse(std::string{what} + " is not between 1 and 600000");
    }
}

template <class Value>
Value choose(
    std::string const& text,
    std::initializer_list<std::pair<char const*, Value>> allowed)
{
    std::string names;
    for (auto const& [name, value] : allowed) {
        if (text == name) {
            return value;
        }
        names.append(names.empty() ? "" : ", ").append(name);
    }
    refuse("found '" + text + "'; allowed: " + names);
}

event_body parse_workers(member_reader& in)
{
    json list;
    in.require("workers", list);
    workers_change change{list.get<std::vector<formats::worker_entry>>()};
    for (auto const& entry : change.workers) {
        if (entry.worker.empty() || entry.slots < 1 || entry.slots > 1000) {
            refuse("a worker has no name or not 1 to 1000 slots");
        }
    }
    return change;
}

event_body parse_submission(member_reader& in)
{
    json spec;
    std::int64_t real_run_ms = 0;
    bool is_failing = false;
    in.require("spec", spec)
        .read("real_run_ms", real_run_ms)
        .read("is_failing", is_failing);
    submission wanted{spec.get<batch::task_spec>()};
    if (wanted.spec.key.empty() || wanted.spec.key.back() == '*') {
        refuse("the key of a task is empty or ends with '*'");
    }
    if (real_run_ms == 0) {
        real_run_ms = wanted.spec.run_ms;
    }
    if (real_run_ms <= 0) {
        refuse("a task needs real_run_ms or a declared run_ms above 0");
    }
    wanted.spec.payload = is_failing ? "fail" : std::to_string(real_run_ms);
    return wanted;
}

event_body parse_cancellation(member_reader& in)
{
    cancellation wanted;
    in.require("task", wanted.task);
    return wanted;
}

event_body parse_worker(member_reader& in)
{
    worker_change change;
    std::string name;
    in.require("worker", name)
        .read("is_up", change.is_up)
        .read("is_reachable", change.is_reachable)
        .read("fails_everything", change.fails_everything)
        .read("loses_answers", change.loses_answers)
        .read("call_slowdown", change.call_slowdown)
        .read("checkpoint_ms", change.checkpoint_ms)
        .read("usage_share", change.usage_share);
    check_time(change.checkpoint_ms, "checkpoint_ms");
    check_factor(change.usage_share, "usage_share");
    check_factor(change.call_slowdown, "call_slowdown");
    change.worker = base::worker_id{name};
    return change;
}

event_body parse_links(member_reader& in)
{
    link_change change;
    in.read("lost_requests", change.lost_requests)
        .read("lost_answers", change.lost_answers)
        .read("max_delay_ms", change.max_delay_ms)
        .read("report_lag_ms", change.report_lag_ms);
    check_share(change.lost_requests, "lost_requests");
    check_share(change.lost_answers, "lost_answers");
    check_time(change.max_delay_ms, "max_delay_ms");
    check_time(change.report_lag_ms, "report_lag_ms");
    return change;
}

event_body parse_store(member_reader& in)
{
    store_change change;
    in.read("is_down", change.is_down)
        .read("loses_answers", change.loses_answers)
        .read("commit_ms", change.commit_ms);
    check_time(change.commit_ms, "commit_ms");
    return change;
}

event_body parse_owner(member_reader& in)
{
    std::string step;
    in.require("step", step);
    return choose<owner_step>(
        step, {{"take_over", owner_step::take_over},
               {"kill", owner_step::kill},
               {"pause", owner_step::pause},
               {"wake", owner_step::wake}});
}

event_body parse_load(member_reader& in)
{
    load_change change;
    std::string service;
    in.require("service", service)
        .require("load", change.load)
        .read("lag_ms", change.lag_ms);
    check_share(change.load, "load");
    check_time(std::optional{change.lag_ms}, "lag_ms");
    change.service = base::service_id{service};
    return change;
}

event_body parse_pressure(member_reader& in)
{
    batch::service_pressure measured;
    std::string worker;
    std::string service;
    in.require("worker", worker)
        .require("service", service)
        .require("ratio", measured.latency_ratio)
        .require("slots_in_use", measured.slots_in_use)
        .require("lag_ms", measured.age_ms);
    check_time(std::optional{measured.age_ms}, "lag_ms");
    measured.worker = base::worker_id{worker};
    measured.service = base::service_id{service};
    return measured;
}

event_body parse_call(member_reader& in)
{
    call_event call;
    std::string service;
    std::string caller;
    in.require("service", service)
        .require("caller", caller)
        .require("run_ms", call.run_ms)
        .read("deadline_ms", call.deadline_ms)
        .read("path", call.attributes.path)
        .read("key", call.attributes.key)
        .read("is_idempotent", call.attributes.is_idempotent);
    check_time(std::optional{call.run_ms}, "run_ms");
    check_time(std::optional{call.deadline_ms}, "deadline_ms");
    call.attributes.service = base::service_id{service};
    call.attributes.caller = base::caller_id{caller};
    return call;
}

event_body parse_order(member_reader& in)
{
    std::string worker;
    std::string order;
    in.require("worker", worker).require("order", order);
    return batch::worker_ordered{
        base::worker_id{worker},
        choose<batch::worker_order>(
            order, {{"drain", batch::worker_order::drain},
                    {"quarantine", batch::worker_order::quarantine},
                    {"release", batch::worker_order::release}})};
}

} // namespace

parsed_event parse_event(json const& line)
{
    parsed_event parsed;
    std::string kind;
    member_reader in{line};
    in.require("at_ms", parsed.first.at_ms)
        .require("event", kind)
        .read("count", parsed.count)
        .read("every_ms", parsed.every_ms);
    if (parsed.first.at_ms < 0 || parsed.count < 1 || parsed.every_ms < 0) {
        refuse("at_ms or every_ms is negative, or count is below 1");
    }
    using parse_function = event_body (*)(member_reader&);
    auto const parse = choose<parse_function>(
        kind, {{"workers", parse_workers},
               {"submit", parse_submission},
               {"cancel", parse_cancellation},
               {"call", parse_call},
               {"worker", parse_worker},
               {"links", parse_links},
               {"store", parse_store},
               {"owner", parse_owner},
               {"load", parse_load},
               {"pressure", parse_pressure},
               {"order", parse_order}});
    parsed.first.body = parse(in);
    in.finish("event " + kind);
    return parsed;
}

trace_event repeat_event(parsed_event const& from, std::int64_t n)
{
    auto event = from.first;
    event.at_ms += n * from.every_ms;
    if (from.count == 1) {
        return event;
    }
    auto const suffix = "-" + std::to_string(n);
    if (auto* wanted = std::get_if<submission>(&event.body)) {
        wanted->spec.key += suffix;
    } else if (auto* ended = std::get_if<cancellation>(&event.body)) {
        ended->task += suffix;
    }
    return event;
}

} // namespace foxtaillift::replay
