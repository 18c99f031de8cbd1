#include "foxtaillift/formats/table.hpp"

#include <nlohmann/json.hpp>

namespace foxtaillift::formats
{

void to_json(nlohmann::json& out, row const& value)
{
    out = {
        {"key", value.key}, {"version", value.version}, {"value", value.value}};
}

void from_json(nlohmann::json const& in, row& value)
{
    in.at("key").get_to(value.key);
    in.at("version").get_to(value.version);
    value.value = in.value("value", std::string{});
}

void to_json(nlohmann::json& out, row_condition const& value)
{
    out = {{"key", value.key}, {"version", value.version}};
}

void from_json(nlohmann::json const& in, row_condition& value)
{
    in.at("key").get_to(value.key);
    in.at("version").get_to(value.version);
}

void to_json(nlohmann::json& out, row_write const& value)
{
    out = {{"key", value.key}};
    if (value.value) {
        out["value"] = *value.value;
    } else {
        out["delete"] = true;
    }
}

void from_json(nlohmann::json const& in, row_write& value)
{
    in.at("key").get_to(value.key);
    value.value.reset();
    if (!in.value("delete", false)) {
        value.value = in.at("value").get<std::string>();
    }
}

void to_json(nlohmann::json& out, transaction const& value)
{
    out = {
        {"operation", value.operation},
        {"conditions", value.conditions},
        {"writes", value.writes}};
}

void from_json(nlohmann::json const& in, transaction& value)
{
    in.at("operation").get_to(value.operation);
    in.at("conditions").get_to(value.conditions);
    in.at("writes").get_to(value.writes);
}

void to_json(nlohmann::json& out, scan_request const& value)
{
    out = {
        {"prefix", value.prefix},
        {"after", value.after},
        {"limit", value.limit}};
}

void from_json(nlohmann::json const& in, scan_request& value)
{
    in.at("prefix").get_to(value.prefix);
    value.after = in.value("after", std::string{});
    value.limit = in.value("limit", std::uint32_t{1000});
}

} // namespace foxtaillift::formats
