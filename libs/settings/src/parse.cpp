#include "foxtaillift/settings/parse.hpp"

#include "foxtaillift/settings/address.hpp"
#include "foxtaillift/settings/describe.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <fstream>
#include <set>
#include <sstream>

namespace foxtaillift::settings
{

namespace
{

using nlohmann::json;
using problem_list = std::vector<std::string>;

std::string join(std::string_view file, problem_list const& problems)
{
    std::string text;
    for (auto const& problem : problems) {
        text += text.empty() ? "" : "\n";
        text += std::string{file} + ": " + problem;
    }
    return text;
}

bool is_name(std::string const& text)
{
    auto const allowed = [](unsigned char c) {
        return std::isalnum(c) || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), allowed);
}

bool is_key(std::string const& text)
{
    return text.size() >= 32 && text.size() % 2 == 0 &&
           std::all_of(text.begin(), text.end(), [](unsigned char c) {
               return std::isxdigit(c) != 0;
           });
}

struct text_check
{
    std::string const& text;

    bool operator()(name_rule const&) const { return is_name(this->text); }
    bool operator()(address_rule const& allowed) const
    {
        return (allowed.may_be_empty && this->text.empty()) ||
               parse_address(this->text).has_value();
    }
    bool operator()(route_rule const&) const
    {
        return parse_route(this->text).has_value();
    }
    bool operator()(key_rule const&) const { return is_key(this->text); }
    bool operator()(choice_rule const& allowed) const
    {
        return std::find(
                   allowed.words.begin(), allowed.words.end(), this->text) !=
               allowed.words.end();
    }
    template <class Other>
    bool operator()(Other const&) const
    {
        return false;
    }
};

bool assign(std::string& out, json const& in, rule const& allowed)
{
    if (!in.is_string()) {
        return false;
    }
    auto const text = in.get<std::string>();
    if (!std::visit(text_check{text}, allowed)) {
        return false;
    }
    out = text;
    return true;
}

bool assign(std::vector<std::string>& out, json const& in, rule const& allowed)
{
    if (!in.is_array()) {
        return false;
    }
    out.clear();
    return std::all_of(in.begin(), in.end(), [&](json const& element) {
        return assign(out.emplace_back(), element, allowed);
    });
}

bool assign(std::int64_t& out, json const& in, rule const& allowed)
{
    auto const& range = std::get<integer_rule>(allowed);
    if (!in.is_number_integer()) {
        return false;
    }
    out = in.get<std::int64_t>();
    return out >= range.least && out <= range.most;
}

bool assign(base::duration& out, json const& in, rule const& allowed)
{
    auto const& range = std::get<duration_rule>(allowed);
    if (!in.is_number_integer()) {
        return false;
    }
    out = base::milliseconds(in.get<std::int64_t>());
    return out.ms >= range.least_ms && out.ms <= range.most_ms;
}

bool assign(double& out, json const& in, rule const& allowed)
{
    auto const& range = std::get<share_rule>(allowed);
    if (!in.is_number()) {
        return false;
    }
    out = in.get<double>();
    return out >= range.least && out <= range.most;
}

std::string shown(key_description const& key, json const& found)
{
    bool const is_secret = std::holds_alternative<key_rule>(key.allowed);
    return is_secret ? "a value that is not shown" : found.dump();
}

void read_key(key_description const& key, json const& in, problem_list& out)
{
    bool const is_accepted = std::visit(
        [&](auto* value) { return assign(*value, in, key.allowed); },
        key.value);
    if (!is_accepted) {
        out.push_back(
            std::string{key.path} + ": found " + shown(key, in) +
            "; allowed: " + allowed_text(key.allowed));
    }
}

void check_unknown(
    json const& document,
    std::vector<key_description> const& keys,
    problem_list& out)
{
    std::set<std::string, std::less<>> sections;
    std::set<std::string, std::less<>> paths;
    for (auto const& key : keys) {
        paths.emplace(key.path);
        sections.emplace(key.path.substr(0, key.path.find('.')));
    }
    for (auto const& [section, content] : document.items()) {
        if (!sections.contains(section)) {
            out.push_back(section + ": unknown section");
            continue;
        }
        if (!content.is_object()) {
            out.push_back(section + ": must be an object");
            continue;
        }
        for (auto const& entry : content.items()) {
            auto const path = section + "." + entry.key();
            if (!paths.contains(path)) {
                out.push_back(path + ": unknown key");
            }
        }
    }
}

void check_together(daemon_settings const& s, problem_list& out)
{
    if (s.peer.key == s.operators.key && !s.peer.key.empty()) {
        out.emplace_back("operator.key: must differ from peer.key");
    }
    if (s.lease.renewal_interval * 3 > s.lease.length) {
        out.emplace_back(
            "lease.renewal_interval_ms: must be at most a third of "
            "lease.length_ms");
    }
    if (s.lease.margin * 4 > s.lease.length) {
        out.emplace_back(
            "lease.margin_ms: must be at most a quarter of lease.length_ms");
    }
    if (s.batch.task_renewal_interval * 2 > s.batch.task_lease) {
        out.emplace_back(
            "batch.task_renewal_interval_ms: must be at most half of "
            "batch.task_lease_ms");
    }
    if (s.peer.ping_interval >= s.peer.ping_timeout) {
        out.emplace_back(
            "peer.ping_interval_ms: must be less than peer.ping_timeout_ms");
    }
    if (s.calls.buffer_limit <= s.calls.body_limit) {
        out.emplace_back(
            "calls.buffer_limit: must be larger than calls.body_limit");
    }
}

json parse_text(std::string_view text, std::string_view file)
{
    try {
        return json::parse(text, nullptr, true, true);
    } catch (json::parse_error const& failure) {
        throw settings_error(file, {failure.what()});
    }
}

void read_keys(
    json const& document,
    std::vector<key_description> const& keys,
    problem_list& out)
{
    for (auto const& key : keys) {
        auto const dot = key.path.find('.');
        std::string const section{key.path.substr(0, dot)};
        std::string const name{key.path.substr(dot + 1)};
        if (document.contains(section) && document[section].is_object() &&
            document[section].contains(name)) {
            read_key(key, document[section][name], out);
        } else if (key.is_required) {
            out.push_back(
                std::string{key.path} + ": missing; it needs " +
                allowed_text(key.allowed));
        }
    }
}

} // namespace

settings_error::settings_error(
    std::string_view file, std::vector<std::string> problems)
    : base::error(base::error_code::invalid_argument, join(file, problems))
    , lines(std::move(problems))
{}

daemon_settings parse_settings(std::string_view text, std::string_view file)
{
    auto const document = parse_text(text, file);
    if (!document.is_object()) {
        throw settings_error(file, {"the file must hold one JSON object"});
    }
    daemon_settings result;
    auto const keys = describe(result);
    problem_list problems;
    check_unknown(document, keys, problems);
    read_keys(document, keys, problems);
    check_together(result, problems);
    if (!problems.empty()) {
        throw settings_error(file, std::move(problems));
    }
    return result;
}

daemon_settings load_settings(std::string const& path)
{
    std::ifstream in{path, std::ios::binary};
    if (!in) {
        throw base::error(
            base::error_code::not_found,
            "settings file '" + path + "' cannot be read");
    }
    std::ostringstream text;
    text << in.rdbuf();
    return parse_settings(text.str(), path);
}

} // namespace foxtaillift::settings
