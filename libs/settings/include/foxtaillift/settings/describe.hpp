/// One description of every settings key: path, allowed values, meaning.
#pragma once

#include "foxtaillift/settings/daemon_settings.hpp"

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtaillift::settings
{

/// Non-empty text of letters, digits, '.', '_' and '-'.
struct name_rule
{};

/// "IP:port", IPv4 or "[IPv6]:port".
struct address_rule
{
    bool may_be_empty = false;
};

/// "host=IP:port".
struct route_rule
{};

/// At least 32 hexadecimal digits (128 bits).
struct key_rule
{};

/// One of the listed words.
struct choice_rule
{
    std::vector<std::string_view> words;
};

struct integer_rule
{
    std::int64_t least = 0;
    std::int64_t most = std::numeric_limits<std::int64_t>::max();
};

/// Whole milliseconds; the key ends in "_ms".
struct duration_rule
{
    std::int64_t least_ms = 1;
    std::int64_t most_ms = 3600 * 1000;
};

struct share_rule
{
    double least = 0;
    double most = 1;
};

using rule = std::variant<
    name_rule,
    address_rule,
    route_rule,
    key_rule,
    choice_rule,
    integer_rule,
    duration_rule,
    share_rule>;

/// Where the value of a key lives within a `daemon_settings`.
using target = std::variant<
    std::string*,
    std::int64_t*,
    double*,
    base::duration*,
    std::vector<std::string>*>;

struct key_description
{
    std::string_view path; ///< "section.key"
    target value;
    rule allowed;
    bool is_required = false;
    std::string_view meaning;
};

/// Describes all keys, with targets inside of `settings`, which must outlive
/// the result.
std::vector<key_description> describe(daemon_settings& settings);

/// The allowed values as a phrase, for messages and the reference page.
std::string allowed_text(rule const& allowed);

} // namespace foxtaillift::settings
