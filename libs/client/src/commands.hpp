/// Verbs that change state.
#pragma once

#include "session.hpp"

#include "foxtaillift/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtaillift::client
{

/// Who changes the configuration, why, and on top of which version. Without a
/// version the one in force is read first.
struct change_options
{
    std::string author;
    std::string reason;
    std::optional<std::uint64_t> expected;
    bool is_forced = false;
    /// Wait until the change is in force on every host.
    std::optional<base::duration> wait;
};

struct override_options
{
    std::string name;
    std::string subject;
    std::string value;
    std::optional<std::int64_t> expires_in_ms; ///< nothing: no expiry
};

exit_code submit_task(session const& use, std::string const& path);
exit_code cancel_task(session const& use, std::string const& name);
/// Submits the job that a JSON file with comments declares.
exit_code submit_job(session const& use, std::string const& path);
exit_code cancel_job(session const& use, std::string const& id);
exit_code
apply_file(session const& use, std::string const& path, change_options options);
exit_code set_default(
    session const& use,
    std::string const& name,
    std::string const& value,
    change_options const& options);
exit_code roll_back(
    session const& use, std::uint64_t target, change_options const& options);
exit_code add_override(
    session const& use,
    override_options const& what,
    change_options const& options);
exit_code remove_override(
    session const& use,
    std::string const& name,
    std::string const& subject,
    change_options const& options);

} // namespace foxtaillift::client
