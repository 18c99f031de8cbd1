#include "foxtaillift/cluster/configuration_document.hpp"

#include "foxtaillift/base/error.hpp"

#include <set>
#include <utility>

namespace foxtaillift::cluster
{

namespace
{

[[noreturn]] void refuse(std::string const& message)
{
    throw base::error(base::error_code::invalid_argument, message);
}

std::string label(std::string const& name, std::string const& subject)
{
    return subject.empty() ? name : name + "[" + subject + "]";
}

std::string describe(
    std::map<std::string, std::string> const& values, std::string const& name)
{
    auto const found = values.find(name);
    return found == values.end() ? "(built-in)" : found->second;
}

std::string describe(
    std::map<
        configuration_document::override_key,
        configuration_override> const& values,
    configuration_document::override_key const& key)
{
    auto const found = values.find(key);
    if (found == values.end()) {
        return "(default)";
    }
    auto const& expiry = found->second.expires_at_ms;
    return found->second.value +
           (expiry ? " until " + std::to_string(*expiry) : " without expiry");
}

std::string change_line(
    std::string line, std::string const& before, std::string const& after)
{
    line.append(": ").append(before).append(" -> ").append(after);
    return line;
}

template <class Map>
auto keys_of(Map const& first, Map const& second)
{
    std::set<typename Map::key_type> keys;
    for (auto const& entry : first) {
        keys.insert(entry.first);
    }
    for (auto const& entry : second) {
        keys.insert(entry.first);
    }
    return keys;
}

void check_override(
    setting_definition const& definition,
    configuration_edit const& edit,
    std::int64_t wall_ms)
{
    check_setting(definition, edit.value);
    auto const name = label(edit.name, edit.subject);
    if (edit.expires_at_ms.has_value() == edit.has_no_expiry) {
        refuse(
            "override " + name +
            " needs either an expiry or the statement that it has none");
    }
    if (edit.expires_at_ms && *edit.expires_at_ms <= wall_ms) {
        refuse("the expiry of override " + name + " is in the past");
    }
}

} // namespace

void configuration_document::apply(configuration_delta const& delta)
{
    if (delta.version != this->current + 1) {
        throw base::error(
            base::error_code::invalid_state,
            "configuration change " + std::to_string(delta.version) +
                " does not follow version " + std::to_string(this->current));
    }
    for (auto const& edit : delta.edits) {
        override_key const key{edit.name, edit.subject};
        switch (edit.kind) {
        case edit_kind::set_default:
            this->default_values[edit.name] = edit.value;
            break;
        case edit_kind::reset_default:
            this->default_values.erase(edit.name);
            break;
        case edit_kind::set_override:
            this->override_values[key] = {
                edit.value, delta.reason, delta.author, edit.expires_at_ms,
                delta.version};
            break;
        case edit_kind::remove_override:
            this->override_values.erase(key);
            break;
        }
    }
    this->current = delta.version;
}

std::vector<std::string> list_differences(
    configuration_document const& older, configuration_document const& newer)
{
    std::vector<std::string> lines;
    for (auto const& name : keys_of(older.defaults(), newer.defaults())) {
        auto const before = describe(older.defaults(), name);
        auto const after = describe(newer.defaults(), name);
        if (before != after) {
            lines.push_back(change_line(name, before, after));
        }
    }
    for (auto const& key : keys_of(older.overrides(), newer.overrides())) {
        auto const before = describe(older.overrides(), key);
        auto const after = describe(newer.overrides(), key);
        if (before != after) {
            lines.push_back(
                change_line(label(key.first, key.second), before, after));
        }
    }
    return lines;
}

std::vector<configuration_edit>
list_edits(configuration_document const& from, configuration_document const& to)
{
    std::vector<configuration_edit> edits;
    for (auto const& name : keys_of(from.defaults(), to.defaults())) {
        auto const wanted = to.defaults().find(name);
        auto const present = from.defaults().find(name);
        configuration_edit edit;
        edit.name = name;
        if (wanted == to.defaults().end()) {
            edit.kind = edit_kind::reset_default;
            edits.push_back(std::move(edit));
        } else if (
            present == from.defaults().end() ||
            present->second != wanted->second) {
            edit.value = wanted->second;
            edits.push_back(std::move(edit));
        }
    }
    for (auto const& key : keys_of(from.overrides(), to.overrides())) {
        auto const wanted = to.overrides().find(key);
        auto const present = from.overrides().find(key);
        configuration_edit edit;
        edit.name = key.first;
        edit.subject = key.second;
        if (wanted == to.overrides().end()) {
            edit.kind = edit_kind::remove_override;
            edits.push_back(std::move(edit));
        } else if (
            present == from.overrides().end() ||
            present->second.value != wanted->second.value ||
            present->second.expires_at_ms != wanted->second.expires_at_ms) {
            edit.kind = edit_kind::set_override;
            edit.value = wanted->second.value;
            edit.expires_at_ms = wanted->second.expires_at_ms;
            edit.has_no_expiry = !edit.expires_at_ms;
            edits.push_back(std::move(edit));
        }
    }
    return edits;
}

void check_edits(
    configuration_document const& document,
    std::vector<configuration_edit> const& edits,
    std::int64_t wall_ms)
{
    if (edits.empty()) {
        refuse("the change is empty");
    }
    for (auto const& edit : edits) {
        // Settings of a later version of the program can still be removed.
        bool const is_removal = edit.kind == edit_kind::reset_default ||
                                edit.kind == edit_kind::remove_override;
        bool const is_override = edit.kind == edit_kind::set_override ||
                                 edit.kind == edit_kind::remove_override;
        auto const key =
            configuration_document::override_key{edit.name, edit.subject};
        bool const is_present = is_override
                                    ? document.overrides().contains(key)
                                    : document.defaults().contains(edit.name);
        if (is_removal && is_present) {
            continue;
        }
        auto const& definition = find_setting(edit.name);
        if (is_override && edit.subject.empty()) {
            refuse(
                "override of '" + edit.name + "' names no " +
                std::string{to_string(definition.scope)});
        }
        if (is_removal) {
            refuse(
                "there is no value of " + label(edit.name, edit.subject) +
                " to remove");
        }
        if (is_override) {
            check_override(definition, edit, wall_ms);
        } else {
            check_setting(definition, edit.value);
        }
    }
}

} // namespace foxtaillift::cluster
