/// Answers of workers that are overdue. An order whose answer is lost may have
/// been carried out, or may be seconds later; until that is known its task goes
/// on nowhere, and the ends of its worker are not read.
#include "scheduler_core.hpp"

#include <algorithm>
#include <cstdint>

namespace foxtaillift::jobs
{

namespace
{

/// Between looks that tell what became of an order; a stop that rules a start
/// out is answered in between.
constexpr base::duration extra_look_gap = base::milliseconds(30);

/// Such looks in all. The reports of a large fleet would take the processor
/// time that its answers need, so that more of them seem to be lost.
constexpr std::int64_t extra_looks_per_second = 1000;
constexpr base::duration extra_looks_saved_up = base::milliseconds(100);

/// An order without an answer may be carried out up to this much later; the
/// platform speaks of seconds.
constexpr base::duration latest_execution = base::seconds(12);

/// Two lost answers within this time are no single event: more are expected.
constexpr base::duration loss_window = base::milliseconds(2000);
constexpr base::duration loss_expected = base::milliseconds(3000);

} // namespace

void scheduler::implementation::check_awaited(base::instant now)
{
    while (!this->awaited.empty() &&
           now - this->awaited.front().sent_at >= this->answers.overdue()) {
        auto const order = std::move(this->awaited.front());
        this->awaited.pop_front();
        auto* const entry = this->find_run(order.worker, order.run);
        if (entry == nullptr) {
            continue;
        }
        auto& worker = this->workers[order.worker];
        if (order.is_start) {
            if (entry->phase == run_phase::starting) {
                worker.unresolved.insert(order.run);
            }
        } else if (
            entry->is_pace_out && entry->paced_at == order.sent_at &&
            worker.heard_at > order.sent_at) {
            this->on_pace(order.worker, order.run, order_status::unknown, now);
        }
    }
}

void scheduler::implementation::on_pace(
    std::size_t index,
    run_name const& run,
    order_status status,
    base::instant now)
{
    if (status == order_status::fenced) {
        this->note_fenced(index, now);
    }
    auto* const entry = this->find_run(index, run);
    if (entry == nullptr) {
        return;
    }
    bool const was_out = std::exchange(entry->is_pace_out, false);
    if (status == order_status::done) {
        if (was_out) {
            this->answers.observe(now - entry->paced_at);
        }
        return;
    }
    if (status != order_status::unknown) {
        entry->pace = -1; // it is ordered again with the next report
        return;
    }
    entry->pace_doubtful_until = now + latest_execution;
    if (was_out) {
        entry->pace = -1;
        this->workers[index].is_pace_due = true;
        this->note_unanswered(index, entry->paced_at, now);
    }
}

void scheduler::implementation::note_unanswered(
    std::size_t index, base::instant sent_at, base::instant now)
{
    if (this->workers[index].heard_sent_at >= sent_at) {
        this->note_lost_answer(index, now);
    }
}

void scheduler::implementation::note_lost_answer(
    std::size_t index, base::instant now)
{
    bool const is_repeated = now - this->answer_lost_at < loss_window;
    this->answer_lost_at = now;
    if (!is_repeated) {
        return;
    }
    if (!this->are_answers_lost(now)) {
        this->log(base::event_line{"answers_lost"}.add(
            "worker", this->workers[index].info.id));
    }
    this->answers_lost_until = now + loss_expected;
}

bool scheduler::implementation::are_answers_lost(base::instant now) const
{
    return now < this->answers_lost_until;
}

void scheduler::implementation::allow_extra_looks(base::instant now)
{
    constexpr std::int64_t ms_per_second = 1000;
    // The time for which looks are allowed is not used up.
    this->extra_looks_since =
        std::max(this->extra_looks_since, now - extra_looks_saved_up);
    auto const saved = (now - this->extra_looks_since).ms;
    this->extra_looks_left = saved * extra_looks_per_second / ms_per_second;
}

bool scheduler::implementation::add_extra_look(
    std::vector<worker_order>& orders, worker_entry& worker, base::instant now)
{
    bool const is_wanted =
        !worker.unresolved.empty() || now >= worker.look_overdue_at;
    if (!is_wanted || worker.is_extra_look_out || worker.silent_looks > 0 ||
        now - worker.extra_look_at < extra_look_gap ||
        this->extra_looks_left <= 0) {
        return false;
    }
    constexpr base::duration span_of_look =
        base::milliseconds(1000 / extra_looks_per_second);
    --this->extra_looks_left;
    this->extra_looks_since = this->extra_looks_since + span_of_look;
    worker.is_extra_look_out = true;
    worker.extra_look_at = now;
    // It acknowledges nothing: another life of the worker may answer.
    orders.emplace_back(look_order{
        .worker = worker.info.id,
        .address = worker.info.address,
        .token = this->options.token,
        .is_extra = true});
    return true;
}

} // namespace foxtaillift::jobs
