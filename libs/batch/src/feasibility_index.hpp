/// Finds workers whose free resources hold a task, without a scan of all.
#pragma once

#include "foxtaillift/formats/hosts.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace foxtaillift::batch
{

/// A binary tree over the workers; each node has the largest free amount of
/// each resource below it. A subtree whose maxima do not hold the task is
/// skipped. Updates and each found worker cost O(log workers); a search that
/// is misled by maxima of different workers stops after a bounded number of
/// nodes.
class feasibility_index
{
public:
    /// Grows to hold `worker`.
    void set(std::uint32_t worker, formats::resources const& free);

    /// False only if no worker can hold `size`.
    [[nodiscard]] bool may_fit(formats::resources const& size) const;

    /// Appends up to `limit` workers that hold `size`, in circular order from
    /// `start`.
    void find(
        formats::resources const& size,
        std::uint32_t start,
        std::size_t limit,
        std::vector<std::uint32_t>& out) const;

    /// Largest amount of each resource, not necessarily on one worker.
    [[nodiscard]] formats::resources largest() const;
    [[nodiscard]] std::uint32_t size() const { return this->count; }

private:
    struct search
    {
        formats::resources const& size;
        std::uint32_t first;
        std::uint32_t last;
        std::size_t limit;
        std::size_t visits;
        std::vector<std::uint32_t>& out;
    };

    void grow(std::uint32_t wanted);
    void update(std::size_t node);
    void descend(
        search& state,
        std::size_t node,
        std::uint32_t low,
        std::uint32_t width) const;

    std::uint32_t leaves = 0;
    std::uint32_t count = 0;
    std::vector<formats::resources> nodes; ///< node 1 is the root
};

} // namespace foxtaillift::batch
