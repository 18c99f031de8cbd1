/// Random faults of the in-memory table and object store.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"

#include <cstdint>

namespace foxtaillift::store
{

/// Probabilities are for each request. The times are one way.
struct fault_options
{
    double refuse = 0.0;       ///< refused before it has an effect
    double lose_request = 0.0; ///< never arrives, and is never answered
    double lose_answer = 0.0;  ///< takes effect, and is never answered
    double apply_late = 0.0;   ///< takes effect after `late_delay`, no answer
    double slow = 0.0;         ///< answered after up to `slow_delay` more
    base::duration delay = base::milliseconds(1);
    base::duration late_delay = base::seconds(5);
    base::duration slow_delay = base::milliseconds(1500);
};

/// What happens to one request.
struct fault_decision
{
    bool is_refused = false;
    bool is_applied = true;
    bool is_answered = true;
    base::duration apply_after = {};
    base::duration answer_after = {}; ///< counted from the application
};

/// Draws the fate of each request from a seed.
class fault_source
{
public:
    fault_source(fault_options options, std::uint32_t seed);

    /// Replaces the probabilities, for example at the end of a fault phase.
    void set_options(fault_options const& changed);

    /// While down, no request is applied or answered. Requests that already
    /// arrived but wait for their late application are still applied.
    void set_down(bool value) { this->down = value; }
    [[nodiscard]] bool is_down() const { return this->down; }

    [[nodiscard]] fault_decision draw();

private:
    fault_options options;
    base::random_engine random;
    bool down = false;
};

} // namespace foxtaillift::store
