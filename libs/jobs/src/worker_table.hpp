/// The workers that a leader knows, with what runs on each.
#pragma once

#include "worker_trust.hpp"

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/pacing.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

/// Bounds of a worker's steady clock, which may run up to 2% slow.
class clock_estimate
{
public:
    void on_answer(std::int64_t clock_ms, base::instant now)
    {
        this->clock = clock_ms;
        this->at = now;
    }
    void forget() { this->clock.reset(); }
    [[nodiscard]] bool is_known() const { return this->clock.has_value(); }
    /// An answer with this reading was made before the last one.
    [[nodiscard]] bool is_overtaken(std::int64_t clock_ms) const
    {
        return this->clock && clock_ms < *this->clock;
    }
    [[nodiscard]] std::int64_t likely(base::instant now) const
    {
        return *this->clock + (now - this->at).ms;
    }
    [[nodiscard]] std::int64_t earliest(base::instant now) const
    {
        constexpr std::int64_t percent_kept = 98;
        return *this->clock + (now - this->at).ms * percent_kept / 100;
    }

private:
    std::optional<std::int64_t> clock{};
    base::instant at{};
};

struct job_entry;

/// What a run takes of its worker.
struct occupancy
{
    /// Its task; null as long as its job is not known.
    job_entry* job = nullptr;
    std::size_t ordinal = 0;
    std::uint64_t report = 0; ///< the last one of the worker that named it
    resources need{};
    bool is_filling = false;
    bool is_serving = false;
    bool is_lasting = false;
    std::int64_t tail_target_ms = 0;
    image_number image = 0;
    int percent = 100; ///< pace of a filling run, as wanted
    /// Its job is not known, so it may take any part of the worker.
    bool is_unsized = false;
};

/// Lives of a worker, by their starts, that another one has followed. What they
/// said may still arrive.
class former_lives
{
public:
    void add(std::int64_t born_ms, base::instant now);
    [[nodiscard]] bool contains(std::int64_t born_ms, base::instant now) const;

private:
    /// Answers and entries are late by seconds at the most.
    static constexpr base::duration remembered = base::seconds(10);
    static constexpr std::size_t limit = 8;

    std::deque<std::pair<std::int64_t, base::instant>> lives{};
};

struct worker_entry
{
    worker_info info{};
    former_lives former{};
    bool is_listed = false;
    base::instant unlisted_at{-1'000'000};
    base::instant leaves_at{}; ///< while it drains: no sooner than this
    clock_estimate clock{};
    std::int64_t born_ms = 0;           ///< 0: has not reported yet
    std::int64_t leased_until_ms = 0;   ///< latest ever granted, on its clock
    bool is_heard = false;              ///< has reported to this leader
    bool is_gone = false;               ///< nothing can run there any more
    bool is_evacuated = false;          ///< nothing starts in its domain
    base::instant moved_at{-1'000'000}; ///< to the address that is listed

    bool is_look_out = false;
    base::instant look_overdue_at{}; ///< its answer should have come by then
    bool is_extra_look_out = false;
    base::instant extra_look_at{-1'000'000};
    base::instant look_due{};
    /// Runs whose starts are not answered in time; a look tells what became of
    /// them.
    std::set<run_name> unresolved{};
    int silent_looks = 0;      ///< in a row
    bool is_look_lost = false; ///< the last one, though it answered another
    int refusals = 0; ///< for a higher token, in a row; it is set aside
    base::instant granted_at{-1'000'000}; ///< when its last lease was sent
    /// Named in the record of closed workers, or about to be: nothing starts
    /// there until a record without it is durable.
    bool is_closed = false;
    /// The record tells the age of its lease, which must not grow.
    bool is_lease_closed = false;
    /// Has not reported to this leader; the predecessor's record tells all that
    /// may run there, and its leases are over at this time.
    std::optional<base::instant> inherited_until{};
    /// The same, but the predecessor may have prolonged its leases until it was
    /// deposed for certain, which gives `inherited_until`.
    bool is_lease_unknown = false;
    base::instant heard_at{-1'000'000};      ///< time of the last report
    base::instant heard_sent_at{-1'000'000}; ///< when that look was sent

