#include "expiry_watch.hpp"

#include "foxtaillift/cluster/configuration_query.hpp"

namespace foxtaillift::daemon
{

bool expiry_watch::check(
    cluster::configuration_document const& document, std::int64_t wall_ms)
{
    bool const has_expired = this->next_expiry && *this->next_expiry <= wall_ms;
    if (has_expired || this->version != document.version()) {
        this->version = document.version();
        this->next_expiry = cluster::next_expiry(document, wall_ms);
    }
    return has_expired;
}

} // namespace foxtaillift::daemon
