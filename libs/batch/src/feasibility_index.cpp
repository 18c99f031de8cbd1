#include "feasibility_index.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

constexpr formats::resources nothing{-1, -1, -1};
// Bounds the cost of a search among workers that have either processors or
// memory left, but not both.
constexpr std::size_t max_visits = 2'048;

formats::resources
maxima(formats::resources const& a, formats::resources const& b)
{
    return {
        std::max(a.processors, b.processors),
        std::max(a.memory_mb, b.memory_mb),
        std::max(a.accelerators, b.accelerators)};
}

} // namespace

void feasibility_index::grow(std::uint32_t wanted)
{
    std::uint32_t width = std::max(this->leaves, 1U);
    while (width < wanted) {
        width *= 2;
    }
    if (width != this->leaves) {
        std::vector<formats::resources> wider(std::size_t{2} * width, nothing);
        for (std::uint32_t i = 0; i < this->count; ++i) {
            wider[width + i] = this->nodes[this->leaves + i];
        }
        this->nodes = std::move(wider);
        this->leaves = width;
        for (std::size_t node = width - 1; node >= 1; --node) {
            this->update(node);
        }
    }
    this->count = std::max(this->count, wanted);
}

void feasibility_index::update(std::size_t node)
{
    this->nodes[node] =
        maxima(this->nodes[2 * node], this->nodes[2 * node + 1]);
}

void feasibility_index::set(
    std::uint32_t worker, formats::resources const& free)
{
    if (worker >= this->count) {
        this->grow(worker + 1);
    }
    std::size_t node = std::size_t{this->leaves} + worker;
    this->nodes[node] = free;
    for (node /= 2; node >= 1; node /= 2) {
        auto const before = this->nodes[node];
        this->update(node);
        if (this->nodes[node] == before) {
            break;
        }
    }
}

formats::resources feasibility_index::largest() const
{
    return this->count == 0 ? nothing : this->nodes[1];
}

bool feasibility_index::may_fit(formats::resources const& size) const
{
    return this->count != 0 && size.fits_in(this->nodes[1]);
}

void feasibility_index::find(
    formats::resources const& size,
    std::uint32_t start,
    std::size_t limit,
    std::vector<std::uint32_t>& out) const
{
    if (this->count == 0) {
        return;
    }
    start %= this->count;
    std::size_t const wanted = out.size() + limit;
    search state{size, start, this->count, wanted, max_visits, out};
    this->descend(state, 1, 0, this->leaves);
    state.first = 0;
    state.last = start;
    this->descend(state, 1, 0, this->leaves);
}

void feasibility_index::descend(
    search& state,
    std::size_t node,
    std::uint32_t low,
    std::uint32_t width) const
{
    if (state.out.size() >= state.limit || state.visits == 0 ||
        low >= state.last || low + width <= state.first ||
        !state.size.fits_in(this->nodes[node])) {
        return;
    }
    --state.visits;
    if (width == 1) {
        state.out.push_back(low);
        return;
    }
    this->descend(state, 2 * node, low, width / 2);
    this->descend(state, 2 * node + 1, low + width / 2, width / 2);
}

} // namespace foxtaillift::batch
