#include "foxtaillift/store/submission.hpp"

#include <algorithm>

namespace foxtaillift::store
{

std::optional<formats::row_version>
version_in(completion const& finished, std::string const& key)
{
    auto const found = std::find_if(
        finished.rows.begin(), finished.rows.end(),
        [&key](auto const& row) { return row.key == key; });
    if (found == finished.rows.end()) {
        return std::nullopt;
    }
    return found->version;
}

} // namespace foxtaillift::store
