#include "class_queue.hpp"

#include <algorithm>
#include <iterator>

namespace foxtaillift::routing::detail
{

void class_queue::add(
    base::caller_id const& caller, position at, call_handle call)
{
    auto [entry, is_new] = this->callers.try_emplace(caller);
    if (is_new) {
        entry->second.turn = this->turns.insert(this->turns.end(), caller);
    }
    entry->second.calls.emplace(at, call);
    this->total += 1;
}

bool class_queue::remove(base::caller_id const& caller, position at)
{
    auto const entry = this->callers.find(caller);
    if (entry == this->callers.end() || entry->second.calls.erase(at) == 0) {
        return false;
    }
    this->total -= 1;
    if (entry->second.calls.empty()) {
        this->turns.erase(entry->second.turn);
        this->callers.erase(entry);
    }
    return true;
}

void class_queue::move(
    base::caller_id const& caller, position from, position to)
{
    auto& calls = this->callers.at(caller).calls;
    auto call = calls.extract(from);
    call.key() = to;
    calls.insert(std::move(call));
}

std::optional<call_handle> class_queue::front() const
{
    if (this->turns.empty()) {
        return std::nullopt;
    }
    return this->callers.at(this->turns.front()).calls.begin()->second;
}

void class_queue::end_turn()
{
    if (!this->turns.empty()) {
        this->turns.splice(this->turns.end(), this->turns, this->turns.begin());
    }
}

std::uint32_t class_queue::size_of(base::caller_id const& caller) const
{
    auto const entry = this->callers.find(caller);
    return entry == this->callers.end()
               ? 0
               : static_cast<std::uint32_t>(entry->second.calls.size());
}

class_queue::callers_map::const_iterator class_queue::find_longest() const
{
    return std::max_element(
        this->callers.begin(), this->callers.end(),
        [](auto const& a, auto const& b) {
            return a.second.calls.size() < b.second.calls.size();
        });
}

std::uint32_t class_queue::longest() const
{
    auto const found = this->find_longest();
    return found == this->callers.end()
               ? 0
               : static_cast<std::uint32_t>(found->second.calls.size());
}

std::optional<call_handle> class_queue::last_of_longest() const
{
    auto const found = this->find_longest();
    if (found == this->callers.end()) {
        return std::nullopt;
    }
    return found->second.calls.rbegin()->second;
}

std::uint32_t
class_queue::ahead_of(base::caller_id const& caller, position at) const
{
    std::uint32_t own = 0;
    auto const entry = this->callers.find(caller);
    if (entry != this->callers.end()) {
        auto const& calls = entry->second.calls;
        own = static_cast<std::uint32_t>(
            std::distance(calls.begin(), calls.lower_bound(at)));
    }
    // Each other caller gets at most one turn for each turn of this one.
    auto const others = static_cast<std::uint32_t>(
        this->callers.size() - (entry == this->callers.end() ? 0 : 1));
    return std::min(this->total, own + others * (own + 1));
}

} // namespace foxtaillift::routing::detail
