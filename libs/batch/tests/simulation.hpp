/// A cell on virtual time: owners, workers, table and objects, with faults.
#pragma once

#include "fake_worker.hpp"

#include "foxtaillift/base/random.hpp"
#include "foxtaillift/batch/cell_query.hpp"
#include "foxtaillift/batch/cell_scheduler.hpp"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace foxtaillift::batch
{

/// Rows with versions that only grow.
struct fake_table
{
    struct cell
    {
        formats::row_version version = 0;
        std::optional<std::string> value;
    };
    formats::transact_result transact(commit const& wanted);
    std::vector<formats::row> scan(std::string const& prefix) const;

    std::map<std::string, cell> rows;
    std::uint64_t commits = 0;
};

class simulation
{
public:
    explicit simulation(std::uint32_t seed, scheduler_options options = {});

    void add_workers(int count, formats::resources capacity);
    /// Returns the request number, which the reply names.
    std::uint64_t submit(task_spec spec);
    /// A spec that runs for `ms`, with a new key.
    task_spec make_task(std::int64_t ms, std::int64_t processors = 1000);
    void cancel(base::task_id const& task);
    void send(event const& input);
    void send_later(std::int64_t ms, event input);
    void list_workers();

    void run_for(base::duration span);
    /// Runs until nothing waits or runs; false after `limit`.
    bool run_until_idle(base::duration limit);

    /// A new host takes the cell; the old owner keeps what it believes.
    void take_over();
    void kill_owner();
    [[nodiscard]] bool is_owned() const { return this->active != nullptr; }
    void pause_owner();
    /// The paused owner sees time pass and acts on it; returns its actions.
    void wake_paused();

    [[nodiscard]] cell_state const& state() const
    {
        return this->active->scheduler.state();
    }
    [[nodiscard]] base::task_id const& accepted(std::size_t number) const
    {
        return this->accepted_tasks.at(number);
    }
    /// Empty if every accepted task has ended exactly as the records say.
    [[nodiscard]] std::string find_loss() const;
    /// What the owner still has to do, for messages of failed checks.
    [[nodiscard]] std::string describe() const;

    base::instant now = base::instant{100'000};
    run_judge judge;
    std::deque<fake_worker> workers;
    fake_table table;
    std::map<std::string, std::string> objects;
    std::vector<base::task_id> accepted_tasks;
    std::vector<base::task_id> cancelled_tasks;
    std::vector<submission_reply> replies;
    std::vector<cancel_reply> cancel_replies;
    std::vector<move_reply> move_replies;
    std::vector<std::string> lines;
    std::map<std::string, base::instant> first_start; ///< by task
    std::uint64_t cells_lost = 0;

    bool is_store_down = false;
    double lost_requests = 0; ///< share of worker requests without effect
    double lost_answers = 0;  ///< share that took effect, unanswered
    std::int64_t max_delay_ms = 4;
    std::int64_t commit_ms = 30;
    /// From the effect of a commit to its answer. The store client answers a
    /// commit whose answer is lost after its timeout and read-back.
    std::int64_t commit_answer_ms = 1;
    std::int64_t report_lag_ms = 1000; ///< of usage reports
    /// Counts worker requests; the one with this number loses its answer.
    std::uint64_t requests = 0;
    std::uint64_t lose_request_number = 0;
    bool lost_took_effect = false;
    /// The owner dies after this many effects of any kind; 0 never.
    std::uint64_t effects = 0;
    std::uint64_t die_after = 0;
    /// Called after each event with the owner's state.
    std::function<void()> on_step;

private:
    struct owner
    {
        cell_scheduler scheduler;
        formats::epoch_number epoch = 0;
        bool is_paused = false;
        std::deque<event> missed;
    };
    struct message
    {
        base::instant at;
        std::uint64_t order = 0;
        std::function<void()> deliver;
        bool operator<(message const& other) const
        {
            return std::tie(other.at, other.order) <
                   std::tie(this->at, this->order);
        }
    };

    void later(std::int64_t ms, std::function<void()> what);
    void give(std::shared_ptr<owner> const& to, event input);
    void perform(std::shared_ptr<owner> const& by, action const& wanted);
    void effect(std::shared_ptr<owner> const& by, adopt_worker const& wanted);
    void effect(std::shared_ptr<owner> const& by, start_run const& wanted);
    void effect(std::shared_ptr<owner> const& by, runs_command const& wanted);
    void effect(std::shared_ptr<owner> const& by, commit const& wanted);
    void effect(std::shared_ptr<owner> const& by, read_rows const& wanted);
    void effect(std::shared_ptr<owner> const& by, write_object const& wanted);
    void effect(std::shared_ptr<owner> const& by, delete_object const& wanted);
    void effect(std::shared_ptr<owner> const& by, submission_reply const& got);
    void effect(std::shared_ptr<owner> const& by, cancel_reply const& got);
    void effect(std::shared_ptr<owner> const& by, move_reply const& got);
    void effect(std::shared_ptr<owner> const& by, log_line const& got);
    void effect(std::shared_ptr<owner> const& by, cell_lost const& got);
    /// Delivers to a worker and answers; `call` returns the answer event.
    void exchange(
        std::shared_ptr<owner> const& by,
        base::worker_id const& worker,
        std::function<event(fake_worker*)> const& call);
    fake_worker* find(base::worker_id const& id);
    void step();

    base::random_engine random;
    scheduler_options options;
    std::shared_ptr<owner> active;
    std::shared_ptr<owner> paused;
    formats::epoch_number epoch = 0;
    std::uint64_t order = 0;
    std::uint64_t next_key = 0;
    std::uint64_t next_request = 0;
    std::uint64_t reports = 0;
    std::priority_queue<message> messages;
};

} // namespace foxtaillift::batch
