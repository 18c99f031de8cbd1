#include "give_way.hpp"

#include <algorithm>
#include <numeric>

namespace foxtaillift::transport
{

std::optional<std::vector<std::size_t>> choose_to_give_way(
    std::span<give_way_candidate const> candidates, std::size_t amount)
{
    std::vector<std::size_t> heap(candidates.size());
    std::iota(heap.begin(), heap.end(), std::size_t{0});
    auto const is_later = [candidates](std::size_t a, std::size_t b) {
        return candidates[a].progress > candidates[b].progress;
    };
    std::ranges::make_heap(heap, is_later);
    std::vector<std::size_t> chosen;
    std::size_t found = 0;
    while (found < amount) {
        if (heap.empty()) {
            return std::nullopt;
        }
        std::ranges::pop_heap(heap, is_later);
        found += candidates[heap.back()].amount;
        chosen.push_back(heap.back());
        heap.pop_back();
    }
    return chosen;
}

} // namespace foxtaillift::transport
