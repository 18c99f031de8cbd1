/// Strict reading of the members of a JSON object.
#pragma once

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace foxtaillift::formats
{

/// Reads members of one object and refuses those that nobody asked for. All
/// functions throw base::error (invalid_argument) that names the member.
///
///     member_reader{in}
///         .require("name", name)
///         .read("seed", seed)
///         .finish("the header");
class member_reader
{
public:
    explicit member_reader(nlohmann::json const& object)
        : in(object)
    {
        if (!object.is_object()) {
            refuse("expected an object");
        }
    }

    /// Leaves `value` as it is if the member is absent.
    template <class Value>
    member_reader& read(std::string const& key, Value& value)
    {
        this->known.insert(key);
        if (!this->in.contains(key)) {
            return *this;
        }
        try {
            assign(this->in.at(key), value);
        } catch (std::exception const& failure) {
            refuse("member " + key + ": " + failure.what());
        }
        return *this;
    }

    template <class Value>
    member_reader& require(std::string const& key, Value& value)
    {
        if (!this->in.contains(key)) {
            refuse("member " + key + " is missing");
        }
        return this->read(key, value);
    }

    /// Refuses members that were not read; `where` is used in the message.
    void finish(std::string const& where) const
    {
        for (auto const& [key, value] : this->in.items()) {
            if (!this->known.contains(key)) {
                std::string message{"unknown member "};
                refuse(message.append(key).append(" in ").append(where));
            }
        }
    }

private:
    [[noreturn]] static void refuse(std::string const& message)
    {
        throw base::error(base::error_code::invalid_argument, message);
    }

    // The library converts 1.5, true and -1 to an unsigned integer silently.
    template <class Value>
    static void assign(nlohmann::json const& from, Value& value)
    {
        if constexpr (std::integral<Value> && !std::same_as<Value, bool>) {
            if (!from.is_number_integer()) {
                refuse("expected an integer, found " + from.dump());
            }
            auto const wide = from.get<std::int64_t>();
            if (!std::in_range<Value>(wide)) {
                refuse(from.dump() + " is out of range");
            }
            value = static_cast<Value>(wide);
        } else {
            from.get_to(value);
        }
    }

    template <class Value>
    static void assign(nlohmann::json const& from, std::optional<Value>& value)
    {
        assign(from, value.emplace());
    }

    nlohmann::json const& in;
    std::set<std::string> known;
};

} // namespace foxtaillift::formats
