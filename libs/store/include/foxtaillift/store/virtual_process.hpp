/// A process on virtual time that can be paused and killed and whose clock may
/// run fast or slow.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/store/virtual_time.hpp"

#include <functional>
#include <vector>

namespace foxtaillift::store
{

/// Must outlive the functions that it scheduled. While paused it collects what
/// arrives and runs it on resumption, like a stopped process with full sockets.
class virtual_process
{
public:
    /// `rate` is the speed of the local clock, for example 1.01.
    explicit virtual_process(virtual_time& time, double rate = 1.0);

    /// The local monotonic clock.
    [[nodiscard]] base::instant now() const;
    [[nodiscard]] bool is_alive() const { return this->alive; }
    [[nodiscard]] bool is_paused() const { return this->paused; }

    /// Runs `function` now, on resumption, or never if killed.
    void run(std::function<void()> function);
    /// Runs `function` after a duration of the local clock.
    void schedule(base::duration delay, std::function<void()> function);

    void kill();
    void pause() { this->paused = true; }
    void resume();

private:
    virtual_time& time;
    double rate;
    bool alive = true;
    bool paused = false;
    std::vector<std::function<void()>> waiting;
};

} // namespace foxtaillift::store
