#include "any_policy.hpp"

namespace foxtaillift::routing::detail
{

any_policy::any_policy(policy_kind kind, policy_options const& options)
    : fallback(kind)
    , random_choice(options)
    , round_robin(options)
    , two_choices(options)
    , adaptive(options)
{}

choice any_policy::choose(
    routing_snapshot const& snapshot,
    service_view const& service,
    choice_request const& request,
    base::instant now,
    base::random_engine& random)
{
    auto const use = [&](auto& chosen) {
        return chosen.choose(snapshot, service, request, now, random);
    };
    switch (service.options.policy.value_or(this->fallback)) {
    case policy_kind::random:
        return use(this->random_choice);
    case policy_kind::round_robin:
        return use(this->round_robin);
    case policy_kind::two_choices:
        return use(this->two_choices);
    case policy_kind::adaptive:
        break;
    }
    return use(this->adaptive);
}

} // namespace foxtaillift::routing::detail
