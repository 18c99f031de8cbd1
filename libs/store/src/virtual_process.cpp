#include "foxtaillift/store/virtual_process.hpp"

#include <cmath>
#include <utility>

namespace foxtaillift::store
{

virtual_process::virtual_process(virtual_time& shared, double clock_rate)
    : time(shared)
    , rate(clock_rate)
{}

base::instant virtual_process::now() const
{
    auto const shared = static_cast<double>(this->time.now().ms);
    return {std::llround(shared * this->rate)};
}

void virtual_process::run(std::function<void()> function)
{
    if (!this->alive) {
        return;
    }
    if (this->paused) {
        this->waiting.push_back(std::move(function));
        return;
    }
    function();
}

void virtual_process::schedule(
    base::duration delay, std::function<void()> function)
{
    auto const shared = static_cast<double>(delay.ms) / this->rate;
    this->time.schedule(
        {static_cast<std::int64_t>(std::ceil(shared))},
        [this, function = std::move(function)] { this->run(function); });
}

void virtual_process::kill()
{
    this->alive = false;
    this->waiting.clear();
}

void virtual_process::resume()
{
    this->paused = false;
    auto const collected = std::exchange(this->waiting, {});
    for (auto const& function : collected) {
        this->run(function);
    }
}

} // namespace foxtaillift::store
