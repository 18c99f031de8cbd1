/// Runs the batch scheduler of one owned cell against the workers' agents, the
/// table and the object store.
#pragma once

#include "context.hpp"
#include "host_watch.hpp"
#include "store_driver.hpp"
#include "wake_timer.hpp"

#include "foxtaillift/batch/cell_query.hpp"
#include "foxtaillift/batch/cell_scheduler.hpp"
#include "foxtaillift/cluster/ownership.hpp"
#include "foxtaillift/transport/agent_client.hpp"
#include "foxtaillift/transport/object_client.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace foxtaillift::daemon
{

/// What a cell_driver uses and whom it tells; outlives every driver.
struct cell_services
{
    context& shared;
    store_driver& store;
    transport::object_client& objects;
    transport::agent_client& agents;
    host_watch& hosts;
    /// Version of the cell's owner row while this host owns the cell.
    std::function<std::optional<cluster::owned_cell>(base::cell_id const&)>
        find_owned;
    /// A worker was adopted and had so many calls in progress.
    std::function<void(base::worker_id const&, std::int32_t)> adopted;
    /// A worker or the table refused this host's epoch.
    std::function<void(base::cell_id const&, std::string const&)> refused;
    /// Lease that a run may be given now. It is 0 while a successor may wait
    /// for the leases of tasks to end: the own lease is unconfirmed and a peer
    /// may have taken the cell unheard.
    std::function<base::duration()> run_lease;
    /// What the fleet configuration says for a cell.
    std::function<batch::scheduler_settings(base::cell_id const&)> settings;
};

/// Control thread only. Callbacks of requests in progress hold weak references,
/// so that a driver may be dropped when its cell is lost.
class cell_driver : public std::enable_shared_from_this<cell_driver>
{
public:
    using submission_handler =
        std::function<void(batch::submission_reply const&)>;
    using cancel_handler = std::function<void(batch::cancel_reply const&)>;
    using move_handler = std::function<void(batch::move_reply const&)>;

    cell_driver(cell_services services, base::cell_id cell);

    /// The cell was gained: replays its log and adopts its workers.
    void take(formats::epoch_number epoch);
    void release();

    void set_workers();
    void handle(batch::event const& event);
    void submit(batch::task_spec spec, submission_handler done);
    void cancel(base::task_id task, cancel_handler done);
    void move(base::task_id task, base::cell_id target, move_handler done);

    [[nodiscard]] batch::cell_state const& state() const
    {
        return this->engine.state();
    }
    [[nodiscard]] bool has_adopted(base::worker_id const& worker) const
    {
        return this->adopted.contains(worker);
    }

private:
    struct replay;
    using row_handler =
        std::function<void(cell_driver&, std::vector<formats::row>)>;

    void read_head();
    void
    read_object(std::shared_ptr<replay> const& progress, std::size_t index);
    void read_log(std::shared_ptr<replay> const& progress);
    void read_inbox(std::shared_ptr<replay> const& progress);
    /// Reads all rows of a prefix; without an answer the replay begins again.
    void scan_rows(std::string const& prefix, row_handler done);
    void retry_replay();
    void finish_replay(replay const& progress);

    void answer_waiting();
    void on_tick();
    void poll_reports();
    void poll_inbox();

    void perform(batch::adopt_worker const& action);
    void perform(batch::start_run action);
    void perform(batch::runs_command action);
    void perform(batch::commit action);
    void perform(batch::read_rows const& action);
    void perform(batch::write_object action);
    void perform(batch::delete_object const& action);
    void perform(batch::submission_reply const& action);
    void perform(batch::cancel_reply const& action);
    void perform(batch::move_reply const& action);
    void perform(batch::log_line const& action);
    void perform(batch::cell_lost const& action);

    [[nodiscard]] std::string address_of(base::worker_id const& worker) const;

    template <class Function>
    auto guarded(Function function);

    cell_services services;
    base::cell_id cell;
    formats::epoch_number epoch = 0;
    bool is_released = false;
    batch::cell_scheduler engine;
    wake_timer tick_timer;
    wake_timer replay_timer;
    base::instant next_report{};
    base::instant next_inbox{};
    bool is_reading_inbox = false;
    std::set<base::worker_id> adopted;
    std::set<base::worker_id> reporting; ///< a report is being read
    std::map<std::uint64_t, submission_handler> submissions;
    std::map<std::uint64_t, cancel_handler> cancels;
    std::map<std::uint64_t, move_handler> moves;
    std::uint64_t next_request = 1;
};

/// Wraps a callback so that it does nothing once the driver is gone.
template <class Function>
auto cell_driver::guarded(Function function)
{
    return [weak = this->weak_from_this(),
            function = std::move(function)](auto&&... arguments) mutable {
        if (auto const self = weak.lock(); self && !self->is_released) {
            function(std::forward<decltype(arguments)>(arguments)...);
        }
    };
}

} // namespace foxtaillift::daemon
