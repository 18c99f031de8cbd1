/// The exception type of foxtaillift.
///
/// Exceptions report failures that the caller of a function cannot expect in
/// ordinary work (bad settings, broken invariants). Refusals under load are
/// ordinary results and are returned as typed values.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace foxtaillift::base
{

/// What kind of failure an `error` reports.
enum class error_code
{
    invalid_argument, ///< input of a user or a peer breaks a stated rule
    invalid_state,    ///< the operation is not allowed in the current state
    not_found,        ///< the named thing does not exist
    conflict,         ///< somebody else changed the same thing first
    unavailable,      ///< a dependency does not answer; try again later
    corrupt_data,     ///< stored or received data cannot be decoded
};

/// Returns the lower-case name of a code, as used in logs and JSON.
std::string_view to_string(error_code code);

/// Base class of all exceptions that foxtaillift throws.
class error : public std::runtime_error
{
public:
    error(error_code code, std::string const& message);

    [[nodiscard]] error_code code() const { return this->value; }

private:
    error_code value;
};

} // namespace foxtaillift::base
