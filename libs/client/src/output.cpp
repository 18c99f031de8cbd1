#include "foxtaillift/client/output.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace foxtaillift::client
{

namespace
{

using table_row = std::vector<std::string>;

void append_line(
    std::string& text, table_row const& row, std::vector<std::size_t> widths)
{
    // The last column is not padded, so that lines have no trailing space.
    widths.back() = 0;
    for (std::size_t i = 0; i < row.size(); ++i) {
        text += i == 0 ? "" : "  ";
        text += row[i];
        if (row[i].size() < widths[i]) {
            text.append(widths[i] - row[i].size(), ' ');
        }
    }
    text += "\n";
}

} // namespace

std::string cell_text(nlohmann::json const& value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_string()) {
        auto const& text = value.get_ref<std::string const&>();
        return text.empty() ? "-" : text;
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    if (value.is_object() && value.contains("processors")) {
        return value["processors"].dump() + "m " + value["memory_mb"].dump() +
               "MB " + value["accelerators"].dump() + "acc";
    }
    return value.dump();
}

std::string
make_table(nlohmann::json const& rows, std::span<column const> columns)
{
    std::vector<table_row> lines(1);
    std::vector<std::size_t> widths;
    for (auto const& one : columns) {
        lines[0].emplace_back(one.heading);
        widths.push_back(one.heading.size());
    }
    for (auto const& row : rows) {
        table_row line;
        for (std::size_t i = 0; i < columns.size(); ++i) {
            std::string const key{columns[i].key};
            line.push_back(
                row.contains(key) ? cell_text(row[key]) : std::string{"-"});
            widths[i] = std::max(widths[i], line.back().size());
        }
        lines.push_back(std::move(line));
    }
    std::string text;
    for (auto const& line : lines) {
        append_line(text, line, widths);
    }
    return text;
}

} // namespace foxtaillift::client
