/// What each worker has committed to batch tasks.
#pragma once

#include "feasibility_index.hpp"

#include "foxtaillift/formats/hosts.hpp"

#include <cstdint>
#include <vector>

namespace foxtaillift::batch
{

using worker_index = std::uint32_t;

enum class commitment
{
    normal,  ///< new run; must fit beside reservations and the urgent hole
    urgent,  ///< new run; must fit the limit
    reported ///< a run that the worker already holds; recorded in any case
};

/// Limits, commitments and reservations of the workers, and the indexes that
/// find workers with room.
class resource_ledger
{
public:
    worker_index add_worker();

    /// `limit`: for batch tasks, that is capacity minus the service reserve.
    /// `hole`: part of it that only urgent tasks may use.
    void set_limit(
        worker_index worker,
        formats::resources const& limit,
        formats::resources const& hole);
    /// Workers that are closed are not found, but may still be committed.
    /// Returns true if this changes anything.
    bool set_open(worker_index worker, bool is_open);
    /// Keeps room for one waiting task; replaces an earlier reservation.
    void reserve(worker_index worker, formats::resources const& size);

    /// The only function that adds to a commitment. Refuses an overdraft,
    /// except for runs that the worker reports, which are facts.
    [[nodiscard]] bool commit(
        worker_index worker, formats::resources const& size, commitment kind);
    void release(worker_index worker, formats::resources const& size);

    [[nodiscard]] formats::resources free_normal(worker_index worker) const;
    [[nodiscard]] formats::resources free_urgent(worker_index worker) const;
    [[nodiscard]] formats::resources const& limit(worker_index worker) const
    {
        return this->accounts[worker].limit;
    }
    [[nodiscard]] formats::resources const& committed(worker_index worker) const
    {
        return this->accounts[worker].committed;
    }
    [[nodiscard]] formats::resources const& hole(worker_index worker) const
    {
        return this->accounts[worker].hole;
    }
    [[nodiscard]] formats::resources const& total_limit() const
    {
        return this->limits;
    }
    /// Processors without the parts kept for urgent tasks, in whole cores of
    /// each worker: a task of a core fits into no sum of smaller parts.
    [[nodiscard]] std::int64_t whole_processors() const { return this->whole; }
    [[nodiscard]] formats::resources const& total_committed() const
    {
        return this->total;
    }

    /// Open workers with room now, by kind of task.
    [[nodiscard]] feasibility_index const& index(bool is_urgent) const
    {
        return is_urgent ? this->urgent_index : this->normal_index;
    }
    /// What each worker could hold if it were empty, open or not.
    [[nodiscard]] feasibility_index const& limit_index(bool is_urgent) const
    {
        return is_urgent ? this->urgent_limits : this->normal_limits;
    }

private:
    struct worker_account
    {
        formats::resources limit;
        formats::resources hole;
        formats::resources committed;
        formats::resources reserved;
        bool is_open = false;
    };

    void publish(worker_index worker);

    std::vector<worker_account> accounts;
    formats::resources limits;
    std::int64_t whole = 0;
    formats::resources total;
    feasibility_index normal_index;
    feasibility_index urgent_index;
    feasibility_index normal_limits;
    feasibility_index urgent_limits;
};

} // namespace foxtaillift::batch
