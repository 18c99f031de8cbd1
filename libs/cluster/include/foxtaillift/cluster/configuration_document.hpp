/// The fleet configuration at one version.
#pragma once

#include "foxtaillift/cluster/msgpack_identifier.hpp"
#include "foxtaillift/cluster/settings_registry.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::cluster
{

using configuration_version = std::uint64_t;

enum class edit_kind : std::uint8_t
{
    set_default,     ///< `name`, `value`
    reset_default,   ///< `name`: back to the built-in value
    set_override,    ///< `name`, `subject`, `value`, `expires_at_ms`
    remove_override, ///< `name`, `subject`
};

/// One step of a change.
struct configuration_edit
{
    edit_kind kind = edit_kind::set_default;
    std::string name = {};    ///< of the setting
    std::string subject = {}; ///< service, team, worker or class
    std::string value = {};
    /// Wall clock, milliseconds since 1970. Nothing means no expiry, which the
    /// operator must state (see `has_no_expiry`).
    std::optional<std::int64_t> expires_at_ms = {};
    bool has_no_expiry = false;

    bool operator==(configuration_edit const&) const = default;
};

/// One accepted change; the value of the row `config/change/<version>`.
struct configuration_delta
{
    configuration_version version = 0; ///< that this change leads to
    std::string operation = {};        ///< unique id of the change
    std::string author = {};
    std::string reason = {};
    std::int64_t time_ms = 0; ///< wall clock, for people
    std::vector<configuration_edit> edits = {};

    bool operator==(configuration_delta const&) const = default;
};

struct configuration_override
{
    std::string value = {};
    std::string reason = {};
    std::string author = {};
    std::optional<std::int64_t> expires_at_ms = {}; ///< nothing: no expiry
    configuration_version since = 0;

    bool operator==(configuration_override const&) const = default;
};

/// Defaults and overrides. A plain value; `apply` is the only change.
class configuration_document
{
public:
    using override_key = std::pair<std::string, std::string>; ///< name, subject

    [[nodiscard]] configuration_version version() const
    {
        return this->current;
    }
    [[nodiscard]] std::map<std::string, std::string> const& defaults() const
    {
        return this->default_values;
    }
    [[nodiscard]] std::map<override_key, configuration_override> const&
    overrides() const
    {
        return this->override_values;
    }

    /// Applies an accepted change. Unknown names are kept, as a newer host may
    /// have accepted them. Throws base::error with `invalid_state` unless
    /// `delta.version` is the next version.
    void apply(configuration_delta const& delta);

    bool operator==(configuration_document const&) const = default;

    /// Text of a snapshot object, and back. Throws `corrupt_data`.
    [[nodiscard]] std::string to_text() const;
    static configuration_document from_text(std::string const& text);

private:
    configuration_version current = 0;
    std::map<std::string, std::string> default_values = {};
    std::map<override_key, configuration_override> override_values = {};
};

std::string to_text(configuration_delta const& delta);
configuration_delta parse_delta(std::string const& text);

/// One line for each setting that differs, "name[subject]: old -> new".
std::vector<std::string> list_differences(
    configuration_document const& older, configuration_document const& newer);

/// Edits that lead from one document to the content of another.
std::vector<configuration_edit> list_edits(
    configuration_document const& from, configuration_document const& to);

/// Throws base::error with `invalid_argument` if an edit names an unknown
/// setting, has a value that is not allowed, lacks a subject or a statement
/// about its expiry, or removes an override that does not exist.
void check_edits(
    configuration_document const& document,
    std::vector<configuration_edit> const& edits,
    std::int64_t wall_ms);

} // namespace foxtaillift::cluster
