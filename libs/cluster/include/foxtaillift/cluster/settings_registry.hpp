/// The named settings of the fleet configuration.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace foxtaillift::cluster
{

/// What an override applies to.
enum class setting_scope : std::uint8_t
{
    service,
    team,
    worker,
    task_class,
};

std::string_view to_string(setting_scope scope);

enum class setting_type
{
    integer, ///< decimal, within `minimum` and `maximum`
    choice,  ///< one of `choices`
};

struct setting_definition
{
    std::string_view name;
    setting_type type = setting_type::integer;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    std::span<std::string_view const> choices;
    std::string_view built_in; ///< value of an empty configuration
    setting_scope scope;       ///< of its overrides
    std::string_view unit;
    std::string_view description;
};

/// All settings, ordered by name.
std::span<setting_definition const> setting_definitions();

/// Throws base::error with `invalid_argument` and the most similar name if
/// there is no such setting.
setting_definition const& find_setting(std::string_view name);

/// Throws base::error with `invalid_argument` and the allowed values if
/// `value` is not one of them.
void check_setting(
    setting_definition const& definition, std::string_view value);

} // namespace foxtaillift::cluster
