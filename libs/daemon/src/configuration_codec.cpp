#include "configuration_codec.hpp"

#include "task_codec.hpp"

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

#include <boost/algorithm/string/split.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <sstream>
#include <vector>

namespace foxtaillift::daemon
{

namespace
{

using cluster::edit_kind;
using nlohmann::json;

constexpr std::size_t most_listed_tasks = 10'000;

char const* name_of(edit_kind kind)
{
    switch (kind) {
    case edit_kind::set_default:
        return "set_default";
    case edit_kind::reset_default:
        return "reset_default";
    case edit_kind::set_override:
        return "set_override";
    case edit_kind::remove_override:
        return "remove_override";
    }
    return "unknown";
}

edit_kind parse_kind(std::string const& text)
{
    for (auto const kind :
         {edit_kind::set_default, edit_kind::reset_default,
          edit_kind::set_override, edit_kind::remove_override}) {
        if (text == name_of(kind)) {
            return kind;
        }
    }
    throw base::error(
        base::error_code::invalid_argument,
        "kind: found '" + text +
            "'; allowed: set_default, reset_default, set_override, "
            "remove_override");
}

json edit_to_json(cluster::configuration_edit const& edit)
{
    json out = {{"kind", name_of(edit.kind)}, {"name", edit.name}};
    if (!edit.subject.empty()) {
        out["subject"] = edit.subject;
    }
    if (!edit.value.empty()) {
        out["value"] = edit.value;
    }
    if (edit.expires_at_ms) {
        out["expires_at_ms"] = *edit.expires_at_ms;
    }
    if (edit.has_no_expiry) {
        out["no_expiry"] = true;
    }
    return out;
}

cluster::configuration_edit parse_edit(json const& in)
{
    cluster::configuration_edit edit;
    edit.kind = parse_kind(in.at("kind").get<std::string>());
    in.at("name").get_to(edit.name);
    edit.subject = in.value("subject", std::string{});
    edit.value = in.value("value", std::string{});
    if (in.contains("expires_at_ms")) {
        edit.expires_at_ms = in.at("expires_at_ms").get<std::int64_t>();
    }
    edit.has_no_expiry = in.value("no_expiry", false);
    return edit;
}

/// An override is an exception that somebody has to understand later.
constexpr std::size_t least_reason_words = 3;

void check_reason(cluster::change_requested const& change)
{
    bool const has_override = std::any_of(
        change.edits.begin(), change.edits.end(),
        [](auto const& edit) { return edit.kind == edit_kind::set_override; });
    std::istringstream words{change.reason};
    auto const count = std::distance(
        std::istream_iterator<std::string>{words},
        std::istream_iterator<std::string>{});
    if (has_override && static_cast<std::size_t>(count) < least_reason_words) {
        throw base::error(
            base::error_code::invalid_argument,
            "reason: an override needs a written reason of at least 3 words");
    }
}

/// Runs `read` on the parsed body and turns its failures into one error type.
template <class Read>
auto parse_body(std::string const& body, Read read)
{
    try {
        return read(json::parse(body));
    } catch (json::exception const& failure) {
        throw base::error(base::error_code::invalid_argument, failure.what());
    }
}

char const* name_of(cluster::change_result result)
{
    switch (result) {
    case cluster::change_result::accepted:
        return "accepted";
    case cluster::change_result::outdated:
        return "outdated";
    case cluster::change_result::refused:
        return "refused";
    case cluster::change_result::unavailable:
        return "unavailable";
    case cluster::change_result::undecided:
        return "undecided";
    }
    return "unknown";
}

int status_of(cluster::change_result result)
{
    switch (result) {
    case cluster::change_result::accepted:
        return 200;
    case cluster::change_result::outdated:
        return 409;
    case cluster::change_result::refused:
        return 422;
    case cluster::change_result::unavailable:
    case cluster::change_result::undecided:
        return 503;
    }
    return 500;
}

} // namespace

json to_json(cluster::configuration_document const& document)
{
    json overrides = json::array();
    for (auto const& [key, value] : document.overrides()) {
        json entry = {{"name", key.first},      {"subject", key.second},
                      {"value", value.value},   {"reason", value.reason},
                      {"author", value.author}, {"since_version", value.since}};
        entry["expires_at_ms"] = nullptr;
        if (value.expires_at_ms) {
            entry["expires_at_ms"] = *value.expires_at_ms;
        }
        overrides.push_back(std::move(entry));
    }
    auto settings = json::array();
    for (auto const& definition : cluster::setting_definitions()) {
        auto const found =
            document.defaults().find(std::string{definition.name});
        bool const is_set = found != document.defaults().end();
        settings.push_back(
            {{"name", definition.name},
             {"value",
              is_set ? found->second : std::string{definition.built_in}},
             {"built_in", definition.built_in},
             {"scope", cluster::to_string(definition.scope)},
             {"unit", definition.unit},
             {"description", definition.description}});
    }
    return {
        {"version", document.version()},
        {"defaults", std::move(settings)},
        {"overrides", std::move(overrides)}};
}

json to_json(cluster::configuration_delta const& delta)
{
    auto edits = json::array();
    for (auto const& edit : delta.edits) {
        edits.push_back(edit_to_json(edit));
    }
    return {
        {"version", delta.version},
        {"author", delta.author},
        {"reason", delta.reason},
        {"time_ms", delta.time_ms},
        {"edits", std::move(edits)}};
}

cluster::change_requested parse_change(std::string const& body)
{
    return parse_body(body, [](json const& in) {
        cluster::change_requested out;
        in.at("expected").get_to(out.expected);
        in.at("author").get_to(out.author);
        in.at("reason").get_to(out.reason);
        for (auto const& edit : in.at("edits")) {
            out.edits.push_back(parse_edit(edit));
        }
        out.is_forced = in.value("forced", false);
        check_reason(out);
        return out;
    });
}

cluster::rollback_requested parse_rollback(std::string const& body)
{
    return parse_body(body, [](json const& in) {
        cluster::rollback_requested out;
        in.at("expected").get_to(out.expected);
        in.at("target").get_to(out.target);
        in.at("author").get_to(out.author);
        in.at("reason").get_to(out.reason);
        return out;
    });
}

transport::response to_response(cluster::change_answer const& answer)
{
    auto hosts = json::array();
    for (auto const& host : answer.acknowledged) {
        hosts.push_back(host.str());
    }
    auto changes = json::array();
    for (auto const& delta : answer.changes) {
        changes.push_back(to_json(delta));
    }
    return json_response(
        status_of(answer.result), {{"status", name_of(answer.result)},
                                   {"version", answer.version},
                                   {"acknowledged", std::move(hosts)},
                                   {"messages", answer.messages},
                                   {"changes", std::move(changes)},
                                   {"differences", answer.differences}});
}

task_list_query read_task_filter(std::string const& query)
{
    task_list_query out;
    std::vector<std::string> parts;
    boost::algorithm::split(parts, query, [](char c) { return c == '&'; });
    for (auto const& part : parts) {
        auto const equals = part.find('=');
        if (equals == std::string::npos) {
            continue;
        }
        auto const name = part.substr(0, equals);
        auto const value = part.substr(equals + 1);
        if (name == "team") {
            out.filter.team = base::team_id{value};
        } else if (name == "state") {
            out.filter.state = value;
        } else if (name == "limit") {
            std::from_chars(
                value.data(), value.data() + value.size(), out.limit);
        }
    }
    out.limit = std::min(out.limit, most_listed_tasks);
    return out;
}

} // namespace foxtaillift::daemon
