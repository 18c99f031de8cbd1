/// One write of a leader's records, as rows of the store.
#pragma once

#include "foxtaillift/jobs/election.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/scheduler.hpp"
#include "foxtaillift/jobs/worker.hpp"
#include "foxtaillift/jobs/worker_record.hpp"
#include "foxtaillift/jobs/worker_roster.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtaillift::jobs
{

/// A job of the table `ended` whose row can go.
struct forgotten_job
{
    /// Entries that the removal adds to a change.
    [[nodiscard]] std::size_t entries() const
    {
        return this->has_tombstone ? 2 : 1;
    }

    std::string job{};
    bool has_tombstone = false;
};

/// A rejection row that nobody came back for.
struct expired_rejection
{
    /// The row goes only if it has this version: another host may have accepted
    /// the job since, or a caller may have cancelled it.
    static constexpr std::size_t entries = 2;

    std::string job{};
    std::int64_t version = 0;
};

struct leader_record
{
    std::uint64_t sequence = 0; ///< of writes in this leadership
    commit_batch jobs{};
    std::vector<roster_page> workers{};    ///< pages that change
    std::optional<std::string> learned{};  ///< see scheduler::learned()
    std::optional<recorded_lease> lease{}; ///< nothing: as recorded before
    std::vector<forgotten_job> forgotten{};
    std::vector<expired_rejection> expired{};
    std::optional<leadership> successor{}; ///< gives the leadership up
    /// Workers that do not answer; nothing: those named before.
    std::optional<std::vector<closed_worker>> closed{};
};

/// The change that makes it durable, on condition of the leader's rows.
/// `store_ms` is the store's time, 0 if it is not known.
row_change make_change(
    leader_record const& record,
    lead_rows const& conditions,
    std::int64_t store_ms);

} // namespace foxtaillift::jobs
