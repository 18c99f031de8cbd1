#include "foxtaillift/cluster/settings_registry.hpp"

#include "foxtaillift/base/error.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <memory>
#include <vector>

namespace foxtaillift::cluster
{

namespace
{

using std::string_view_literals::operator""sv;

constexpr std::array routing_orders{
    "earliest_deadline"sv, "fifo"sv, "newest_first"sv};
constexpr std::array routing_policies{
    "adaptive"sv, "random"sv, "round_robin"sv, "two_choices"sv};
constexpr std::array worker_states{
    "in_service"sv, "drained"sv, "quarantined"sv};
constexpr std::int64_t largest_quota = 1'000'000'000'000;

constexpr setting_definition integer_setting(
    std::string_view name,
    std::int64_t maximum,
    std::string_view built_in,
    setting_scope scope,
    std::string_view unit,
    std::string_view description)
{
    return {
        .name = name,
        .type = setting_type::integer,
        .minimum = 0,
        .maximum = maximum,
        .choices = {},
        .built_in = built_in,
        .scope = scope,
        .unit = unit,
        .description = description};
}

constexpr setting_definition choice_setting(
    std::string_view name,
    std::span<std::string_view const> choices,
    setting_scope scope,
    std::string_view description)
{
    return {
        .name = name,
        .type = setting_type::choice,
        .choices = choices,
        .built_in = choices.front(),
        .scope = scope,
        .unit = "",
        .description = description};
}

constexpr std::array definitions{
    integer_setting(
        "class.evictions_per_hour",
        1000,
        "5",
        setting_scope::task_class,
        "evictions",
        "disruption budget of each task of the class"),
    integer_setting(
        "class.longest_wait",
        86'400'000,
        "1800000",
        setting_scope::task_class,
        "ms",
        "a task that waited so long goes to the head and gets a reservation"),
    integer_setting(
        "class.throttle_floor",
        100,
        "15",
        setting_scope::task_class,
        "percent",
        "lowest share of its processors a throttled task keeps"),
    choice_setting(
        "routing.order",
        routing_orders,
        setting_scope::service,
        "order in which waiting calls are served under overload; if it is not "
        "set, calls.queue_order of each host's settings file"),
    choice_setting(
        "routing.policy",
        routing_policies,
        setting_scope::service,
        "how a worker is chosen for a call; if it is not set, calls.policy of "
        "each host's settings file"),
    integer_setting(
        "routing.retry_budget",
        100,
        "10",
        setting_scope::service,
        "percent",
        "retries in relation to calls; if it is not set, calls.retry_budget of "
        "each host's settings file"),
    integer_setting(
        "service.batch_reserve",
        100,
        "25",
        setting_scope::service,
        "percent",
        "processors of its workers that batch tasks must leave free"),
    integer_setting(
        "team.quota_accelerators",
        largest_quota,
        "16",
        setting_scope::team,
        "accelerators",
        "quota for batch tasks"),
    integer_setting(
        "team.quota_memory",
        largest_quota,
        "4000000",
        setting_scope::team,
        "MB",
        "quota for batch tasks"),
    integer_setting(
        "team.quota_processors",
        largest_quota,
        "1000000",
        setting_scope::team,
        "thousandths of a core",
        "quota for batch tasks"),
    choice_setting(
        "worker.state",
        worker_states,
        setting_scope::worker,
        "drained and quarantined workers get no new work"),
};

std::size_t edit_distance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    for (std::size_t j = 0; j <= b.size(); ++j) {
        row[j] = j;
    }
    for (std::size_t i = 1; i <= a.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            auto const replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row.back();
}

std::string quoted(std::string_view text)
{
    return "'" + std::string{text} + "'";
}

void check_integer(setting_definition const& definition, std::string_view value)
{
    std::int64_t number = 0;
    auto const* const first = std::to_address(value.begin());
    auto const* const end = std::to_address(value.end());
    auto const parsed = std::from_chars(first, end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end ||
        number < definition.minimum || number > definition.maximum) {
        throw base::error(
            base::error_code::invalid_argument,
            "value " + quoted(value) + " of setting " +
                quoted(definition.name) + " is not a whole number from " +
                std::to_string(definition.minimum) + " to " +
                std::to_string(definition.maximum));
    }
}

void check_choice(setting_definition const& definition, std::string_view value)
{
    auto const& choices = definition.choices;
    if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
        return;
    }
    std::string allowed;
    for (auto const choice : choices) {
        allowed += allowed.empty() ? "" : ", ";
        allowed += choice;
    }
    throw base::error(
        base::error_code::invalid_argument,
        "value " + quoted(value) + " of setting " + quoted(definition.name) +
            " is not one of: " + allowed);
}

} // namespace

std::string_view to_string(setting_scope scope)
{
    switch (scope) {
    case setting_scope::service:
        return "service";
    case setting_scope::team:
        return "team";
    case setting_scope::worker:
        return "worker";
    case setting_scope::task_class:
        return "class";
    }
    return "unknown";
}

std::span<setting_definition const> setting_definitions()
{
    return definitions;
}

setting_definition const& find_setting(std::string_view name)
{
    setting_definition const* nearest = nullptr;
    std::size_t distance = std::numeric_limits<std::size_t>::max();
    for (auto const& definition : definitions) {
        if (definition.name == name) {
            return definition;
        }
        auto const away = edit_distance(definition.name, name);
        if (away < distance) {
            distance = away;
            nearest = &definition;
        }
    }
    throw base::error(
        base::error_code::invalid_argument,
        "there is no setting " + quoted(name) + "; the most similar one is " +
            quoted(nearest->name));
}

void check_setting(setting_definition const& definition, std::string_view value)
{
    if (definition.type == setting_type::integer) {
        check_integer(definition, value);
    } else {
        check_choice(definition, value);
    }
}

} // namespace foxtaillift::cluster
