#include "foxtaillift/store/virtual_time.hpp"

#include <algorithm>

namespace foxtaillift::store
{

void virtual_time::schedule(
    base::duration delay, std::function<void()> function)
{
    auto const at = this->current + std::max(delay, base::duration{});
    this->events.emplace(std::pair{at, this->sequence++}, std::move(function));
}

bool virtual_time::run_next()
{
    if (this->events.empty()) {
        return false;
    }
    auto node = this->events.extract(this->events.begin());
    this->current = node.key().first;
    node.mapped()();
    return true;
}

void virtual_time::run_until(base::instant end)
{
    while (!this->events.empty() && this->events.begin()->first.first <= end) {
        this->run_next();
    }
    this->current = std::max(this->current, end);
}

} // namespace foxtaillift::store
