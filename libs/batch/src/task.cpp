#include "foxtaillift/batch/task.hpp"

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <initializer_list>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

constexpr std::array<std::pair<task_state, std::string_view>, 10> names{{
    {task_state::accepted, "accepted"},
    {task_state::queued, "queued"},
    {task_state::starting, "starting"},
    {task_state::running, "running"},
    {task_state::checkpointing, "checkpointing"},
    {task_state::evicted, "evicted"},
    {task_state::finished, "finished"},
    {task_state::failed, "failed"},
    {task_state::cancelled, "cancelled"},
    {task_state::impossible, "impossible"},
}};

constexpr std::uint32_t bit(task_state state)
{
    return 1U << static_cast<std::uint32_t>(state);
}

std::uint32_t successors(task_state from)
{
    using enum task_state;
    std::uint32_t const ends = bit(finished) | bit(failed) | bit(cancelled);
    switch (from) {
    case accepted:
        return bit(queued) | bit(impossible);
    case queued:
        // An audit may show that the predecessor started the task.
        return bit(starting) | bit(running) | bit(checkpointing) |
               bit(evicted) | bit(impossible) | ends;
    case impossible:
    case starting:
        return bit(queued) | bit(running) | bit(checkpointing) | bit(evicted) |
               ends;
    case running:
        return bit(checkpointing) | bit(evicted) | ends;
    case checkpointing:
        return bit(evicted) | ends;
    case evicted:
        return bit(queued) | bit(impossible) | ends;
    case finished:
    case failed:
    case cancelled:
        return 0;
    }
    return 0;
}

} // namespace

std::string_view to_string(task_state state)
{
    for (auto const& [known, name] : names) {
        if (known == state) {
            return name;
        }
    }
    return "unknown";
}

task_state parse_task_state(std::string_view name)
{
    for (auto const& [state, known] : names) {
        if (known == name) {
            return state;
        }
    }
    throw base::error(
        base::error_code::corrupt_data,
        "unknown task state '" + std::string(name) + "'");
}

bool is_terminal(task_state state)
{
    return state == task_state::finished || state == task_state::failed ||
           state == task_state::cancelled;
}

bool is_allowed(task_state from, task_state to)
{
    return (successors(from) & bit(to)) != 0;
}

std::string_view to_string(task_priority priority)
{
    return priority == task_priority::urgent ? "urgent" : "normal";
}

void to_json(nlohmann::json& out, task_spec const& value)
{
    out = {
        {"team", value.team.str()},
        {"key", value.key},
        {"class", value.task_class},
        {"size", value.size},
        {"run_ms", value.run_ms},
        {"deadline_ms", value.deadline_ms},
        {"priority", to_string(value.priority)},
        {"payload", value.payload}};
}

void from_json(nlohmann::json const& in, task_spec& value)
{
    value.team = base::team_id{in.at("team").get<std::string>()};
    in.at("key").get_to(value.key);
    in.at("class").get_to(value.task_class);
    in.at("size").get_to(value.size);
    value.run_ms = in.value("run_ms", std::int64_t{0});
    value.deadline_ms = in.value("deadline_ms", std::int64_t{0});
    auto const priority = in.value("priority", std::string{"normal"});
    if (priority != "normal" && priority != "urgent") {
        throw base::error(
            base::error_code::corrupt_data,
            "unknown priority '" + priority + "'");
    }
    value.priority =
        priority == "urgent" ? task_priority::urgent : task_priority::normal;
    value.payload = in.value("payload", std::string{});
}

} // namespace foxtaillift::batch
