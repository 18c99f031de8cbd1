#include "foxtaillift/formats/worker_agent.hpp"

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace foxtaillift::formats
{

namespace
{

constexpr std::array<std::pair<run_state, std::string_view>, 6> run_states{{
    {run_state::running, "running"},
    {run_state::checkpointing, "checkpointing"},
    {run_state::checkpointed, "checkpointed"},
    {run_state::finished, "finished"},
    {run_state::failed, "failed"},
    {run_state::stopped, "stopped"},
}};

run_state parse_run_state(std::string const& text)
{
    for (auto const& [state, name] : run_states) {
        if (name == text) {
            return state;
        }
    }
    throw base::error(
        base::error_code::corrupt_data, "unknown run state '" + text + "'");
}

template <class Id>
Id read_id(nlohmann::json const& in, char const* key)
{
    return Id{in.at(key).get<std::string>()};
}

} // namespace

std::string_view to_string(run_state state)
{
    for (auto const& [known, name] : run_states) {
        if (known == state) {
            return name;
        }
    }
    return "unknown";
}

void to_json(nlohmann::json& out, adopt_request const& value)
{
    out = {{"cell", value.cell.str()}, {"epoch", value.epoch}};
}

void from_json(nlohmann::json const& in, adopt_request& value)
{
    value.cell = read_id<base::cell_id>(in, "cell");
    in.at("epoch").get_to(value.epoch);
}

void to_json(nlohmann::json& out, run_entry const& value)
{
    out = {
        {"task", value.task.str()},
        {"attempt", value.attempt},
        {"state", to_string(value.state)},
        {"class", value.task_class},
        {"size", value.size},
        {"checkpoint", value.checkpoint},
        {"ran_ms", value.ran_ms},
        {"since_checkpoint_ms", value.since_checkpoint_ms},
        {"throttle", value.throttle},
        {"message", value.message}};
}

void from_json(nlohmann::json const& in, run_entry& value)
{
    value.task = read_id<base::task_id>(in, "task");
    in.at("attempt").get_to(value.attempt);
    value.state = parse_run_state(in.at("state").get<std::string>());
    value.task_class = in.value("class", std::string{});
    in.at("size").get_to(value.size);
    value.checkpoint = in.value("checkpoint", std::string{});
    value.ran_ms = in.value("ran_ms", std::int64_t{0});
    value.since_checkpoint_ms =
        in.value("since_checkpoint_ms", std::int64_t{0});
    value.throttle = in.value("throttle", 1.0);
    value.message = in.value("message", std::string{});
}

void to_json(nlohmann::json& out, adopt_answer const& value)
{
    out = {
        {"worker", value.worker.str()},
        {"epoch", value.epoch},
        {"capacity", value.capacity},
        {"calls_in_progress", value.calls_in_progress},
        {"runs", value.runs}};
}

void from_json(nlohmann::json const& in, adopt_answer& value)
{
    value.worker = read_id<base::worker_id>(in, "worker");
    in.at("epoch").get_to(value.epoch);
    in.at("capacity").get_to(value.capacity);
    in.at("calls_in_progress").get_to(value.calls_in_progress);
    in.at("runs").get_to(value.runs);
}

void to_json(nlohmann::json& out, start_request const& value)
{
    out = nlohmann::json(value.size);
    out["cell"] = value.cell.str();
    out["epoch"] = value.epoch;
    out["task"] = value.task.str();
    out["attempt"] = value.attempt;
    out["class"] = value.task_class;
    out["lease_ms"] = value.lease_ms;
    out["run_ms"] = value.run_ms;
    out["checkpoint"] = value.checkpoint;
    out["payload"] = value.payload;
}

void from_json(nlohmann::json const& in, start_request& value)
{
    in.get_to(value.size);
    value.cell = read_id<base::cell_id>(in, "cell");
    in.at("epoch").get_to(value.epoch);
    value.task = read_id<base::task_id>(in, "task");
    in.at("attempt").get_to(value.attempt);
    value.task_class = in.value("class", std::string{});
    in.at("lease_ms").get_to(value.lease_ms);
    value.run_ms = in.value("run_ms", std::int64_t{0});
    value.checkpoint = in.value("checkpoint", std::string{});
    value.payload = in.value("payload", std::string{});
}

void to_json(nlohmann::json& out, run_reference const& value)
{
    out = {
        {"task", value.task.str()},
        {"attempt", value.attempt},
        {"throttle", value.throttle},
        {"checkpoint", value.checkpoint}};
}

void from_json(nlohmann::json const& in, run_reference& value)
{
    value.task = read_id<base::task_id>(in, "task");
    in.at("attempt").get_to(value.attempt);
    value.throttle = in.value("throttle", 1.0);
    value.checkpoint = in.value("checkpoint", std::string{});
}

void to_json(nlohmann::json& out, runs_request const& value)
{
    out = {
        {"cell", value.cell.str()},
        {"epoch", value.epoch},
        {"lease_ms", value.lease_ms},
        {"tasks", value.tasks}};
}

void from_json(nlohmann::json const& in, runs_request& value)
{
    value.cell = read_id<base::cell_id>(in, "cell");
    in.at("epoch").get_to(value.epoch);
    value.lease_ms = in.value("lease_ms", std::int64_t{0});
    in.at("tasks").get_to(value.tasks);
}

void to_json(nlohmann::json& out, runs_answer const& value)
{
    out = {{"runs", value.runs}};
}

void from_json(nlohmann::json const& in, runs_answer& value)
{
    in.at("runs").get_to(value.runs);
}

void to_json(nlohmann::json& out, run_usage const& value)
{
    out = {
        {"task", value.task.str()},
        {"attempt", value.attempt},
        {"state", to_string(value.state)},
        {"used", value.used},
        {"progress", value.progress}};
}

void from_json(nlohmann::json const& in, run_usage& value)
{
    value.task = read_id<base::task_id>(in, "task");
    in.at("attempt").get_to(value.attempt);
    value.state = parse_run_state(in.at("state").get<std::string>());
    in.at("used").get_to(value.used);
    value.progress = in.value("progress", 0.0);
}

void to_json(nlohmann::json& out, usage_report const& value)
{
    out = {
        {"worker", value.worker.str()},
        {"sequence", value.sequence},
        {"age_ms", value.age_ms},
        {"used", value.used},
        {"service_processors", value.service_processors},
        {"runs", value.runs}};
}

void from_json(nlohmann::json const& in, usage_report& value)
{
    value.worker = read_id<base::worker_id>(in, "worker");
    in.at("sequence").get_to(value.sequence);
    in.at("age_ms").get_to(value.age_ms);
    in.at("used").get_to(value.used);
    value.service_processors = in.value("service_processors", 0.0);
    in.at("runs").get_to(value.runs);
}

} // namespace foxtaillift::formats
