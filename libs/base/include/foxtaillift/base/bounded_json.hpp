/// Reads JSON and MessagePack of other processes with a bounded nesting.
///
/// A document of some ten thousand brackets takes a few bytes for each level,
/// but copies, dumps and decoders call themselves for each: the stack of a
/// thread ends before the text does, which no exception reports.
#pragma once

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace foxtaillift::base
{

/// No format of foxtaillift or of a platform nests deeper than ten levels.
constexpr std::size_t longest_nesting = 64;

namespace detail
{

/// Accepts any document whose nesting is within the bound.
class nesting_check final : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, string_t const&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool key(string_t&) override { return true; }
    bool start_object(std::size_t) override { return this->enter(); }
    bool end_object() override { return this->leave(); }
    bool start_array(std::size_t) override { return this->enter(); }
    bool end_array() override { return this->leave(); }
    bool parse_error(
        std::size_t,
        std::string const&,
        nlohmann::json::exception const&) override
    {
        return false; // the reader that follows reports it
    }

    [[nodiscard]] bool is_too_deep() const
    {
        return this->depth > longest_nesting;
    }

private:
    bool enter()
    {
        ++this->depth;
        return !this->is_too_deep();
    }
    bool leave()
    {
        --this->depth;
        return true;
    }

    std::size_t depth = 0;
};

[[noreturn]] inline void refuse_document(std::string const& problem)
{
    throw error{error_code::corrupt_data, problem};
}

} // namespace detail

/// Throws base::error (corrupt_data) for a text that is no JSON, holds a number
/// out of range, or nests deeper than `longest_nesting`.
inline nlohmann::json parse_json(std::string_view text)
{
    auto const check = [](int depth, auto, auto&) {
        if (static_cast<std::size_t>(depth) >= longest_nesting) {
            detail::refuse_document("JSON is nested too deeply");
        }
        return true;
    };
    try {
        return nlohmann::json::parse(text, check);
    } catch (nlohmann::json::exception const& failure) {
        detail::refuse_document(failure.what());
    }
}

/// The same for MessagePack.
inline nlohmann::json parse_msgpack(std::string_view bytes)
{
    detail::nesting_check check;
    nlohmann::json::sax_parse(
        bytes, &check, nlohmann::json::input_format_t::msgpack);
    if (check.is_too_deep()) {
        detail::refuse_document("MessagePack is nested too deeply");
    }
    try {
        return nlohmann::json::from_msgpack(bytes);
    } catch (nlohmann::json::exception const& failure) {
        detail::refuse_document(failure.what());
    }
}

} // namespace foxtaillift::base
