/// The durable state of a cell: the fold of its committed records.
#pragma once

#include "foxtaillift/batch/records.hpp"

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace foxtaillift::batch
{

/// Applying a record that is already included has no effect, except that
/// attempts_skipped skips once more, which is harmless. So a snapshot may be
/// written in parts while records are applied: the successor applies the log
/// from the row at which the snapshot began.
class task_book
{
public:
    void apply(record const& value);

    [[nodiscard]] task_record* find(base::task_id const& task);
    [[nodiscard]] task_record const* find(base::task_id const& task) const;
    [[nodiscard]] std::map<base::task_id, task_record>& tasks()
    {
        return this->entries;
    }
    [[nodiscard]] std::set<base::worker_id> const& workers() const
    {
        return this->joined;
    }

    /// Encodes up to `limit` tasks with names after `cursor` and moves the
    /// cursor; the first part (empty cursor) also has the workers. Returns
    /// false in `has_more` after the last part.
    [[nodiscard]] std::string
    encode_part(base::task_id& cursor, std::size_t limit, bool& has_more) const;
    void load_part(std::string const& content);

private:
    void apply_one(accepted_record const& value);
    void apply_one(started_record const& value);
    void apply_one(ended_record const& value);
    void apply_one(cancelled_record const& value);
    void apply_one(moved_record const& value);
    void apply_one(forgotten_record const& value);
    void apply_one(worker_joined_record const& value);
    void apply_one(worker_left_record const& value);
    void apply_one(attempts_skipped_record const& value);

    std::map<base::task_id, task_record> entries;
    std::set<base::worker_id> joined;
};

} // namespace foxtaillift::batch
