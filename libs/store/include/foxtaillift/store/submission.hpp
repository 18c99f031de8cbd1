/// What the other libraries hand to the group committer, and what they get.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/formats/table.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtaillift::store
{

/// Order in which submissions enter a transaction, highest first.
enum class priority : std::uint8_t
{
    lease_renewal,
    ownership,
    configuration,
    call_claim,
    task_record,
    history,
};
inline constexpr std::size_t priority_count = 6;

/// Which part of the daemon submitted, so that completions can be routed.
enum class submitter : std::uint8_t
{
    ownership,
    configuration,
    calls,
    tasks,
    other,
};

struct submission_id
{
    submitter source = submitter::other;
    std::uint64_t number = 0; ///< unique within `source`

    auto operator<=>(submission_id const&) const = default;
};

/// Writes that take effect together if all conditions hold.
///
/// The owner of a cell puts the row version of `owner/<cell>` into
/// `conditions`. A submission must not write a key twice.
struct submission
{
    submission_id id = {};
    priority level = priority::task_record;
    std::vector<formats::row_condition> conditions = {};
    std::vector<formats::row_write> writes = {};
    /// After this instant the submission is rejected instead of sent. It is
    /// never rejected while it may still take effect.
    std::optional<base::instant> deadline = {};
};

enum class outcome
{
    committed, ///< took effect exactly once
    conflict,  ///< had no effect and never will: a condition does not hold
    rejected,  ///< had no effect and never will: bound or deadline
};

struct completion
{
    submission_id id = {};
    outcome result = outcome::rejected;
    /// `committed`: the new versions of the written rows. A row that somebody
    /// else changed before its version could be read back is left out.
    /// `conflict`: the rows of the submission that differ, with their versions.
    std::vector<formats::row_condition> rows = {};
    std::string reason = {}; ///< for `conflict` and `rejected`
};

/// One line for the log, see base::event_line.
struct log_line
{
    std::string text = {};
};

/// Version of `key` in the rows of a completion, if it is there.
std::optional<formats::row_version>
version_in(completion const& finished, std::string const& key);

} // namespace foxtaillift::store
