/// The tasks and steps of one job. A scheduled job has up to 20,000 tasks of
/// which few run at a time, so that memory follows what has begun and is not
/// over. The rest takes a bit each. A job that runs once has all its steps at
/// hand, which each run of the decisions asks for, and a pointer to each task.
#pragma once

#include "obstacle.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/interference.hpp"
#include "foxtaillift/jobs/job.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

enum class run_phase
{
    starting, ///< ordered, no answer yet
    unknown,  ///< the start's answer was lost
    running,
    stopping,
};

/// One run of a task that is present on a worker or may be.
struct run_entry
{
    std::size_t worker = 0;
    std::uint32_t attempt = 0;
    run_phase phase = run_phase::starting;
    base::instant started_at{};
    base::instant settled_at{}; ///< last answer that changed the phase
    int percent = -1;           ///< as last reported; negative: never
    base::instant progressed_at{};
    /// Progress of which the report told first, and the time at full speed that
    /// the run has worked since, by the processors that it used.
    int first_percent = -1;
    base::instant first_percent_at{};
    double worked_ms = 0;
    base::instant measured_at{};
    int pace = 100; ///< percent, as ordered last
    base::instant paced_at{};
    bool is_pace_out = false; ///< the order is not answered yet
    /// An order of another pace that was not answered may be carried out until
    /// then.
    base::instant pace_doubtful_until{-1'000'000};
    /// Since when a filling run is to work at a small part of its speed.
    std::optional<base::instant> slowed_since{};
    std::optional<base::instant> stop_confirmed_at{};
};

/// Why a run of a task counts as over.
enum class run_release
{
    none,         ///< the task has had no run
    ended,        ///< its worker listed the end
    absent,       ///< its worker does not list it any more
    not_started,  ///< the start was refused
    lease_over,   ///< nothing can run under the leases of its worker
    other_worker, ///< another worker answers at the address
};

std::string_view to_string(run_release reason);

/// What is known of a task that has had a run.
struct task_entry
{
    std::uint32_t attempt = 0; ///< highest that was started
    std::vector<std::uint32_t> failed_attempts{};
    std::string checkpoint{};
    base::instant not_before{};
    run_release released_by = run_release::none; ///< its last run
    /// When a report last spoke for the presence of its last run.
    base::instant last_present{};
    std::optional<std::size_t> avoided_worker{}; ///< where it failed last
    std::uint32_t stalls = 0;                    ///< runs of it that were stuck
    std::vector<run_entry> runs{};
};

/// Entries by position. A dense one finds them without a search. Not
/// thread-safe; references stay valid until the entry is erased.
template <class Entry>
class sparse_entries
{
public:
    sparse_entries() = default;
    sparse_entries(std::size_t size, bool is_dense)
        : direct(is_dense ? size : 0)
    {}
    ~sparse_entries() = default;
    sparse_entries(sparse_entries const&) = delete;
    sparse_entries& operator=(sparse_entries const&) = delete;
    sparse_entries(sparse_entries&&) noexcept = default;
    sparse_entries& operator=(sparse_entries&&) noexcept = default;

    /// The entry, and whether it was added.
    std::pair<Entry*, bool> add(std::size_t position)
    {
        if (!this->direct.empty() && this->direct[position] != nullptr) {
            return {this->direct[position], false};
        }
        auto const [found, is_new] = this->all.try_emplace(position);
        if (is_new && !this->direct.empty()) {
            this->direct[position] = &found->second;
        }
        return {&found->second, is_new};
    }

    void erase(std::size_t position)
    {
        this->all.erase(position);
        if (!this->direct.empty()) {
            this->direct[position] = nullptr;
        }
    }

    /// Null if there is none.
    [[nodiscard]] Entry* find(std::size_t position)
    {
        return find_in(*this, position);
    }
    [[nodiscard]] Entry const* find(std::size_t position) const
    {
        return find_in(*this, position);
    }
    [[nodiscard]] std::map<std::size_t, Entry> const& entries() const
    {
        return this->all;
    }

private:
    template <class Self>
    static auto find_in(Self& self, std::size_t position)
        -> decltype(&self.all.begin()->second)
    {
        if (!self.direct.empty()) {
            return self.direct[position];
        }
        auto const found = self.all.find(position);
        return found == self.all.end() ? nullptr : &found->second;
    }

