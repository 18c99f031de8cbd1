/// Simulated runs of batch tasks on one worker, and their audit.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"
#include "foxtaillift/formats/worker_agent.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace foxtaillift::standin
{

using run_key = std::pair<std::string, formats::attempt_number>;

struct simulated_run
{
    formats::run_entry entry;
    std::string tag;              ///< from the payload, names the task in tests
    std::string resumed_from;     ///< name of the checkpoint, or empty
    std::int64_t real_run_ms = 0; ///< may differ from the declared one
    std::int64_t real_processors = 0;
    bool will_fail = false;
    bool is_loading = false; ///< waits for the checkpoint object
    bool is_acknowledged = false;
    double throttle = 1.0;
    double progress_ms = 0;
    double first_progress_ms = 0; ///< progress that the checkpoint had
    base::instant started{};
    base::instant lease_end{};
    std::optional<base::instant> ended;

    [[nodiscard]] bool is_open() const { return !this->ended; }
};

/// Every function takes the time and first accounts for the time since the
/// last one, so a lease that ran out counts before any later request.
class run_table
{
public:
    run_table(formats::resources capacity, bool is_capacity_checked);

    /// How fast an unthrottled task runs from now on, at most 1.
    void set_speed(double value, base::instant now);
    void advance(base::instant now);

    enum class start_status
    {
        started,
        known, ///< this attempt was started before
        older, ///< a newer attempt is known
        no_capacity,
        too_many_records, ///< the audit is full
    };
    start_status start(
        formats::start_request const& request,
        bool will_fail,
        base::instant now);
    void renew(run_key const& key, std::int64_t lease_ms, base::instant now);
    void throttle(run_key const& key, double share, base::instant now);
    void stop(run_key const& key, std::string const& reason, base::instant now);
    void fail(run_key const& key, std::string const& reason, base::instant now);
    void acknowledge(run_key const& key);
    /// True if the run was running and now writes a checkpoint.
    bool begin_checkpoint(run_key const& key, base::instant now);
    void end_checkpoint(
        run_key const& key, std::string const& object, base::instant now);
    void resume(run_key const& key, double progress_ms, base::instant now);

    /// Null if the worker never had the run.
    [[nodiscard]] simulated_run const* find(run_key const& key) const;
    [[nodiscard]] std::vector<simulated_run const*> open_runs() const;
    /// Open, or ended and not acknowledged.
    [[nodiscard]] std::vector<formats::run_entry> kept_entries() const;
    [[nodiscard]] formats::run_entry entry_of(simulated_run const& run) const;
    [[nodiscard]] nlohmann::json history() const;
    [[nodiscard]] formats::resources peak() const { return this->highest; }

private:
    simulated_run* find_open(run_key const& key);
    void advance_run(simulated_run& run, base::instant now);
    void
    end(simulated_run& run,
        formats::run_state state,
        std::string const& message,
        base::instant at);

    formats::resources capacity;
    bool is_capacity_checked;
    formats::resources committed;
    formats::resources highest;
    double speed = 1.0;
    base::instant last{};
    std::map<run_key, simulated_run> runs; ///< all of them, for the audit
    std::set<run_key> open;
    std::set<run_key> kept;
};

} // namespace foxtaillift::standin
