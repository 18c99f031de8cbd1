/// A store, workers and entry hosts on virtual time, with faults by a seed, and
/// a check of what must always hold.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"
#include "foxtaillift/jobs/coordinator.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs::testing
{

/// Events in order of time.
class timeline
{
public:
    void at(base::instant time, std::function<void()> event);
    void run_until(base::instant end);

    base::instant now{1'000'000};

private:
    struct entry
    {
        base::instant time{};
        std::uint64_t number = 0;
        std::function<void()> event{};
        bool operator<(entry const& other) const
        {
            return std::pair{other.time, other.number} <
                   std::pair{this->time, this->number};
        }
    };
    std::priority_queue<entry> events{};
    std::uint64_t count = 0;
};

struct fault_rates
{
    double lost = 0; ///< of answers
    double late = 0; ///< of calls, carried out up to 4 s later
};

struct simulated_store
{
    std::map<std::pair<std::string, std::string>, row> rows{};
    std::vector<row> history{};
    std::int64_t version = 0;
    bool is_down = false;
    bool is_silent = false; ///< takes calls and neither acts nor answers
    /// Changes are carried out one after the other, each in this time; one that
    /// would wait for over a second is refused.
    base::duration change_time{};
    base::duration read_time{}; ///< of each read
    base::instant free_at{};

    /// A change that is too large for the store is refused.
    change_result apply(row_change const& change);
};

struct simulated_fleet
{
    std::size_t hosts = 3;
    std::size_t workers = 4;
    std::string prefix = "w"; ///< of identifiers
    resources capacity{.processors = 4000, .memory_mb = 1000}; ///< of each
    /// Workers hold a look back until they have an end to list, as long as the
    /// look allows; otherwise each answers after 100 ms.
    bool holds_looks = false;
    /// Time of an entry host's only thread for a call and its answer, or for a
    /// request of a peer, in microseconds.
    std::int64_t message_us = 0;
    base::duration target_latency{}; ///< of the queue; later jobs are late
};

/// The only thread of an entry host: takes up messages and timers one after the
/// other, in the order of their arrival.
class simulated_processor
{
public:
    /// Work that arrives now is done at the returned time.
    base::instant take_up(base::instant now, std::int64_t work_us);
    /// When it is free.
    [[nodiscard]] base::instant free_at(base::instant now) const;

private:
    std::int64_t busy_until_us = 0;
};

/// Jobs of one step.
struct simulated_job
{
    std::string id{};
    std::uint32_t tasks = 1;
    resources need{};        ///< of a task
    base::duration work{};   ///< of a task; 0: random
    bool is_lasting = false; ///< each task serves until it is stopped
};

struct simulated_worker
{
    struct run
    {
        run_name name{};
        base::instant done_at{};
        resources need{};
        bool is_failing = false; ///< ends as failed
        bool is_lasting = false; ///< is at work from its start
    };
    static constexpr std::int64_t longest_lease_ms = 6000;

    std::string id{};
    std::string service = "s";
    std::string failure_domain = "z";
    resources capacity{.processors = 4000, .memory_mb = 1000};
    std::int64_t token = 0;
    std::int64_t lease_until = 0;
    std::int64_t born = 1;
    std::map<task_name, run> runs{};
    std::map<task_name, std::uint32_t> stopped{}; ///< highest attempt
    std::vector<reported_end> ends{};
    std::int64_t end_count = 0;
    /// Ends up to this number were listed as the lease ran out: their tasks may
    /// start again.
    std::int64_t lapsed_ends = 0;
    bool is_reachable = true;
    bool is_refusing = false;  ///< connections, at once; what runs goes on
    bool is_listed = true;     ///< by the platform
    bool is_draining = false;  ///< as the platform lists it
    bool is_failing = false;   ///< fails all that it starts
    base::instant leaves_at{}; ///< while it drains
    std::vector<std::pair<base::instant, resources>> freed{}; ///< by ends
};

/// A task without a run although its turn has come.
struct waiting_task_check
{
    base::instant idle_since{};
    base::instant room_since{}; ///< there has been room for two of it
};

class simulated_world;

/// The `Ports` of one process. Answers to a process that has ended are dropped.
class simulated_ports
{
public:
    simulated_ports(simulated_world& outside, std::string host);

    [[nodiscard]] base::instant now() const;
    [[nodiscard]] std::int64_t wall_ms() const;
    void after(base::duration delay, std::function<void()> callback);
    void log(base::event_line const& line);
    void read(
        std::string const& table,
        std::string const& from,
        std::string const& to,
        std::function<void(rows_result)> const& callback);
    void watch(
        std::string const& table,
        std::int64_t version,
        base::duration wait,
        std::function<void(rows_result)> const& callback);
    void change(
        row_change const& change,
        std::function<void(change_result)> const& callback);
    void look(
        look_order const& order,
        std::function<void(order_status, worker_report const&)> const&
            callback);
    void start(
        start_order const& order,
        std::function<void(order_status)> const& callback);
    void stop(
        stop_order const& order,
        std::function<void(order_status)> const& callback);
    void pace(
        pace_order const& order,
        std::function<void(order_status)> const& callback);
    /// The queues of this world have no adviser.
    void advise(
        advice_order const& order,
        std::function<void(std::optional<advice>)> const& callback);
    void
    ask(std::string const& address,
        peer_request const& request,
        std::function<void(std::optional<peer_reply>)> const& callback);
    void follow_workers(bool is_wanted);

    bool is_alive = true;
    /// Until then the process does nothing; what was due follows in its order.
    base::instant suspended_until{};
    std::function<void(worker_info const&)> on_worker{};
    std::function<void(std::string const&)> on_worker_gone{};

private:
    friend class simulated_world;

    /// Runs `callback` later, unless this process has ended by then.
    void later(base::duration delay, std::function<void()> callback);
    /// The same for an answer that is sent now.
    void reply(std::function<void()> const& callback);
    /// Runs `callback` once the processor has taken up a message that arrives
    /// now.
    void receive(std::function<void()> const& callback);
    /// When a message that is sent now arrives.
    base::instant arrival();
    /// Half of it for each direction.
    [[nodiscard]] std::int64_t one_way_us() const;
    void answer_look(
        look_order const& order,
        base::instant asked_at,
        std::function<void(order_status, worker_report const&)> const&
            callback);

    simulated_world& world;
    std::string host;
    simulated_processor processor{};
};

struct simulated_host : simulated_ports
{
    using simulated_ports::simulated_ports;

    std::shared_ptr<coordinator<simulated_ports>> service{};
};

class simulated_world
{
public:
    simulated_world(
        std::uint32_t seed,
        fault_rates rates,
        leader_options leading = {},
        simulated_fleet wanted_fleet = {});
    ~simulated_world();

    void start_host(std::size_t index);
    void kill_host(std::size_t index);
    void submit(
        std::size_t host,
        std::string const& id,
        std::uint32_t tasks,
        std::size_t payload_bytes = 0);
    void submit(std::size_t host, simulated_job const& wanted);
    void run_for(base::duration span);
    /// All hosts learn of a configuration that gives the queue this name.
    void rename_queue(std::string const& name);
    /// Through this host; `cancelled` tells whether the caller heard that the
    /// job is cancelled or does not exist, and may expect that nothing runs.
    void cancel(std::size_t host, std::string const& id);
    /// The operator evacuates the failure domain or takes that back; each host
    /// learns of it some time later, and one that starts at its start. Nothing
    /// may start there from 5 s on.
    void set_evacuated(std::string const& failure_domain, bool is_evacuated);
    /// Lists the worker so; each host learns of it some time later.
    void set_draining(std::size_t worker, bool is_draining);
    /// Drains the worker, which leaves for good after the notice.
    void take_away(std::size_t worker, base::duration notice);
    /// Until then this worker fails all that it starts.
    void fail_until(std::size_t worker, base::instant end);
    /// A lasting task must not wait for 9 s, the last 3 s of them with room for
    /// two of it and after `calm_from`; and once it has waited for 9 s, no
    /// other task may start where it would fit. Call once.
    void watch_lasting_tasks(base::instant calm_from);
    /// The platform drops the entry, or it is back; each host learns of it some
    /// time later.
    void set_listed(std::size_t worker, bool is_listed);
    /// Ends all that runs there; the next life knows nothing of before.
    void restart_worker(std::size_t worker);

    /// Tasks that run though their job was cancelled.
    [[nodiscard]] std::vector<std::string> running_cancelled() const;
    /// Jobs that were accepted and are not completed.
    [[nodiscard]] std::vector<std::string> unfinished() const;

    timeline time{};
    base::random_engine random;
    fault_rates faults;
    simulated_store store{};
    std::vector<simulated_worker> workers{};
    std::vector<std::unique_ptr<simulated_host>> hosts{};
    /// Hosts whose calls to the store and to others, and from others, are lost.
    std::set<std::size_t> cut{};
    std::set<std::size_t> without_store{}; ///< hosts that it does not answer
    std::map<std::size_t, std::int64_t> sizes{}; ///< of hosts, if unusual
    std::vector<std::string> violations{};
    std::set<std::string> accepted{};
    std::set<std::string> refused{}; ///< by each request that held the job
    /// Jobs that were rejected for lack of capacity at least once, and after
    /// which time their callers should come again.
    std::map<std::string, base::duration> rejected{};
    std::size_t unknown_outcomes = 0; ///< of submissions
    std::map<std::string, base::instant> submitted_at{};
    std::map<std::string, base::instant> started_at{}; ///< the first task
    base::duration longest_refusal{}; ///< until a caller was told
    std::map<std::string, base::instant> cancelled{}; ///< when confirmed
    std::set<std::string> unknown{}; ///< cancelled, and said not to exist
    std::size_t refused_cancellations = 0;
    /// What changed outside the hosts: rows, runs started and stopped, ends
    /// acknowledged.
    std::size_t effects = 0;
    /// The host that brought this effect about is killed before it hears of
    /// it, and starts again a second later; 0: none.
    std::size_t crash_at_effect = 0;
    std::function<void()> on_crash{}; ///< called then
    leader_options leading;
    fleet_configuration configuration{
        .version = 1,
        .routes = {
            {.host = "h",
             .path_prefix = "/q/",
             .target = {.name = "q", .service = "s", .max_attempts = 3}}}};

private:
    friend class simulated_ports;

    bool happens(double chance);
    /// The store's own clock, which began at another time.
    [[nodiscard]] std::int64_t store_ms() const
    {
        constexpr std::int64_t began_ms = 700'000;
        return this->time.now.ms - began_ms;
    }
    [[nodiscard]] bool is_among(
        std::set<std::size_t> const& indices, std::string const& host) const;
    [[nodiscard]] bool is_cut(std::string const& host) const;
    /// No host was suspended lately: one that goes on reads what has changed
    /// meanwhile some time after the answers that it was waiting for.
    [[nodiscard]] bool is_in_touch() const;
    [[nodiscard]] bool is_store_silent_for(std::string const& host) const;
    void end_run(
        simulated_worker& worker, task_name const& task, run_outcome outcome);
    void check_lapse(simulated_worker& worker);
    /// Notes the ends that a start of the task makes invalid.
    void note_repeated(task_name const& task);
    void acknowledge(simulated_worker const& worker, std::int64_t number);
    [[nodiscard]] worker_info entry_of(simulated_worker const& worker) const;
    static worker_report
    report_of(simulated_worker const& worker, std::int64_t now_ms);
    void update(simulated_worker& worker);
    base::duration
    work_of(simulated_worker const& worker, task_name const& task);
    order_status start(simulated_worker& worker, start_order const& order);
    simulated_worker* reach(std::string const& id);
    [[nodiscard]] std::int64_t born_of(std::string const& id) const;
    /// By the host of this name.
    void note_effect(std::string const& host);
    /// Calls this with each host that is up, some time later.
    void tell_hosts(std::function<void(simulated_host&)> const& tell);

    void submit_job(std::size_t host, job_spec const& job);
    void check_lasting_tasks();
    /// The task starts on this worker now.
    void
    check_room_taken(simulated_worker const& worker, task_name const& task);
    /// What runs there leaves free.
    static resources room_of(simulated_worker const& worker);
    [[nodiscard]] bool is_running(task_name const& task) const;
    /// How many tasks of this need the fleet has room for.
    [[nodiscard]] std::int64_t room_for(resources const& need) const;

    simulated_fleet fleet;
    std::set<std::string> started{};                  ///< jobs
    std::map<std::string, base::instant> evacuated{}; ///< when asked for
    /// Requests that hold a job and were not refused, by job.
    std::map<std::string, std::size_t> not_refused{};
    std::set<task_name> noted{}; ///< done, and acknowledged by a leader
    /// Done by a listed end of a worker, and started again; it must not be
    /// acknowledged any more.
    std::set<std::pair<std::string, std::int64_t>> repeated{};
    std::vector<std::unique_ptr<simulated_host>> ended_hosts{};
    std::map<std::string, resources> needs{};          ///< of a task, by job
    std::map<std::string, base::duration> works{};     ///< the same; not random
    std::map<std::string, std::uint32_t> lasting{};    ///< tasks, by job
    std::map<task_name, waiting_task_check> waiting{}; ///< lasting ones
    std::optional<base::instant> calm_from{}; ///< lasting tasks are watched
};

} // namespace foxtaillift::jobs::testing
