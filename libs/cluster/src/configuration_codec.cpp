// JSON texts of deltas and snapshots, as stored in rows and objects.

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/cluster/configuration_document.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

using nlohmann::json;

constexpr std::array edit_names{
    "set_default", "reset_default", "set_override", "remove_override"};

json encode_expiry(std::optional<std::int64_t> const& expires_at_ms)
{
    return expires_at_ms ? json(*expires_at_ms) : json(nullptr);
}

std::optional<std::int64_t> decode_expiry(json const& in)
{
    if (in.is_null()) {
        return std::nullopt;
    }
    return in.get<std::int64_t>();
}

json encode_edit(configuration_edit const& edit)
{
    return {
        {"kind", edit_names.at(static_cast<std::size_t>(edit.kind))},
        {"name", edit.name},
        {"subject", edit.subject},
        {"value", edit.value},
        {"expires", encode_expiry(edit.expires_at_ms)},
        {"no_expiry", edit.has_no_expiry}};
}

configuration_edit decode_edit(json const& in)
{
    configuration_edit edit;
    auto const kind = in.at("kind").get<std::string>();
    std::size_t index = 0;
    while (index < edit_names.size() && kind != edit_names.at(index)) {
        ++index;
    }
    if (index == edit_names.size()) {
        throw base::error(
            base::error_code::corrupt_data,
            "unknown kind of configuration edit '" + kind + "'");
    }
    edit.kind = static_cast<edit_kind>(index);
    in.at("name").get_to(edit.name);
    in.at("subject").get_to(edit.subject);
    in.at("value").get_to(edit.value);
    edit.expires_at_ms = decode_expiry(in.at("expires"));
    in.at("no_expiry").get_to(edit.has_no_expiry);
    return edit;
}

template <class Decode>
auto decode_text(std::string const& text, char const* what, Decode decode)
{
    try {
        return decode(json::parse(text));
    } catch (json::exception const& failure) {
        throw base::error(
            base::error_code::corrupt_data,
            std::string{what} + ": " + failure.what());
    }
}

} // namespace

std::string to_text(configuration_delta const& delta)
{
    auto edits = json::array();
    for (auto const& edit : delta.edits) {
        edits.push_back(encode_edit(edit));
    }
    return json{{"version", delta.version}, {"operation", delta.operation},
                {"author", delta.author},   {"reason", delta.reason},
                {"time", delta.time_ms},    {"edits", std::move(edits)}}
        .dump();
}

configuration_delta parse_delta(std::string const& text)
{
    return decode_text(text, "configuration change", [](json const& in) {
        configuration_delta delta;
        in.at("version").get_to(delta.version);
        in.at("operation").get_to(delta.operation);
        in.at("author").get_to(delta.author);
        in.at("reason").get_to(delta.reason);
        in.at("time").get_to(delta.time_ms);
        for (auto const& edit : in.at("edits")) {
            delta.edits.push_back(decode_edit(edit));
        }
        return delta;
    });
}

std::string configuration_document::to_text() const
{
    auto overrides = json::array();
    for (auto const& [key, entry] : this->override_values) {
        overrides.push_back(
            {{"name", key.first},
             {"subject", key.second},
             {"value", entry.value},
             {"reason", entry.reason},
             {"author", entry.author},
             {"expires", encode_expiry(entry.expires_at_ms)},
             {"since", entry.since}});
    }
    return json{
        {"version", this->current},
        {"defaults", this->default_values},
        {"overrides", std::move(overrides)}}
        .dump();
}

configuration_document
configuration_document::from_text(std::string const& text)
{
    return decode_text(text, "configuration snapshot", [](json const& in) {
        configuration_document document;
        in.at("version").get_to(document.current);
        in.at("defaults").get_to(document.default_values);
        for (auto const& element : in.at("overrides")) {
            configuration_override entry;
            element.at("value").get_to(entry.value);
            element.at("reason").get_to(entry.reason);
            element.at("author").get_to(entry.author);
            entry.expires_at_ms = decode_expiry(element.at("expires"));
            element.at("since").get_to(entry.since);
            document.override_values.insert_or_assign(
                override_key{
                    element.at("name").get<std::string>(),
                    element.at("subject").get<std::string>()},
                std::move(entry));
        }
        return document;
    });
}

} // namespace foxtaillift::cluster
