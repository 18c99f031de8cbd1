/// Tables and JSON for people and programs.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace foxtaillift::client
{

enum class output_format
{
    table,
    json,
};

/// A column of a table: its heading and the key of its values.
struct column
{
    std::string_view heading;
    std::string_view key;
};

/// An aligned table of an array of objects; missing values are "-".
std::string
make_table(nlohmann::json const& rows, std::span<column const> columns);

/// A value as one cell of a table.
std::string cell_text(nlohmann::json const& value);

} // namespace foxtaillift::client
