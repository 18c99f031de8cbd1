#include "foxtaillift/settings/print.hpp"

#include "foxtaillift/settings/describe.hpp"

#include <nlohmann/json.hpp>

namespace foxtaillift::settings
{

namespace
{

struct json_of_target
{
    nlohmann::json operator()(base::duration const* value) const
    {
        return value->ms;
    }
    template <class T>
    nlohmann::json operator()(T const* value) const
    {
        return *value;
    }
};

std::string default_text(key_description const& key)
{
    return std::visit(json_of_target{}, key.value).dump();
}

} // namespace

std::string default_file()
{
    daemon_settings defaults;
    std::string text = "{\n";
    std::string_view section;
    bool has_entry = false;
    for (auto const& key : describe(defaults)) {
        auto const dot = key.path.find('.');
        auto const current = key.path.substr(0, dot);
        if (current != section) {
            text += section.empty() ? "" : "\n    },\n";
            text += "    \"" + std::string{current} + "\": {";
            section = current;
            has_entry = false;
        }
        auto const name = std::string{key.path.substr(dot + 1)};
        auto const entry = "\"" + name + "\": " + default_text(key);
        // The separator stands before an entry, so that a commented entry
        // never leaves a trailing comma.
        text += has_entry && !key.is_required ? ",\n" : "\n";
        text += "        // " + std::string{key.meaning} +
                "\n        // Allowed: " + allowed_text(key.allowed) +
                ".\n        ";
        text += key.is_required ? "// required: " + entry : entry;
        has_entry = has_entry || !key.is_required;
    }
    return text + "\n    }\n}\n";
}

std::string reference_table()
{
    daemon_settings defaults;
    std::string text =
        "| key | default | allowed | meaning |\n|---|---|---|---|\n";
    for (auto const& key : describe(defaults)) {
        auto const value =
            key.is_required ? "required" : "`" + default_text(key) + "`";
        text += "| `" + std::string{key.path} + "` | " + value + " | " +
                allowed_text(key.allowed) + " | " + std::string{key.meaning} +
                " |\n";
    }
    return text;
}

} // namespace foxtaillift::settings
