#include "foxtaillift/store/fault_source.hpp"

namespace foxtaillift::store
{

fault_source::fault_source(fault_options initial, std::uint32_t seed)
    : options(initial)
    , random(seed)
{}

void fault_source::set_options(fault_options const& changed)
{
    this->options = changed;
}

fault_decision fault_source::draw()
{
    auto const& now = this->options;
    // Every draw consumes the same amount of randomness, so that a changed
    // probability does not shift the faults of later requests.
    auto const fate = base::uniform_unit(this->random);
    auto const is_slow = base::uniform_unit(this->random) < now.slow;
    auto const extra = base::jitter(this->random, now.slow_delay);
    fault_decision decision{
        .apply_after = now.delay,
        .answer_after = is_slow ? now.delay + extra : now.delay};
    if (this->down) {
        decision.is_applied = false;
        decision.is_answered = false;
        return decision;
    }
    auto const refused_below = now.refuse;
    auto const lost_below = refused_below + now.lose_request;
    auto const unanswered_below = lost_below + now.lose_answer;
    auto const late_below = unanswered_below + now.apply_late;
    if (fate < refused_below) {
        decision.is_refused = true;
        decision.is_applied = false;
    } else if (fate < lost_below) {
        decision.is_applied = false;
        decision.is_answered = false;
    } else if (fate < unanswered_below) {
        decision.is_answered = false;
    } else if (fate < late_below) {
        decision.is_answered = false;
        decision.apply_after = now.late_delay;
    }
    return decision;
}

} // namespace foxtaillift::store
