#include "foxtaillift/jobs/worker.hpp"

namespace foxtaillift::jobs
{

std::string_view to_string(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::done:
        return "done";
    case run_outcome::failed:
        return "failed";
    case run_outcome::stopped:
        return "stopped";
    case run_outcome::lapsed:
        return "lapsed";
    case run_outcome::broken:
        return "broken";
    case run_outcome::alone:
        return "alone";
    }
    return "unknown";
}

std::string_view to_string(order_status status)
{
    switch (status) {
    case order_status::done:
        return "done";
    case order_status::fenced:
        return "fenced";
    case order_status::outdated:
        return "outdated";
    case order_status::late:
        return "late";
    case order_status::no_room:
        return "no_room";
    case order_status::no_ticket:
        return "no_ticket";
    case order_status::invalid:
        return "invalid";
    case order_status::not_run:
        return "not_run";
    case order_status::other_life:
        return "other_life";
    case order_status::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace foxtaillift::jobs
