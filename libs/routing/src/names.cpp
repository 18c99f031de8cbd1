// Names of enumerators, as used in logs and headers.
#include "foxtaillift/routing/admission.hpp"
#include "foxtaillift/routing/call_messages.hpp"

namespace foxtaillift::routing
{

std::string_view to_string(refusal value)
{
    switch (value) {
    case refusal::none:
        return "none";
    case refusal::deadline:
        return "deadline";
    case refusal::caller_queue:
        return "caller-queue-full";
    case refusal::service_queue:
        return "service-queue-full";
    case refusal::too_many_services:
        return "too-many-services";
    case refusal::pushed_out:
        return "pushed-out";
    case refusal::no_worker:
        return "no-worker";
    }
    return "unknown";
}

std::string_view to_string(call_outcome value)
{
    switch (value) {
    case call_outcome::ran:
        return "ran";
    case call_outcome::not_run:
        return "not-run";
    case call_outcome::unknown:
        break;
    }
    return "unknown";
}

} // namespace foxtaillift::routing
