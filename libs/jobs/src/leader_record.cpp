#include "foxtaillift/jobs/leader_record.hpp"

#include "foxtaillift/jobs/progress.hpp"
#include "foxtaillift/jobs/worker_record.hpp"

#include <utility>

namespace foxtaillift::jobs
{

namespace
{

void put(row_change& change, std::string key, std::string value)
{
    change.puts.push_back(
        {.table = tables::lead,
         .key = std::move(key),
         .value = std::move(value)});
}

void add_item(row_change& change, commit_batch::item const& item)
{
    if (!item.is_removal) {
        change.puts.push_back(
            {.table = tables::progress,
             .key = item.job,
             .value = encode(item.progress)});
        return;
    }
    change.puts.push_back(
        {.table = tables::ended,
         .key = item.job,
         .value = std::string{to_string(item.progress.state)}});
    change.removals.push_back(
        {.table = tables::jobs, .key = submission_key(item.job)});
    change.removals.push_back({.table = tables::progress, .key = item.job});
    if (item.progress.state == job_state::cancelled) {
        change.removals.push_back(
            {.table = tables::jobs, .key = cancellation_key(item.job)});
    }
}

} // namespace

row_change make_change(
    leader_record const& record,
    lead_rows const& conditions,
    std::int64_t store_ms)
{
    row_change change;
    change.conditions = {
        {tables::lead, lead_keys::epoch, conditions.epoch_version},
        {tables::lead, lead_keys::beat, conditions.beat_version}};
    put(change, lead_keys::beat,
        encode(leader_beat{.sequence = record.sequence, .store_ms = store_ms}));
    for (auto const& page : record.workers) {
        if (page.workers.empty()) {
            change.removals.push_back(
                {.table = tables::lead, .key = roster_key(page.number)});
        } else {
            put(change, roster_key(page.number), encode_workers(page.workers));
        }
    }
    if (record.learned) {
        put(change, lead_keys::learned, *record.learned);
    }
    if (record.lease) {
        put(change, lead_keys::lease, encode(*record.lease));
    }
    if (record.closed) {
        put(change, lead_keys::closed, encode_closed(*record.closed));
    }
    if (record.successor) {
        put(change, lead_keys::epoch, encode(*record.successor));
    }
    for (auto const& item : record.jobs.items) {
        add_item(change, item);
    }
    for (auto const& each : record.forgotten) {
        change.removals.push_back({.table = tables::ended, .key = each.job});
        if (each.has_tombstone) {
            change.removals.push_back(
                {.table = tables::jobs, .key = tombstone_key(each.job)});
        }
    }
    for (auto const& each : record.expired) {
        change.conditions.push_back({tables::ended, each.job, each.version});
        change.removals.push_back({.table = tables::ended, .key = each.job});
    }
    return change;
}

} // namespace foxtaillift::jobs
