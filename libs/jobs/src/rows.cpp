#include "foxtaillift/jobs/rows.hpp"

#include <algorithm>
#include <charconv>

namespace foxtaillift::jobs
{

namespace
{

constexpr std::string_view submission_suffix = ".accepted";
constexpr std::string_view cancellation_suffix = ".cancelled";
constexpr std::string_view tombstone_suffix = ".tombstone";

/// Of a page of the roster; bounds memory if another wrote the key.
constexpr std::size_t page_limit = 1000;

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
    case store_status::rejected:
        return "rejected";
    case store_status::barred:
        return "barred";
    case store_status::full:
        return "full";
    }
    return "unknown";
}

std::string roster_key(std::size_t page)
{
    return lead_keys::roster + std::to_string(page);
}

std::optional<std::size_t> parse_roster_key(std::string_view key)
{
    std::string_view const prefix = lead_keys::roster;
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    auto const digits = key.substr(prefix.size());
    std::size_t page = 0;
    auto const [end, failure] =
        std::from_chars(digits.data(), digits.data() + digits.size(), page);
    if (failure != std::errc{} || end != digits.data() + digits.size() ||
        page >= page_limit) {
        return std::nullopt;
    }
    return page;
}

std::string submission_key(std::string_view job)
{
    return std::string{job}.append(submission_suffix);
}

std::string cancellation_key(std::string_view job)
{
    return std::string{job}.append(cancellation_suffix);
}

std::string tombstone_key(std::string_view job)
{
    return std::string{job}.append(tombstone_suffix);
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
        .is_tombstone = suffix == tombstone_suffix,
        .is_valid = suffix == submission_suffix ||
                    suffix == cancellation_suffix ||
                    suffix == tombstone_suffix};
}

bool has_tombstone(std::span<row const> rows, std::string_view job)
{
    return std::any_of(rows.begin(), rows.end(), [&](row const& each) {
        return each.table == tables::ended && each.key == job &&
               each.value == tombstone_value;
    });
}

std::int64_t rejection_version(std::span<row const> rows, std::string_view job)
{
    auto const found =
        std::find_if(rows.begin(), rows.end(), [&](row const& each) {
            return each.table == tables::ended && each.key == job &&
                   each.value == rejection_value;
        });
    return found == rows.end() ? 0 : found->version;
}

} // namespace foxtaillift::jobs
