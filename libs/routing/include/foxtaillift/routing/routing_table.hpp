/// The routing table: snapshots replaced by read-copy-update.
#pragma once

#include "foxtaillift/routing/snapshot.hpp"

#include <cstddef>
#include <memory>

namespace foxtaillift::routing
{

struct routing_table_options
{
    /// Services beyond this are left out of the snapshot and counted.
    std::size_t max_services = 4096;
    /// Workers beyond this are left out of the snapshot and counted.
    std::size_t max_workers = 65536;
};

/// A read-side critical section. Holds the snapshot; keep it only for one
/// decision, never over I/O: publish() waits for it. Not movable between
/// threads. The first reader of a thread registers the thread with liburcu.
class snapshot_reader
{
public:
    explicit snapshot_reader(class routing_table const& table);
    ~snapshot_reader();
    snapshot_reader(snapshot_reader const&) = delete;
    snapshot_reader& operator=(snapshot_reader const&) = delete;

    routing_snapshot const& operator*() const { return *this->snapshot; }
    routing_snapshot const* operator->() const { return this->snapshot; }

private:
    routing_snapshot const* snapshot;
};

/// Commands are for one thread (the control thread); snapshot_reader is for
/// all threads. Must outlive every reader and slot_claim.
///
///     table.publish(input);
///     snapshot_reader snapshot{table};
///     auto const* service = snapshot->find_service(id);
class routing_table
{
public:
    explicit routing_table(routing_table_options options = {});
    ~routing_table();
    routing_table(routing_table const&) = delete;
    routing_table& operator=(routing_table const&) = delete;

    /// Replaces the snapshot. When it returns, no thread uses the former one
    /// and no worker that is leaving, quarantined or not adopted can be
    /// claimed. Slots in use and learned values of a worker are kept.
    void publish(table_input const& input);

    /// Calls of an earlier owner that the worker's audit shows in progress.
    /// They count against its slots. Returns false for an unknown worker.
    bool set_inherited(base::worker_id const& worker, std::uint32_t calls);
    /// Batch load (0 to 1) and the learned slowdown at full batch load.
    bool set_batch(base::worker_id const& worker, double load, double harm);
    bool update_summary(
        base::cell_id const& cell,
        cell_summary const& summary,
        base::instant now);

    /// Entries left out of the current snapshot because of the bounds.
    [[nodiscard]] std::size_t dropped() const;
    /// Load objects that are kept only because calls still use them.
    [[nodiscard]] std::size_t retired() const;

private:
    friend class snapshot_reader;
    struct state;
    std::unique_ptr<state> self;
};

} // namespace foxtaillift::routing
