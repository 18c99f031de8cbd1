/// Plays the calls of a trace into one call router.
#pragma once

#include "foxtaillift/replay/trace.hpp"

#include "simulated_fleet.hpp"

#include <map>

namespace foxtaillift::replay
{

/// The entry host owns all cells; a rack is a cell. Workers answer after the
/// recorded service time and queue nothing, as the slots are the router's.
class call_player
{
public:
    explicit call_player(trace const& from);
    call_player(call_player const&) = delete;
    call_player& operator=(call_player const&) = delete;

    /// Plays the whole trace, once.
    void run();

    [[nodiscard]] routing::testing::simulated_fleet const& fleet() const
    {
        return this->simulated;
    }
    /// Slots of a worker as last listed.
    [[nodiscard]] std::uint32_t slots_of(base::worker_id const& worker) const;

private:
    struct worker_condition
    {
        bool is_reachable = true;
        bool is_up = true;
        bool fails_everything = false;
        bool loses_answers = false;
        double slowdown = 1;
    };

    void schedule(double when, workers_change const& change);
    void schedule(double when, worker_change const& change);
    void schedule(double when, call_event const& call);
    template <class Other>
    void schedule(double, Other const&)
    {}
    void list(formats::worker_entry const& entry);
    [[nodiscard]] routing::testing::behaviour
    behave(base::worker_id const& worker);

    trace const& source;
    routing::table_input input;
    std::map<base::worker_id, worker_condition> conditions;
    routing::testing::simulated_fleet simulated;
};

} // namespace foxtaillift::replay
