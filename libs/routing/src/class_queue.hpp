/// Waiting calls of one service and class: one queue per caller, served in
/// turn.
#pragma once

#include "foxtaillift/routing/admission.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace foxtaillift::routing::detail
{

class class_queue
{
public:
    /// Position of a call within its caller's queue; the least is served
    /// first, the greatest is pushed out first.
    using position = std::pair<std::int64_t, std::uint64_t>;

    void add(base::caller_id const& caller, position at, call_handle call);
    bool remove(base::caller_id const& caller, position at);
    /// Changes the position of a call that waits; its caller keeps its turn.
    void move(base::caller_id const& caller, position from, position to);
    /// The call whose turn it is.
    [[nodiscard]] std::optional<call_handle> front() const;
    /// Moves the caller whose turn it is to the end of the round.
    void end_turn();

    [[nodiscard]] std::uint32_t size() const { return this->total; }
    [[nodiscard]] std::uint32_t size_of(base::caller_id const& caller) const;
    /// Length of the longest caller's queue.
    [[nodiscard]] std::uint32_t longest() const;
    /// The call to give up in favour of others: the last of the longest queue.
    [[nodiscard]] std::optional<call_handle> last_of_longest() const;
    /// How many calls are served before one of `caller` at `at`.
    [[nodiscard]] std::uint32_t
    ahead_of(base::caller_id const& caller, position at) const;

private:
    struct caller_queue
    {
        std::map<position, call_handle> calls;
        std::list<base::caller_id>::iterator turn;
    };
    using callers_map = std::unordered_map<base::caller_id, caller_queue>;

    [[nodiscard]] callers_map::const_iterator find_longest() const;

    callers_map callers;
    std::list<base::caller_id> turns;
    std::uint32_t total = 0;
};

} // namespace foxtaillift::routing::detail
