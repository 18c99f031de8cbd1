/// MessagePack for records and messages of the job service.
#pragma once

#include "foxtaillift/base/bounded_json.hpp"
#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace foxtaillift::jobs
{

inline std::string pack(nlohmann::json const& value)
{
    std::string text;
    nlohmann::json::to_msgpack(value, text);
    return text;
}

/// Runs `read` on the decoded text and reports any misfit as corrupt data.
template <class Function>
auto unpack(std::string_view text, char const* what, Function read)
{
    try {
        return read(base::parse_msgpack(text));
    } catch (nlohmann::json::exception const& failure) {
        throw base::error{
            base::error_code::corrupt_data,
            std::string{what} + " cannot be decoded: " + failure.what()};
    }
}

/// Adds a member unless it has the default value.
template <class Value>
void add(nlohmann::json& object, char const* name, Value const& value)
{
    if (value != Value{}) {
        object[name] = value;
    }
}

} // namespace foxtaillift::jobs
