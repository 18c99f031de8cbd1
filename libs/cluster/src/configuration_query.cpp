#include "foxtaillift/cluster/configuration_query.hpp"

#include "foxtaillift/base/error.hpp"

#include <algorithm>
#include <charconv>
#include <memory>

namespace foxtaillift::cluster
{

namespace
{

bool has_expired(configuration_override const& entry, std::int64_t wall_ms)
{
    return entry.expires_at_ms && *entry.expires_at_ms <= wall_ms;
}

/// The override, the fleet-wide default, or null.
std::string const* find_stored(
    configuration_document const& document,
    std::string_view name,
    std::string_view subject,
    std::int64_t wall_ms)
{
    auto const found =
        document.overrides().find({std::string{name}, std::string{subject}});
    if (found != document.overrides().end() &&
        !has_expired(found->second, wall_ms)) {
        return &found->second.value;
    }
    auto const fallback = document.defaults().find(std::string{name});
    return fallback == document.defaults().end() ? nullptr : &fallback->second;
}

std::int64_t parse_integer(std::string_view text)
{
    std::int64_t value = 0;
    std::from_chars(
        std::to_address(text.begin()), std::to_address(text.end()), value);
    return value;
}

bool has_service(formats::worker_entry const& worker, std::string const& name)
{
    return std::any_of(
        worker.services.begin(), worker.services.end(),
        [&name](auto const& service) { return service.str() == name; });
}

bool can_meet(
    configuration_document const& document,
    formats::worker_entry const& worker,
    fleet_need const& need,
    std::int64_t wall_ms)
{
    if (worker.state != formats::worker_state::live ||
        !is_in_service(document, worker.worker.view(), wall_ms) ||
        (!need.service.empty() && !has_service(worker, need.service))) {
        return false;
    }
    std::int64_t reserve = 0;
    for (auto const& service : worker.services) {
        reserve = std::max(
            reserve,
            effective_integer(
                document, "service.batch_reserve", service.view(), wall_ms));
    }
    auto left = worker.capacity;
    left.processors -= left.processors * reserve / 100;
    return need.size.fits_in(left);
}

} // namespace

std::string effective_text(
    configuration_document const& document,
    std::string_view name,
    std::string_view subject,
    std::int64_t wall_ms)
{
    auto const& definition = find_setting(name);
    auto const* stored = find_stored(document, name, subject, wall_ms);
    return stored == nullptr ? std::string{definition.built_in} : *stored;
}

std::optional<std::string> configured_text(
    configuration_document const& document,
    std::string_view name,
    std::string_view subject,
    std::int64_t wall_ms)
{
    auto const& definition = find_setting(name);
    auto const* stored = find_stored(document, name, subject, wall_ms);
    if (stored == nullptr) {
        return std::nullopt;
    }
    try {
        check_setting(definition, *stored);
    } catch (base::error const&) {
        return std::nullopt;
    }
    return *stored;
}

std::vector<std::string>
subjects_of(configuration_document const& document, std::string_view name)
{
    std::vector<std::string> subjects;
    auto const& overrides = document.overrides();
    for (auto next = overrides.lower_bound({std::string{name}, ""});
         next != overrides.end() && next->first.first == name; ++next) {
        subjects.push_back(next->first.second);
    }
    return subjects;
}

std::optional<std::int64_t>
next_expiry(configuration_document const& document, std::int64_t wall_ms)
{
    std::optional<std::int64_t> next;
    for (auto const& [key, entry] : document.overrides()) {
        if (entry.expires_at_ms && !has_expired(entry, wall_ms) &&
            (!next || *entry.expires_at_ms < *next)) {
            next = entry.expires_at_ms;
        }
    }
    return next;
}

std::int64_t effective_integer(
    configuration_document const& document,
    std::string_view name,
    std::string_view subject,
    std::int64_t wall_ms)
{
    auto const& definition = find_setting(name);
    auto const text = effective_text(document, name, subject, wall_ms);
    try {
        check_setting(definition, text);
    } catch (base::error const&) {
        return parse_integer(definition.built_in);
    }
    return parse_integer(text);
}

bool is_in_service(
    configuration_document const& document,
    std::string_view worker,
    std::int64_t wall_ms)
{
    return effective_text(document, "worker.state", worker, wall_ms) ==
           "in_service";
}

std::vector<configuration_document::override_key>
expired_overrides(configuration_document const& document, std::int64_t wall_ms)
{
    std::vector<configuration_document::override_key> expired;
    for (auto const& [key, entry] : document.overrides()) {
        if (has_expired(entry, wall_ms)) {
            expired.push_back(key);
        }
    }
    return expired;
}

std::vector<std::string> find_lost_needs(
    configuration_document const& before,
    configuration_document const& after,
    fleet_view const& fleet,
    std::int64_t wall_ms)
{
    std::vector<std::string> messages;
    auto const is_met = [&fleet,
                         wall_ms](auto const& document, auto const& need) {
        return std::any_of(
            fleet.workers.begin(), fleet.workers.end(),
            [&](auto const& worker) {
                return can_meet(document, worker, need, wall_ms);
            });
    };
    for (auto const& need : fleet.needs) {
        if (is_met(before, need) && !is_met(after, need)) {
            messages.push_back(
                "this would leave no worker able to run " + need.name);
        }
    }
    return messages;
}

} // namespace foxtaillift::cluster
