/// What a cell_state keeps about runs, tasks and workers.
#pragma once

#include "interference_model.hpp"
#include "resource_ledger.hpp"
#include "team_queues.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/batch/records.hpp"
#include "foxtaillift/formats/worker_agent.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace foxtaillift::batch
{

using run_serial = std::uint64_t; ///< unique in an engine; 0 is none

inline constexpr std::uint32_t no_index = 0xffffffffU;

enum class run_phase : std::uint8_t
{
    starting,      ///< a start was sent and is not confirmed
    running,       ///< confirmed, or recorded by a predecessor
    checkpointing, ///< asked for a checkpoint
    stopping,      ///< asked to stop
    ended          ///< the end is confirmed; record or acknowledgement is due
};

/// Why a run is made to end.
enum class end_reason : std::uint8_t
{
    none,
    pressure,  ///< crest response
    urgent,    ///< room for an urgent task
    reserved,  ///< room for a task that waited too long
    drain,     ///< the worker is leaving
    cancelled, ///< the task is not wanted any more
    orphan     ///< no record asks for this run
};

/// One run of a task on a worker. Holds its resources until `ended`.
struct run
{
    run_serial serial = 0;
    base::task_id task_name;
    task_index task = no_index; ///< whose current run this is
    formats::attempt_number attempt = 0;
    worker_index worker = 0;
    std::uint32_t task_class = 0;
    team_index team = no_index;
    std::uint32_t rack = 0; ///< of the worker when the run was counted
    std::uint32_t failure_domain = 0;
    formats::resources size;
    run_phase phase = run_phase::starting;
    end_reason reason = end_reason::none;
    bool is_urgent = false;
    bool is_long = false;
    bool is_recorded = false; ///< a started record exists or is pending
    bool may_be_acknowledged = false;
    bool had_unknown_start = false;
    bool is_lost = false;     ///< ended without the worker's word
    base::instant lease_sent; ///< last start or renewal
    base::instant started;
    base::instant checkpointed;     ///< where a restart would resume
    base::instant next_step;        ///< retry of a start, poll or stop
    base::instant limit;            ///< end of the wait for a checkpoint
    std::uint64_t confirmed_at = 0; ///< request number at the confirmation
    double throttle = 1;
    double wanted_throttle = 1;
    std::string checkpoint; ///< name given in the checkpoint request
};

/// Why a task was placed where it runs.
struct placement_note
{
    std::uint32_t candidates = 0;
    float score = 0;
    float harm = 0;
    bool is_exploration = false;
    std::uint64_t settings_version = 0;
};

/// A task that is not terminal.
struct live_task
{
    task_record* durable = nullptr; ///< null while the entry is unused
    task_state state = task_state::accepted;
    formats::attempt_number attempt = 0; ///< highest used or known
    std::uint32_t task_class = 0;
    team_index team = 0;
    run_serial current_run = 0;
    queue_kind kind = queue_kind::short_run;
    queue_entry entry;
    bool is_in_queue = false;
    bool is_cancel_pending = false;
    bool is_move_pending = false;
    bool is_aged = false;
    std::int64_t ages_at = 0; ///< rank in the aging set; settings may change
    base::instant submitted;
    base::instant queued;
    worker_index reserved_on = no_index;
    base::instant reserved;
    std::uint32_t failures = 0;           ///< since the cell was taken
    base::instant not_before;             ///< delay after a failure
    std::vector<base::instant> evictions; ///< within the last hour, in order
    char const* wait_reason = "behind other tasks of its team";
    placement_note note;
};

enum class worker_link : std::uint8_t
{
    joining,    ///< never adopted under this epoch
    adopted,    ///< audited and answering
    unreachable ///< answers are missing; adoption is tried again
};

/// What ran on a worker at some time, for lagging measurements.
struct load_sample
{
    base::instant from;
    std::vector<class_load> loads;
};

/// The crest response on one worker.
struct pressure_state
{
    struct service
    {
        std::uint32_t service = 0;
        double ratio = 1;
        std::uint32_t level = 0;
        base::instant measured;
    };
    /// What the owner counts itself, for the prediction.
    struct counted_load
    {
        std::uint32_t service = 0;
        std::uint32_t level = 0;
        base::instant counted;
        base::instant risen; ///< when the level last went up
        base::instant busy;  ///< when a slot was last in use
    };
    std::vector<service> services;
    std::vector<counted_load> counted;
    std::uint32_t expected_level = 0; ///< that the response prepares for
    double ratio = 1;                 ///< highest fresh one
    double crest_share = 0;           ///< fading maximum of the slots in use
    std::uint32_t level = 0;          ///< highest fresh load level
    bool is_high = false;
    bool is_idle = false; ///< no calls for a while, so that nothing harms them
    base::instant high_since;
    base::instant calm_since;
    base::instant acted; ///< last step; older measurements do not count
};

struct worker
{
    base::worker_id id;
    formats::worker_entry entry;
    bool is_used = false; ///< false: the slot may be reused
    bool is_listed = false;
    bool is_joined = false; ///< the joined record is durable
    bool is_join_pending = false;
    bool is_leave_pending = false;
    bool is_draining = false;
    bool is_quarantined = false;  ///< by an operator
    bool is_audited = false;      ///< under this epoch
    base::instant quarantined_at; ///< the last time, for failed tasks
    base::instant quarantined_until;
    /// Quarantines since a run that began after the last one has finished.
    std::uint32_t quarantines = 0;
    base::instant refused_until;
    worker_link link = worker_link::joining;
    std::uint64_t adopt_request = 0; ///< in flight
    base::instant next_adopt;
    base::instant next_check;        ///< of its runs
    std::uint64_t renew_request = 0; ///< in flight
    base::instant next_renew;
    std::uint64_t acknowledge_request = 0; ///< in flight
    base::instant next_acknowledge;
    std::uint32_t unanswered = 0;
    std::uint64_t report_sequence = 0;
    double used_cores = 0; ///< by batch tasks, from lagging reports
    std::uint32_t rack = 0;
    std::uint32_t failure_domain = 0;
    std::vector<std::uint32_t> services;
    std::vector<run_serial> runs;        ///< including ended ones
    std::vector<base::task_id> failures; ///< different tasks in a row
    std::uint32_t stragglers = 0;
    task_index reserved_for = no_index;
    std::deque<load_sample> history;
    pressure_state pressure;
};

/// What a pending record does once it is durable.
enum class follow_up : std::uint8_t
{
    none,
    submission,
    inbox,
    ended,
    cancelled,
    moved,
    joined,
    left,
    skipped
};

struct pending_record
{
    record value;
    follow_up after = follow_up::none;
    std::vector<std::uint64_t> requests; ///< to reply to
    run_serial ended_run = 0;
    base::instant submitted;
    std::vector<formats::row_condition> conditions;
    std::vector<formats::row_write> writes;
};

/// A command that was sent and not answered.
struct sent_command
{
    std::uint8_t verb = 0;
    worker_index worker = 0;
    std::vector<run_serial> runs;
};

} // namespace foxtaillift::batch
