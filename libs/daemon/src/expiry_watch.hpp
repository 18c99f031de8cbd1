/// Notices that overrides of the fleet configuration lose their effect.
#pragma once

#include "foxtaillift/cluster/configuration_document.hpp"

#include <cstdint>
#include <optional>

namespace foxtaillift::daemon
{

/// The removal of an expired override is a change that follows up to a minute
/// later, or never while the store is down; what is derived from a document has
/// to be derived again at the expiry itself.
class expiry_watch
{
public:
    /// True if an override of the document that was given last has expired
    /// since. Cheap while the document stays the same.
    bool check(
        cluster::configuration_document const& document, std::int64_t wall_ms);

    /// Wall-clock time of the next expiry.
    [[nodiscard]] std::optional<std::int64_t> next() const
    {
        return this->next_expiry;
    }

private:
    cluster::configuration_version version = 0;
    std::optional<std::int64_t> next_expiry;
};

} // namespace foxtaillift::daemon
