/// Reads and checks a settings file.
#pragma once

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/settings/daemon_settings.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::settings
{

/// All problems of one file.
class settings_error : public base::error
{
public:
    settings_error(std::string_view file, std::vector<std::string> problems);

    /// One line each: key path, what was found, what is allowed.
    [[nodiscard]] std::vector<std::string> const& problems() const
    {
        return this->lines;
    }

private:
    std::vector<std::string> lines;
};

/// Parses JSON with comments and checks every key. `file` is used in messages
/// only.
/// \throws settings_error naming every unknown key, wrong type, value out of
/// range, missing key and contradiction.
daemon_settings parse_settings(std::string_view text, std::string_view file);

/// Reads `path` and parses it.
/// \throws base::error (not_found) if the file cannot be read; settings_error.
daemon_settings load_settings(std::string const& path);

} // namespace foxtaillift::settings
