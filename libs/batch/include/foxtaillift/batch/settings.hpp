/// Settings of a cell_scheduler: options that are fixed for its life, and the
/// part of the fleet configuration that may change at any time.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/identifier.hpp"
#include "foxtaillift/formats/hosts.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace foxtaillift::batch
{

/// Share of one team in this cell: what is its own. The defaults are those of
/// the fleet configuration, for a cell that is the whole fleet.
struct team_quota
{
    double processors = 1'000'000; ///< thousandths of a core
    double memory_mb = 4'000'000;
    double accelerators = 16;
    double weight = 1; ///< share of what nobody's quota covers
    bool may_borrow = true;
};

/// How batch work gives way to services at a crest.
enum class crest_policy
{
    stepwise,    ///< throttle, then checkpoint the cheapest sufficient victim
    evict_newest ///< stop the newest run until the pressure ends; a baseline
};

/// How far the tasks of one class may be disturbed.
struct class_limits
{
    /// Evictions of one task within an hour for the sake of services. Drains,
    /// urgent and reserved work may exceed it, but count.
    std::uint32_t evictions_per_hour = 5;
    double throttle_floor = 0.15; ///< lowest share of a run's processors
    /// A task that waited so long goes to the head and gets a reservation.
    base::duration longest_wait = base::seconds(1800);

    bool operator==(class_limits const&) const = default;
};

struct scheduler_settings
{
    std::uint64_t version = 0; ///< of the fleet configuration
    std::unordered_map<base::team_id, team_quota> teams;
    team_quota other_teams; ///< for teams without an entry
    std::unordered_map<std::string, class_limits> classes;
    class_limits other_classes; ///< for classes without an entry

    /// Kept free on each worker for services, as shares of its capacity.
    double service_processors = 0.25;
    double service_memory = 0.25;

    /// One worker in `urgent_every` keeps this much free for urgent tasks.
    formats::resources urgent_hole{4000, 8192, 0};
    std::uint32_t urgent_every = 8;

    /// Share of the batch processors that tasks expected to run longer than
    /// `long_run` may hold; the rest turns over quickly for short ones.
    double long_share = 0.95;
    base::duration long_run = base::seconds(600);

    crest_policy crest = crest_policy::stepwise;
    /// Latency ratios at which the crest response begins and ends.
    double pressure_high = 1.25;
    double pressure_low = 1.1;
    /// A step is judged by measurements taken this long after it.
    base::duration pressure_hold = base::milliseconds(500);
    /// Batch work is given back after this long below pressure_low.
    base::duration pressure_calm = base::milliseconds(5'000);
    /// Evictions of one team in a minute; drains, urgent and reserved work may
    /// exceed it.
    std::uint32_t team_evictions = 6;
    double exploration = 0.02; ///< share of the placements
};

struct scheduler_options
{
    std::uint64_t random_seed = 1;
    scheduler_settings settings;

    base::duration task_lease = base::milliseconds(15'000);
    base::duration renew_every = base::milliseconds(5'000);
    /// Covers clock drift and the delivery of a request (design 4.1).
    base::duration lease_margin = base::milliseconds(1'500);
    base::duration adopt_retry = base::milliseconds(2'000);
    base::duration start_retry = base::milliseconds(1'000);
    base::duration commit_retry = base::milliseconds(500);
    base::duration checkpoint_limit = base::milliseconds(10'000);
    /// Urgent work waits so long for a checkpoint before the victim is stopped.
    base::duration urgent_checkpoint_limit = base::milliseconds(500);

    std::uint32_t failures_to_quarantine = 3; ///< different tasks in a row
    std::uint32_t failures_to_give_up = 3;    ///< different workers
    std::uint32_t max_failures = 10;          ///< of a task on any workers
    /// Wait after a failure; doubles with each further one up to 64 times.
    base::duration failure_delay = base::milliseconds(500);
    /// Doubles with each occasion on which the worker fails again, up to
    /// `quarantine`.
    base::duration first_quarantine = base::seconds(30);
    base::duration quarantine = base::seconds(600);

    /// Bounds. At each of them input is refused with `too_many` or
    /// `unavailable`, or work is put off to the next event.
    std::size_t max_tasks = 200'000;           ///< not terminal: refused
    std::size_t max_pending_records = 100'000; ///< new input is refused
    std::size_t max_history = 20'000;          ///< oldest are forgotten
    std::size_t max_workers = 20'000;          ///< further ones are ignored
    std::size_t max_classes = 4'096;           ///< further ones share one entry
    std::size_t max_teams = 8'192;    ///< submissions of others are refused
    std::size_t max_payload = 65'536; ///< bytes; larger ones are invalid
    std::size_t max_name = 256;       ///< bytes of team, key and class
    std::size_t commit_records = 256; ///< a commit; the rest waits
    std::size_t commit_bytes = 262'144;
    std::size_t log_rows = 256;       ///< between two snapshots
    std::size_t snapshot_tasks = 500; ///< in one object
    std::size_t placements = 256;     ///< in one event; the rest waits
    std::size_t candidates = 16;      ///< weighed for one placement
};

} // namespace foxtaillift::batch
