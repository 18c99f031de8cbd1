/// Submissions that a leader writes together with its records.
#pragma once

#include "foxtaillift/jobs/rows.hpp"

#include <cstddef>
#include <deque>
#include <functional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

/// The store carries out the changes of a part one after the other: while it is
/// 70 times slower, five a second. So all submissions that wait share the next
/// write. Not thread-safe; callbacks come from within the calls that end a
/// submission.
class submission_batch
{
public:
    using callback_type = std::function<void(store_status)>;

    struct submission
    {
        std::string job{};
        std::string value{}; ///< encoded job
        callback_type callback{};
    };

    /// Conditions and rows that a submission adds to a change.
    static constexpr std::size_t entries = 3;
    /// More are refused: five seconds of the highest rate of the deployments.
    static constexpr std::size_t waiting_limit = 500;

    void add(submission wanted);
    /// The job is in the write that is out.
    [[nodiscard]] bool is_taken(std::string_view job) const;
    [[nodiscard]] bool is_waiting() const { return !this->waiting.empty(); }

    /// Chooses the submissions of the next write, at most `limit` and as many
    /// as `longest_values` allows.
    void take(std::size_t limit);
    /// Adds the chosen ones to the change that is sent.
    void add_to(row_change& change) const;
    [[nodiscard]] std::size_t taken_count() const { return this->taken.size(); }

    /// The write was carried out. Returns jobs and their encodings.
    std::vector<std::pair<std::string, std::string>> on_done();
    /// The write was certainly not carried out, in no copy.
    void on_not_done();
    /// Ends what waits: the store does not answer.
    void refuse_waiting();
    /// Rows of the conditions that did not hold; ends the submissions of jobs
    /// that the store has, and keeps the others for the next copy. Returns
    /// whether there were any. Submissions of jobs that were cancelled before
    /// end with `conflict`.
    bool on_conflict(std::span<row const> current);

    /// Ends all: what waits has no effect, `of_taken` is what holds for the
    /// write that was out.
    void end(store_status of_taken);

private:
    std::deque<submission> waiting{};
    std::vector<submission> taken{};
};

} // namespace foxtaillift::jobs
