/// Batch tasks: submissions, queries and cancellations, from callers and peers.
#pragma once

#include "cell_load_board.hpp"
#include "cell_set.hpp"
#include "context.hpp"
#include "host_watch.hpp"
#include "ownership_driver.hpp"
#include "peer_links.hpp"
#include "store_driver.hpp"

#include "foxtaillift/batch/task.hpp"
#include "foxtaillift/transport/responder.hpp"

#include <functional>
#include <optional>
#include <string>

namespace foxtaillift::daemon
{

/// Control thread only.
class task_service
{
public:
    task_service(
        context& shared,
        store_driver& store,
        peer_links& links,
        host_watch& hosts,
        cell_set& cells,
        ownership_driver& ownership,
        cell_load_board& loads);

    /// Requests below `/v1/tasks` of callers and operators.
    void handle_request(
        transport::received_request const& received,
        transport::responder reply);
    /// `/peer/submit`, `/peer/task`, `/peer/cancel`.
    void handle_peer(
        transport::received_request const& received,
        transport::responder reply);

    /// Hands tasks that wait for long to cells that have room, so that a cell
    /// without usable workers holds nothing up. Expected once a second.
    void rebalance();

private:
    using answer_handler = std::function<void(transport::response)>;

    void submit(transport::received_request const& received, answer_handler);
    void submit_to(
        base::cell_id const& cell, batch::task_spec spec, answer_handler done);
    void find_task(
        std::string const& verb,
        base::team_id const& team,
        std::string const& key,
        answer_handler done);
    void ask_owner(
        std::string const& verb,
        base::cell_id const& cell,
        base::task_id const& task,
        answer_handler done);
    void submit_here(
        base::cell_id const& cell, batch::task_spec spec, answer_handler done);
    void show_here(
        base::cell_id const& cell,
        base::task_id const& task,
        answer_handler const& done);
    void cancel_here(
        base::cell_id const& cell, base::task_id task, answer_handler done);

    [[nodiscard]] std::optional<base::host_id>
    owner_of(base::cell_id const& cell) const;
    /// The cell with the most room that could ever hold the task, else the one
    /// with the largest worker.
    [[nodiscard]] std::optional<base::cell_id> choose_cell(
        formats::resources const& size, base::cell_id const& except = {});
    void move_tasks(
        base::cell_id const& cell,
        cell_driver& driver,
        std::string const& state,
        base::duration least_wait);
    [[nodiscard]] bool is_own(base::host_id const& host) const;

    context& shared;
    store_driver& store;
    peer_links& links;
    host_watch& hosts;
    cell_set& cells;
    ownership_driver& ownership;
    cell_load_board& loads;
};

} // namespace foxtaillift::daemon
