#include "worker_trust.hpp"

#include <algorithm>
#include <cstddef>

namespace foxtaillift::jobs
{

namespace
{

/// A job that can never be done fails everywhere, so failures of one say
/// nothing of the worker.
constexpr std::size_t jobs_until_barred = 2;

/// Two jobs can fail on a sound worker by their own fault, so the first bar is
/// short. The longest bounds how long a worker that is sound again stays
/// unused.
constexpr base::duration first_bar = base::milliseconds(1500);
constexpr base::duration longest_bar = base::seconds(5);

} // namespace

void worker_trust::on_start(run_name const& run)
{
    if (this->bars > 0) {
        this->trial = run;
    }
}

std::optional<base::duration> worker_trust::on_failure(
    std::string_view job, base::instant began_at, base::instant now)
{
    if (this->is_known_occasion(began_at)) {
        return std::nullopt;
    }
    auto& failing = this->failing_jobs;
    if (std::find(failing.begin(), failing.end(), job) == failing.end()) {
        failing.emplace_back(job);
    }
    bool const is_trial = this->bars > 0;
    if (!is_trial && failing.size() < jobs_until_barred) {
        return std::nullopt;
    }
    return this->bar(now);
}

void worker_trust::on_success(base::instant began_at)
{
    this->failing_jobs.clear();
    if (!this->is_known_occasion(began_at)) {
        this->bars = 0;
        this->trial.reset();
    }
}

void worker_trust::on_progress(run_name const& run, base::instant began_at)
{
    if (this->trial == run) {
        this->on_success(began_at);
    }
}

void worker_trust::on_over(run_name const& run)
{
    if (this->trial == run) {
        this->trial.reset();
    }
}

bool worker_trust::is_barred(base::instant now) const
{
    return now < this->barred_until;
}

bool worker_trust::is_trial_out() const
{
    return this->trial.has_value();
}

bool worker_trust::is_trial(run_name const& run) const
{
    return this->trial == run;
}

bool worker_trust::is_doubtful() const
{
    return this->bars > 0 || !this->failing_jobs.empty();
}

base::duration worker_trust::bar(base::instant now)
{
    auto const length =
        std::min(longest_bar, first_bar * (std::int64_t{1} << this->bars));
    constexpr int most_bars = 2; // from there on they are the longest
    this->bars = std::min(this->bars + 1, most_bars);
    this->barred_at = now;
    this->barred_until = now + length;
    this->failing_jobs.clear();
    return length;
}

bool worker_trust::is_known_occasion(base::instant began_at) const
{
    return this->bars > 0 && began_at <= this->barred_at;
}

} // namespace foxtaillift::jobs
