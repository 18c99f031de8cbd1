/// Prints the default settings and the reference table.
#pragma once

#include <string>

namespace foxtaillift::settings
{

/// A settings file with every key at its default, each with a comment. Required
/// keys are commented out, because they have no default.
std::string default_file();

/// The table of docs/settings.md in Markdown.
std::string reference_table();

} // namespace foxtaillift::settings