    std::uint64_t reports = 0;     ///< taken over
    std::int64_t processed = 0;    ///< ends taken over into the jobs
    std::int64_t acknowledged = 0; ///< ends that are durable
    /// Ends taken over and not acknowledged, by number.
    std::deque<std::pair<std::int64_t, run_name>> unacknowledged{};

    /// Ends that cannot be taken over, as the job of the first is unknown: when
    /// each was listed first, by number.
    std::map<std::int64_t, base::instant> blocked{};
    /// The first report of this life was full, and so has been each one since:
    /// runs of an earlier leader may have ended without having been listed to
    /// this one.
    bool has_unlisted_ends = false;

    worker_trust trust{};
    std::map<run_name, serving_history> histories{}; ///< of serving runs
    /// Since when serving runs are over their target, by the reports.
    std::map<run_name, base::instant> exceeding_since{};
    /// Its serving tasks answer far slower than their load and what fills
    /// beside them explain.
    bool is_slow = false;
    std::vector<served_run> served{}; ///< by the last report
    /// Filling runs with their paces; those started since the last report are
    /// added at their start.
    std::vector<filling_run> fillings{};
    /// Part of the filling tasks in use whose images disturb no serving task
    /// here; 0 to 1.
    double versatility = 1;
    /// The worker with its filling runs, while neither they nor what is served
    /// changes; made when it is needed.
    mutable std::optional<paced_worker> paced{};
    bool is_pace_due = false; ///< a filling run may have another pace
    bool is_tight = false;    ///< serving tasks leave filling ones little room

    std::map<run_name, occupancy> runs{}; ///< present or possibly present

    resources used{}; ///< by runs, without filling processors
    resources kept{}; ///< for a starving task, from others
    std::int64_t lasting_processors = 0; ///< reserved by lasting tasks
    std::int64_t serving_processors = 0;
    std::int64_t filling_processors = 0;
    std::int64_t filling_used = 0; ///< by the last report
    std::size_t serving_runs = 0;
    std::size_t unsized_runs = 0; ///< beside them nothing starts
    std::map<image_number, std::int64_t> serving_by_image{}; ///< processors

    /// Its position among the vacancies of its service, if it has one.
    std::optional<std::size_t> vacancy_position{};

    /// The life that reports is the one of which the entry tells. Labels,
    /// capacity and service may change with a life.
    [[nodiscard]] bool is_entry_current() const
    {
        return this->info.born_ms == 0 || this->info.born_ms == this->born_ms;
    }

    /// All that an earlier leader may have left there is known.
    [[nodiscard]] bool is_accounted() const
    {
        return this->is_heard
                   ? this->blocked.empty() && !this->has_unlisted_ends
                   : this->inherited_until || this->is_lease_unknown;
    }

    /// Something runs there, or an end of it is not taken over or not durable.
    [[nodiscard]] bool has_work() const
    {
        return !this->runs.empty() || !this->unacknowledged.empty() ||
               !this->blocked.empty() || this->has_unlisted_ends;
    }

    void occupy(run_name const& run, occupancy const& taken);
    void release(run_name const& run);
    void add_filling(filling_run const& run);
    /// Images of which serving tasks are present.
    [[nodiscard]] std::vector<image_number> serving_images() const;
};

/// Indices stay valid; entries are reused by no other worker.
class worker_table
{
public:
    /// Returns the index of the worker, which is added if it is new.
    std::size_t add(std::string_view id);
    [[nodiscard]] std::optional<std::size_t> find(std::string_view id) const;

    worker_entry& operator[](std::size_t index) { return this->entries[index]; }
    worker_entry const& operator[](std::size_t index) const
    {
        return this->entries[index];
    }
    [[nodiscard]] std::size_t size() const { return this->entries.size(); }

private:
    std::deque<worker_entry> entries{};
    std::unordered_map<std::string, std::size_t> indices{};
};

} // namespace foxtaillift::jobs
