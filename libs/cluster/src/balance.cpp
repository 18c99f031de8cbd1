#include "foxtaillift/cluster/balance.hpp"

#include "foxtaillift/base/hash.hpp"

#include <algorithm>
#include <cmath>

namespace foxtaillift::cluster
{

namespace
{

// Rounding errors of sums of weights must not decide.
constexpr double tolerance = 1e-6;

double relative_load(balance_host const& host)
{
    return host.load / std::max(host.capacity, tolerance);
}

// True if moving `weight` from one host to the other is worth a handover: the
// difference is at least three cells, or the target has none at all. Smaller
// differences arise whenever a host leaves and are left alone.
bool is_worth_moving(
    balance_host const& from, balance_host const& to, double weight)
{
    auto const after_from = (from.load - weight) / from.capacity;
    auto const after_to = (to.load + weight) / to.capacity;
    auto const margin = to.load <= tolerance ? 0.0 : weight / to.capacity;
    return after_from + tolerance >= after_to + margin;
}

} // namespace

double rendezvous_score(
    base::host_id const& host, double capacity, base::cell_id const& cell)
{
    constexpr double scale = 1.0 / 9007199254740993.0; // 2^53 + 1
    auto const bits = base::hash_pair(host.view(), cell.view()) >> 11U;
    auto const uniform = (static_cast<double>(bits) + 0.5) * scale;
    return -capacity / std::log(uniform);
}

std::vector<std::optional<base::host_id>> assign_cells(
    std::vector<balance_host>& hosts,
    std::vector<balance_cell> const& cells,
    double total_weight)
{
    std::vector<std::optional<base::host_id>> result;
    double total_capacity = 0.0;
    for (auto const& host : hosts) {
        total_capacity += host.capacity;
    }
    for (auto const& cell : cells) {
        balance_host* best = nullptr;
        balance_host* least = nullptr;
        double best_score = 0.0;
        for (auto& host : hosts) {
            auto const share = total_weight * host.capacity / total_capacity;
            auto const score =
                rendezvous_score(host.host, host.capacity, cell.cell);
            // Within the share plus one cell: this cell is the one.
            if (host.load <= share + tolerance &&
                (best == nullptr || score > best_score)) {
                best = &host;
                best_score = score;
            }
            if (least == nullptr ||
                relative_load(host) < relative_load(*least)) {
                least = &host;
            }
        }
        auto* const chosen = best != nullptr ? best : least;
        if (chosen == nullptr) {
            result.emplace_back();
            continue;
        }
        chosen->load += cell.weight;
        result.emplace_back(chosen->host);
    }
    return result;
}

std::optional<balance_move> choose_move(
    std::vector<balance_host> const& hosts,
    base::host_id const& from,
    std::vector<balance_cell> const& cells_of_host)
{
    auto const self =
        std::find_if(hosts.begin(), hosts.end(), [&from](auto const& host) {
            return host.host == from;
        });
    auto const least = std::min_element(
        hosts.begin(), hosts.end(), [](auto const& a, auto const& b) {
            return relative_load(a) < relative_load(b);
        });
    if (self == hosts.end() || least == self) {
        return std::nullopt;
    }
    std::optional<balance_move> best;
    double best_score = 0.0;
    for (auto const& cell : cells_of_host) {
        auto const score =
            rendezvous_score(least->host, least->capacity, cell.cell);
        if (is_worth_moving(*self, *least, cell.weight) &&
            (!best || score > best_score)) {
            best = balance_move{cell.cell, least->host};
            best_score = score;
        }
    }
    return best;
}

} // namespace foxtaillift::cluster