    std::map<std::size_t, Entry> all{};
    std::vector<Entry*> direct{}; ///< empty if this is not dense
};

/// By ordinal. Not thread-safe. References to entries stay valid until trim().
class task_table
{
public:
    task_table() = default;
    task_table(std::size_t count, bool is_dense)
        : done(count)
        , begun(count, is_dense)
    {}

    // Commands

    /// The entry of a task, which is added if there is none.
    task_entry& edit(std::size_t ordinal)
    {
        return *this->begun.add(ordinal).first;
    }
    /// Null without an entry.
    task_entry* find(std::size_t ordinal) { return this->begun.find(ordinal); }
    void set_done(std::size_t ordinal) { this->done[ordinal] = true; }
    /// Drops the entry of a task that is done and has no run.
    void trim(std::size_t ordinal);

    // Queries

    [[nodiscard]] std::size_t size() const { return this->done.size(); }
    [[nodiscard]] bool is_done(std::size_t ordinal) const
    {
        return this->done[ordinal];
    }
    [[nodiscard]] std::vector<bool> const& done_tasks() const
    {
        return this->done;
    }
    /// Without an entry, that of a task that never had a run.
    task_entry const& operator[](std::size_t ordinal) const;
    [[nodiscard]] std::map<std::size_t, task_entry> const& entries() const
    {
        return this->begun.entries();
    }

private:
    std::vector<bool> done{};
    sparse_entries<task_entry> begun{};
};

/// What an adviser said of the workers for one step.
struct step_advice
{
    struct verdict
    {
        std::string ticket{};        ///< empty: the worker may not run it
        std::int64_t born_ms = 0;    ///< life of the worker that it holds for
        base::instant valid_until{}; ///< of the ticket
    };
    std::map<std::size_t, verdict> verdicts{}; ///< by worker
    bool is_asked = false;                     ///< a call is out
    base::instant ask_after{};
};

/// One step of one occurrence.
struct step_entry
{
    std::uint32_t done = 0;
    std::uint32_t idle = 0;    ///< neither done nor with a run
    base::instant ready_at{};  ///< when it could first start; 0: not yet
    headroom_track headroom{}; ///< of its serving tasks
    step_advice advice{};      ///< where the queue has an adviser
    /// Keeps room for a starving task of the step.
    std::optional<std::size_t> kept_worker{};
    base::instant kept_at{-1'000'000}; ///< last run that regarded it
    base::instant keep_search_due{-1'000'000};
};

/// By slot: by occurrence, then step. A step of a scheduled job has an entry
/// from its first use until all its tasks are done, one of any other job
/// always. Not thread-safe; references to entries stay valid until finish().
class step_table
{
public:
    step_table() = default;
    step_table(std::span<step const> steps, std::size_t occurrences);

    // Commands

    /// The entry of a step, which is added if there is none.
    step_entry& edit(std::size_t slot)
    {
        return this->always.empty() ? this->add(slot) : this->always[slot];
    }
    /// Call once all tasks of the step are done.
    void finish(std::size_t slot);

    // Queries

    [[nodiscard]] std::size_t size() const { return this->finished.size(); }
    [[nodiscard]] std::uint32_t done(std::size_t slot) const;
    [[nodiscard]] std::uint32_t idle(std::size_t slot) const;
    [[nodiscard]] bool is_finished(std::size_t slot) const
    {
        return this->finished[slot];
    }
    /// Null without an entry.
    [[nodiscard]] step_entry const* find(std::size_t slot) const
    {
        return this->always.empty() ? this->begun.find(slot)
                                    : &this->always[slot];
    }
    /// Without an entry, one that says nothing; see done() and idle().
    step_entry const& operator[](std::size_t slot) const;
    /// Of a scheduled job.
    [[nodiscard]] std::map<std::size_t, step_entry> const& entries() const
    {
        return this->begun.entries();
    }
    /// Occurrences of a scheduled job in which the step has had no entry.
    [[nodiscard]] std::size_t unused(std::size_t step) const
    {
        return this->unused_by_step[step];
    }

private:
    step_entry& add(std::size_t slot);

    std::vector<std::uint32_t> counts{}; ///< tasks, by step
    std::vector<std::size_t> unused_by_step{};
    std::vector<bool> finished{};
    sparse_entries<step_entry> begun{};
    std::vector<step_entry> always{}; ///< of a job that runs once
};

} // namespace foxtaillift::jobs
