/// Whether a worker gets new tasks, by how runs went there.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/job.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::jobs
{

/// Bars a worker where runs of several jobs fail. After the bar it is half
/// open: it gets a single run, and the next once a run that began since then
/// goes well. If that run fails too, the next bar is longer.
///
/// Failures of runs that began before the worker was barred belong to the
/// occasion that barred it, whenever they become known: many runs that fail at
/// once say no more of how long a fault lasts than one.
class worker_trust
{
public:
    // Commands

    void on_start(run_name const& run);
    /// A run failed there or is stuck. Returns for how long the worker is
    /// barred, if it is barred by this.
    /// `began_at`: when the run was started; a time before all others if that
    /// is not known.
    std::optional<base::duration>
    on_failure(std::string_view job, base::instant began_at, base::instant now);
    /// A run has ended well.
    void on_success(base::instant began_at);
    /// A run works as it should. Counts for the single run of a half-open
    /// worker.
    void on_progress(run_name const& run, base::instant began_at);
    /// The run is over, however it ended.
    void on_over(run_name const& run);

    // Queries

    [[nodiscard]] bool is_barred(base::instant now) const;
    /// Half open, and its single run is out: nothing else may start.
    [[nodiscard]] bool is_trial_out() const;
    /// This is the single run of a half-open worker.
    [[nodiscard]] bool is_trial(run_name const& run) const;
    /// Runs have failed there since one last went well.
    [[nodiscard]] bool is_doubtful() const;

private:
    base::duration bar(base::instant now);
    [[nodiscard]] bool is_known_occasion(base::instant began_at) const;

    std::vector<std::string> failing_jobs{}; ///< since a run went well
    int bars = 0;                            ///< since its last good trial
    base::instant barred_at{-1'000'000};
    base::instant barred_until{-1'000'000};
    std::optional<run_name> trial{};
};

} // namespace foxtaillift::jobs
