/// A change of the store that is sent until it is answered.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/rows.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <utility>

namespace foxtaillift::jobs
{

/// Sends copies of one change, of which the store can carry out only one, since
/// each has the same condition on a row that the change writes. Not
/// thread-safe.
template <host_ports Ports>
class copied_write : public std::enable_shared_from_this<copied_write<Ports>>
{
public:
    struct handlers
    {
        /// The change, for each copy.
        std::function<row_change()> make{};
        /// The store has carried a copy out, or refused one for a condition.
        std::function<void(change_result const&, base::instant sent_at)>
            on_answer{};
        /// A copy has failed; others follow.
        std::function<void()> on_failed{};
        /// The store has answered neither of two copies in the usual time.
        std::function<void()> on_silent{};
    };

    copied_write(Ports& ports_to_use, handlers callbacks)
        : ports(ports_to_use)
        , owner(std::move(callbacks))
    {}

    // Commands

    /// Begins the next change. Call only when none is out.
    void begin()
    {
        this->is_sent = true;
        this->has_copy_failed = false;
        this->may_have_been_done = false;
        this->copies_sent = 0;
        ++this->number;
        this->send();
    }

    /// Sends another copy now.
    void send()
    {
        ++this->copies_out;
        ++this->copies_sent;
        auto const sent_at = this->ports.now();
        this->ports.change(
            this->owner.make(),
            [self = this->shared_from_this(), sent_at,
             copy_of = this->number](change_result const& result) {
                if (!self->is_stopped) {
                    self->on_result(result, copy_of, sent_at);
                }
            });
        // Copies would wait for each other in a store that is only slow.
        if (this->took < slow_write) {
            this->send_after(silent_gap);
        }
    }

    /// The change is carried out; what further copies answer is not regarded.
    void end()
    {
        this->is_sent = false;
        this->copies_out = 0;
        this->has_copy_failed = false;
        ++this->timer;
    }

    /// No callback comes any more.
    void stop() { this->is_stopped = true; }

    // Queries

    [[nodiscard]] bool is_out() const { return this->is_sent; }
    /// At least one copy of the change that is out.
    [[nodiscard]] bool has_failed() const { return this->has_copy_failed; }
    /// The store has answered neither of two copies of it in the usual time.
    [[nodiscard]] bool is_silent() const
    {
        return this->is_sent && this->copies_sent > silent_copies;
    }
    /// No copy that was sent so far can be carried out any more.
    [[nodiscard]] bool is_certainly_not_done() const
    {
        return !this->may_have_been_done && this->copies_out == 0;
    }

private:
    /// Before a copy follows one that failed.
    static constexpr base::duration failed_gap = base::milliseconds(100);
    /// A change that is not answered is sent again this often: its answer may
    /// be lost, and a store that was away is known to be back before the last
    /// copy has run out of its time (1 s).
    static constexpr base::duration silent_gap = base::milliseconds(250);
    /// The store answers within some 10 ms, and 60 to 70 times slower when it
    /// is slow.
    static constexpr base::duration slow_write = base::milliseconds(150);
    /// One lost answer is not unusual, a series of them is.
    static constexpr std::size_t silent_copies = 2;
    /// Each copy that is out holds a connection, of eight.
    static constexpr std::size_t copies_limit = 4;

    void on_result(
        change_result const& result,
        std::uint64_t copy_of,
        base::instant sent_at)
    {
        bool const is_answer = result.status == store_status::done ||
                               result.status == store_status::conflict;
        if (is_answer) {
            this->took = this->ports.now() - sent_at;
        }
        if (copy_of != this->number || !this->is_sent) {
            return;
        }
        --this->copies_out;
        if (is_answer) {
            this->owner.on_answer(result, sent_at);
            return;
        }
        this->has_copy_failed = true;
        this->may_have_been_done |= result.status != store_status::not_done;
        this->owner.on_failed();
        this->send_after(failed_gap);
    }

    void send_again()
    {
        bool const was_silent = this->is_silent();
        this->send();
        if (!was_silent && this->is_silent()) {
            this->owner.on_silent();
        }
    }

    void send_after(base::duration gap)
    {
        this->ports.after(
            gap, [self = this->shared_from_this(), due = ++this->timer] {
                bool const is_due = !self->is_stopped && self->is_sent &&
                                    due == self->timer &&
                                    self->copies_out < copies_limit;
                if (is_due) {
                    self->send_again();
                }
            });
    }

    Ports& ports;
    handlers owner;
    std::uint64_t number = 0; ///< of the change
    std::uint64_t timer = 0;  ///< of the copy that is due
    std::size_t copies_out = 0;
    std::size_t copies_sent = 0; ///< of the change
    base::duration took{};       ///< of the last copy that was answered
    bool is_sent = false;
    bool has_copy_failed = false;
    bool may_have_been_done = false;
    bool is_stopped = false;
};

} // namespace foxtaillift::jobs
