/// In-memory stand-ins for worker agents, and the judge of what they ran.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/formats/hosts.hpp"
#include "foxtaillift/formats/worker_agent.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace foxtaillift::batch
{

/// Sees every run on every worker and notes what must never happen.
class run_judge
{
public:
    void started(formats::start_request const& request, std::string worker);
    void ended(base::task_id const& task, std::string const& worker);

    /// What the workers did for one task.
    struct run_counts
    {
        std::uint32_t starts = 0;
        std::uint32_t resumes = 0; ///< starts from a checkpoint
        std::uint32_t finishes = 0;
    };

    std::map<std::string, double> checkpoints; ///< name to work left, in ms
    std::map<base::task_id, run_counts> counts;
    std::vector<std::string> violations;
    std::uint64_t starts = 0;
    std::uint64_t finished = 0;

private:
    struct place
    {
        std::string worker;
        formats::attempt_number attempt = 0;
    };
    std::map<base::task_id, place> running;
    std::map<base::task_id, formats::attempt_number> highest;
};

/// The payload of a task is its true run time in ms; `fail` fails anywhere.
class fake_worker
{
public:
    fake_worker(formats::worker_entry entry, run_judge& judge);

    formats::agent_status
    adopt(formats::adopt_request const& request, formats::adopt_answer& out);
    formats::agent_status
    start(formats::start_request const& request, formats::run_entry& out);
    formats::agent_status runs(
        std::string_view verb,
        formats::runs_request const& request,
        formats::runs_answer& out);
    formats::usage_report report();
    /// Moves its runs on to this time.
    void advance(base::instant to);
    /// Forgets everything, as after a reboot.
    void restart();
    [[nodiscard]] formats::resources used() const;
    [[nodiscard]] double
    harm(std::map<std::string, double> const& by_class) const;
    [[nodiscard]] bool is_idle() const { return this->known.empty(); }

    formats::worker_entry entry;
    bool is_up = true;
    bool is_reachable = true;
    bool fails_everything = false;
    base::duration checkpoint_time = base::milliseconds(300);
    std::uint64_t capacity_refusals = 0;
    double usage_share = 1; ///< reported usage by declared size
    double thrown_away = 0; ///< core seconds of work stopped uncheckpointed

private:
    struct fake_run
    {
        formats::start_request request;
        formats::run_state state = formats::run_state::running;
        double left = 0;
        double throttle = 1;
        std::string checkpoint;
        base::instant began;
        base::instant lease_until;
        base::instant checkpoint_at;
        double left_at_checkpoint = 0;
        bool is_failing = false;
    };

    [[nodiscard]] formats::run_entry describe(fake_run const& run) const;
    void move_on(fake_run& run, base::instant to);
    void end(fake_run& run, formats::run_state state);
    static bool is_over(fake_run const& run);

    run_judge& judge;
    formats::epoch_number epoch = 0;
    std::map<std::pair<base::task_id, formats::attempt_number>, fake_run> known;
    std::map<base::task_id, formats::attempt_number> seen;
    base::instant now;
    std::uint64_t sequence = 0;
};

} // namespace foxtaillift::batch
