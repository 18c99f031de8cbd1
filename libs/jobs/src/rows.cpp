#include "foxtaillift/jobs/rows.hpp"

namespace foxtaillift::jobs
{

namespace
{

constexpr std::string_view submission_suffix = ".accepted";
constexpr std::string_view cancellation_suffix = ".cancelled";

} // namespace

std::string_view to_string(store_status status)
{
    switch (status) {
    case store_status::done:
        return "done";
    case store_status::conflict:
        return "conflict";
    case store_status::not_done:
        return "not_done";
    case store_status::unknown:
        return "unknown";
    case store_status::history_lost:
        return "history_lost";
    }
    return "unknown";
}

std::string submission_key(std::string_view job)
{
    return std::string{job}.append(submission_suffix);
}

std::string cancellation_key(std::string_view job)
{
    return std::string{job}.append(cancellation_suffix);
}

std::string first_key(std::string_view job)
{
    return std::string{job} + ".";
}

std::string end_key(std::string_view job)
{
    return std::string{job} + "/"; // '/' follows '.'
}

job_row_key parse_job_key(std::string_view key)
{
    auto const dot = key.find('.');
    if (dot == std::string_view::npos || dot == 0) {
        return {};
    }
    auto const suffix = key.substr(dot);
    return {
        .job = std::string{key.substr(0, dot)},
        .is_cancellation = suffix == cancellation_suffix,
        .is_valid =
            suffix == submission_suffix || suffix == cancellation_suffix};
}

} // namespace foxtaillift::jobs
