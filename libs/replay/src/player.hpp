/// Plays the events of a trace into a simulated cell.
#pragma once

#include "foxtaillift/replay/trace.hpp"

#include "simulation.hpp"

#include <map>
#include <optional>
#include <string>

namespace foxtaillift::replay
{

/// What the submitter of a task knows.
struct submitted_task
{
    batch::task_spec spec;
    base::instant submitted;                  ///< first time
    base::task_id id;                         ///< empty until a reply names it
    std::optional<batch::reply_status> reply; ///< last one
};

class player
{
public:
    player(trace const& from, batch::scheduler_options options);
    player(player const&) = delete;
    player& operator=(player const&) = delete;

    /// Plays the whole trace, once.
    void run();

    [[nodiscard]] std::map<std::string, submitted_task> const& tasks() const
    {
        return this->task_by_name;
    }
    [[nodiscard]] batch::simulation const& cell() const { return this->sim; }
    /// First worker whose commitments exceeded its capacity, or empty.
    [[nodiscard]] std::string const& overcommitment() const
    {
        return this->overcommitted;
    }
    /// Longest time from an owner's end to a start by its successor; none if
    /// no owner ended, or one did and nothing was started since.
    [[nodiscard]] std::optional<base::duration> longest_gap() const;

private:
    void apply(workers_change const& change);
    void apply(submission const& wanted);
    void apply(cancellation const& wanted);
    void apply(worker_change const& change);
    void apply(link_change const& change);
    void apply(store_change const& change);
    void apply(owner_step step);
    void apply(load_change const& change);
    void apply(batch::service_pressure const& measured);
    void apply(batch::worker_ordered const& order);
    void apply(call_event const&) {} // for call_player

    void advance(base::instant to);
    void measure_load();
    void collect_replies();
    void watch();
    batch::fake_worker* find(base::worker_id const& worker);

    trace const& source;
    batch::simulation sim;
    std::map<std::string, submitted_task> task_by_name;
    std::map<std::uint64_t, std::string> name_by_request;
    std::size_t replies_seen = 0;
    std::map<base::service_id, load_change> loads;
    base::instant next_measurement;
    std::string overcommitted;
    bool is_paused = false;
    std::optional<base::instant> owner_ended;
    std::optional<std::uint64_t> starts_at_takeover;
    std::optional<base::duration> gap;
};

} // namespace foxtaillift::replay
