#include "foxtaillift/batch/actions.hpp"
#include "foxtaillift/batch/cell_query.hpp"

namespace foxtaillift::batch
{

std::string_view to_string(runs_verb verb)
{
    switch (verb) {
    case runs_verb::renew:
        return "renew";
    case runs_verb::throttle:
        return "throttle";
    case runs_verb::checkpoint:
        return "checkpoint";
    case runs_verb::stop:
        return "stop";
    case runs_verb::acknowledge:
        return "acknowledge";
    }
    return "unknown";
}

std::string_view to_string(reply_status status)
{
    switch (status) {
    case reply_status::accepted:
        return "accepted";
    case reply_status::existing:
        return "existing";
    case reply_status::key_conflict:
        return "key_conflict";
    case reply_status::invalid:
        return "invalid";
    case reply_status::too_many:
        return "too_many";
    case reply_status::unavailable:
        return "unavailable";
    case reply_status::not_found:
        return "not_found";
    case reply_status::not_allowed:
        return "not_allowed";
    }
    return "unknown";
}

std::string_view to_string(cell_phase phase)
{
    switch (phase) {
    case cell_phase::released:
        return "released";
    case cell_phase::replaying:
        return "replaying";
    case cell_phase::adopting:
        return "adopting";
    case cell_phase::active:
        return "active";
    }
    return "unknown";
}

} // namespace foxtaillift::batch
