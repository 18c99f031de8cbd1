/// Lagging usage reports of a worker.
#pragma once

#include "run_table.hpp"

#include <algorithm>
#include <deque>

namespace foxtaillift::standin
{

class usage_meter
{
public:
    usage_meter(base::worker_id worker_name, base::duration report_lag)
        : worker(std::move(worker_name))
        , lag(report_lag)
    {}

    /// Measures the runs and the calls, each of which uses one core.
    void measure(run_table const& runs, std::int32_t calls, base::instant now)
    {
        formats::usage_report report;
        report.worker = this->worker;
        report.sequence = ++this->measurements;
        report.service_processors = 1000.0 * calls;
        report.used.processors = std::int64_t{1000} * calls;
        for (auto const* run : runs.open_runs()) {
            auto used = run->entry.size;
            used.processors = static_cast<std::int64_t>(
                static_cast<double>(run->real_processors) * run->throttle);
            report.used += used;
            auto const length =
                std::max<double>(static_cast<double>(run->real_run_ms), 1);
            report.runs.push_back(
                {run->entry.task, run->entry.attempt, run->entry.state, used,
                 run->progress_ms / length});
        }
        this->measured.emplace_back(now, std::move(report));
        while (this->measured.size() > 1 &&
               this->measured[1].first <= now - this->lag) {
            this->measured.pop_front();
        }
    }

    /// The newest measurement that is as old as the lag; sequence 0 if there
    /// is none yet.
    [[nodiscard]] formats::usage_report report(base::instant now) const
    {
        formats::usage_report newest;
        newest.worker = this->worker;
        for (auto const& [at, measurement] : this->measured) {
            if (at <= now - this->lag) {
                newest = measurement;
                newest.age_ms = (now - at).ms;
            }
        }
        return newest;
    }

private:
    base::worker_id worker;
    base::duration lag;
    std::uint64_t measurements = 0;
    std::deque<std::pair<base::instant, formats::usage_report>> measured;
};

} // namespace foxtaillift::standin
