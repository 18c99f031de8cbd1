#include "foxtaillift/standin/workload.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/formats/member_reader.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace foxtaillift::standin
{

using formats::member_reader;
using nlohmann::json;

namespace
{

[[noreturn]] void refuse(std::string const& message)
{
    throw base::error(base::error_code::invalid_argument, message);
}

call_step parse_call_step(json const& in)
{
    call_step step;
    member_reader{in}
        .read("at_seconds", step.at_seconds)
        .read("seconds", step.seconds)
        .read("rate", step.rate)
        .read("service", step.service)
        .read("path", step.path)
        .read("call_ms", step.call_ms)
        .read("long_share", step.long_share)
        .read("long_ms", step.long_ms)
        .read("keyed_share", step.keyed_share)
        .read("unkeyed_share", step.unkeyed_share)
        .read("deadline_ms", step.deadline_ms)
        .read("caller", step.caller)
        .finish("calls");
    return step;
}

task_step parse_task_step(json const& in)
{
    task_step step;
    member_reader{in}
        .read("at_seconds", step.at_seconds)
        .read("count", step.count)
        .read("rate", step.rate)
        .read("team", step.team)
        .read("class", step.task_class)
        .read("priority", step.priority)
        .read("processors", step.processors)
        .read("memory_mb", step.memory_mb)
        .read("accelerators", step.accelerators)
        .read("run_ms", step.run_ms)
        .read("real_run_ms", step.real_run_ms)
        .read("real_processors", step.real_processors)
        .read("straggler_share", step.straggler_share)
        .read("straggler_factor", step.straggler_factor)
        .finish("tasks");
    return step;
}

void check_bounds(workload const& value)
{
    double calls = 0;
    double tasks = 0;
    double length = 0;
    for (auto const& step : value.calls) {
        if (step.rate <= 0 || step.service.empty() || step.path.empty() ||
            step.path.front() != '/') {
            refuse("a call step needs a service, a positive rate and a path "
                   "that starts with '/'");
        }
        calls += step.rate * step.seconds;
        length = std::max(length, step.at_seconds + step.seconds);
    }
    for (auto const& step : value.tasks) {
        if (step.rate <= 0 || step.team.empty()) {
            refuse("a task step needs a team and a positive rate");
        }
        auto const count = static_cast<double>(step.count);
        tasks += count;
        length = std::max(length, step.at_seconds + count / step.rate);
    }
    if (calls > 200'000 || tasks > 50'000 || length > 600 ||
        value.wait_seconds > 600) {
        refuse("workload exceeds 200000 calls, 50000 tasks or 600 s");
    }
}

} // namespace

workload parse_workload(std::string const& text)
{
    workload value;
    try {
        auto const in = json::parse(text, nullptr, true, true);
        json calls = json::array();
        json tasks = json::array();
        member_reader{in}
            .read("seed", value.seed)
            .read("max_in_flight", value.max_in_flight)
            .read("wait_seconds", value.wait_seconds)
            .read("may_lose_workers", value.may_lose_workers)
            .read("calls", calls)
            .read("tasks", tasks)
            .finish("the workload");
        double end = 0;
        for (auto const& item : calls) {
            auto& step = value.calls.emplace_back(parse_call_step(item));
            step.at_seconds = step.at_seconds < 0 ? end : step.at_seconds;
            end = step.at_seconds + step.seconds;
        }
        for (auto const& item : tasks) {
            value.tasks.push_back(parse_task_step(item));
        }
    } catch (json::exception const& failure) {
        refuse(failure.what());
    }
    check_bounds(value);
    return value;
}

workload read_workload(std::string const& path)
{
    std::ifstream file{path};
    if (!file) {
        refuse("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_workload(text.str());
}

} // namespace foxtaillift::standin
