/// Submissions that a leader writes together with its records.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

/// What became of a submission.
struct submission_answer
{
    store_status status = store_status::unknown;
    base::duration retry_after{}; ///< if rejected
    // If barred:
    std::int64_t rejection_version = 0; ///< of the row that bars the job
    base::duration rejection_age{};     ///< the row was there then, at least
};

/// The store carries out the changes of a part one after the other: while it is
/// 70 times slower, five a second. So all submissions that wait share the next
/// write. Not thread-safe; callbacks come from within the calls that end a
/// submission.
class submission_batch
{
public:
    using callback_type = std::function<void(submission_answer const&)>;

    struct submission
    {
        std::string job{};
        std::string value{}; ///< encoded job
        callback_type callback{};
        /// The version of the rejection row that the job may replace; 0: a job
        /// with such a row ends as `barred`.
        std::int64_t replaces = 0;
        /// A rejection row is written instead of the job. It replaces one of
        /// any version.
        bool is_rejection = false;
        base::duration retry_after{}; ///< of a rejection
    };

    /// Conditions and rows that a submission adds to a change; one that
    /// replaces a rejection row adds one more.
    static constexpr std::size_t entries = 3;
    /// More are refused: five seconds of the highest rate of the deployments.
    static constexpr std::size_t waiting_limit = 500;

    void add(submission wanted);
    /// The job is in the write that is out.
    [[nodiscard]] bool is_taken(std::string_view job) const;
    /// The job is in that write or waits for the next one.
    [[nodiscard]] bool is_held(std::string_view job) const;
    [[nodiscard]] bool is_waiting() const { return !this->waiting.empty(); }
    /// What waits or is in the write that is out.
    struct held_amount
    {
        std::size_t count = 0;
        std::size_t bytes = 0; ///< of the encodings
    };
    [[nodiscard]] held_amount held() const;

    /// Chooses the submissions of the next write, at most `limit` usual ones
    /// and as many as `longest_values` allows.
    void take(std::size_t limit);
    /// Adds the chosen ones to the change that is sent.
    void add_to(row_change& change) const;
    [[nodiscard]] std::size_t taken_count() const { return this->taken.size(); }
    /// Conditions and rows that the chosen ones add.
    [[nodiscard]] std::size_t taken_entries() const;
    /// Jobs that the write rejects.
    [[nodiscard]] std::vector<std::string> rejections() const;

    /// The write was carried out. Returns accepted jobs and their encodings.
    std::vector<std::pair<std::string, std::string>> on_done();
    /// The write was certainly not carried out, in no copy.
    void on_not_done();
    /// Ends what waits: the store does not answer.
    void refuse_waiting();
    /// Rows of the conditions that did not hold; ends the submissions of jobs
    /// that the store has, and keeps the others for the next copy. Returns
    /// whether any ended. Submissions of jobs that were cancelled before end
    /// with `conflict`, those of jobs that were rejected before with `barred`.
    bool on_conflict(std::span<row const> current);

    /// Ends all: what waits has no effect, `of_taken` is what holds for the
    /// write that was out.
    void end(store_status of_taken);

private:
    static std::size_t entries_of(submission const& each);
    /// What the rows say of a submission; nothing if it stays in the change.
    static std::optional<submission_answer>
    judge(submission const& each, std::span<row const> current);

    std::deque<submission> waiting{};
    std::vector<submission> taken{};
};

} // namespace foxtaillift::jobs
