#include "player.hpp"

#include <algorithm>

namespace foxtaillift::replay
{

namespace
{

// The store client's timeout, after which it reads the row back (design
// section 7), and the read.
constexpr std::int64_t lost_answer_ms = 2'005;
constexpr base::duration measure_every = base::milliseconds(500);

} // namespace

player::player(trace const& from, batch::scheduler_options options)
    : source(from)
    , sim(from.seed, std::move(options))
{
    this->sim.on_step = [this] { this->watch(); };
}

void player::run()
{
    auto const origin = this->sim.now;
    this->next_measurement = origin;
    for (auto const& next : this->source.events) {
        this->advance(origin + base::milliseconds(next.at_ms));
        std::visit([this](auto const& body) { this->apply(body); }, next.body);
    }
    this->advance(origin + base::milliseconds(this->source.lasts_ms));
}

std::optional<base::duration> player::longest_gap() const
{
    return this->owner_ended ? std::nullopt : this->gap;
}

void player::advance(base::instant to)
{
    while (this->sim.now < to) {
        if (this->next_measurement <= this->sim.now) {
            this->measure_load();
            this->next_measurement += measure_every;
        }
        this->sim.run_for(std::min(to, this->next_measurement) - this->sim.now);
    }
    this->collect_replies();
}

void player::measure_load()
{
    for (auto const& [service, change] : this->loads) {
        for (auto const& on : this->sim.workers) {
            batch::service_pressure measured;
            measured.worker = on.entry.worker;
            measured.service = service;
            measured.latency_ratio =
                1 + change.load * change.load * on.harm(this->source.harm);
            measured.slots = on.entry.slots;
            measured.slots_in_use =
                static_cast<std::int32_t>(change.load * on.entry.slots);
            measured.age_ms = change.lag_ms;
            this->apply(measured);
        }
    }
}

void player::collect_replies()
{
    auto const& replies = this->sim.replies;
    for (; this->replies_seen < replies.size(); ++this->replies_seen) {
        auto const& reply = replies[this->replies_seen];
        auto& task =
            this->task_by_name.at(this->name_by_request.at(reply.request));
        task.reply = reply.status;
        if (!reply.task.empty()) {
            task.id = reply.task;
        }
    }
}

void player::watch()
{
    if (!this->sim.is_owned()) {
        return;
    }
    if (this->starts_at_takeover &&
        this->sim.judge.starts > *this->starts_at_takeover) {
        auto const length = this->sim.now - *this->owner_ended;
        this->gap = std::max(this->gap.value_or(length), length);
        this->owner_ended.reset();
        this->starts_at_takeover.reset();
    }
    if (!this->overcommitted.empty()) {
        return;
    }
    for (auto const& on : batch::list_workers(this->sim.state())) {
        if (!on.committed.fits_in(on.capacity)) {
            this->overcommitted = on.worker.str();
        }
    }
}

batch::fake_worker* player::find(base::worker_id const& worker)
{
    auto const found = std::find_if(
        this->sim.workers.begin(), this->sim.workers.end(),
        [&](auto const& one) { return one.entry.worker == worker; });
    return found == this->sim.workers.end() ? nullptr : &*found;
}

void player::apply(workers_change const& change)
{
    for (auto const& entry : change.workers) {
        if (auto* known = this->find(entry.worker)) {
            known->entry = entry;
        } else {
            this->sim.workers.emplace_back(entry, this->sim.judge)
                .advance(this->sim.now);
        }
    }
    this->sim.list_workers();
}

void player::apply(submission const& wanted)
{
    submitted_task first;
    first.spec = wanted.spec;
    first.submitted = this->sim.now;
    this->task_by_name.try_emplace(wanted.spec.key, first);
    this->name_by_request[this->sim.submit(wanted.spec)] = wanted.spec.key;
}

void player::apply(cancellation const& wanted)
{
    auto const found = this->task_by_name.find(wanted.task);
    if (found != this->task_by_name.end() && !found->second.id.empty()) {
        this->sim.cancel(found->second.id);
    }
}

void player::apply(worker_change const& change)
{
    auto& on = *this->find(change.worker);
    if (change.is_up && on.is_up && !*change.is_up) {
        on.restart();
    }
    on.is_up = change.is_up.value_or(on.is_up);
    on.is_reachable = change.is_reachable.value_or(on.is_reachable);
    on.fails_everything = change.fails_everything.value_or(on.fails_everything);
    on.usage_share = change.usage_share.value_or(on.usage_share);
    if (change.checkpoint_ms) {
        on.checkpoint_time = base::milliseconds(*change.checkpoint_ms);
    }
}

void player::apply(link_change const& change)
{
    auto& cell = this->sim;
    cell.lost_requests = change.lost_requests.value_or(cell.lost_requests);
    cell.lost_answers = change.lost_answers.value_or(cell.lost_answers);
    cell.max_delay_ms = change.max_delay_ms.value_or(cell.max_delay_ms);
    cell.report_lag_ms = change.report_lag_ms.value_or(cell.report_lag_ms);
}

void player::apply(store_change const& change)
{
    auto& cell = this->sim;
    cell.is_store_down = change.is_down.value_or(cell.is_store_down);
    cell.commit_ms = change.commit_ms.value_or(cell.commit_ms);
    if (change.loses_answers) {
        cell.commit_answer_ms = *change.loses_answers ? lost_answer_ms : 1;
    }
}

// An owner that a worker or the table already refused is gone, and a pause or
// an end of it changes nothing.
void player::apply(owner_step step)
{
    if (step == owner_step::take_over) {
        this->sim.take_over();
        if (this->owner_ended) {
            this->starts_at_takeover = this->sim.judge.starts;
        }
        return;
    }
    if (step == owner_step::wake) {
        if (this->is_paused) {
            this->sim.wake_paused();
        }
        this->is_paused = false;
        return;
    }
    if (!this->sim.is_owned()) {
        return;
    }
    if (step == owner_step::kill) {
        this->sim.kill_owner();
    } else {
        this->sim.pause_owner();
        this->is_paused = true;
    }
    this->owner_ended = this->sim.now;
    this->starts_at_takeover.reset();
}

void player::apply(load_change const& change)
{
    this->loads[change.service] = change;
}

void player::apply(batch::service_pressure const& measured)
{
    this->sim.send_later(measured.age_ms, measured);
}

void player::apply(batch::worker_ordered const& order)
{
    this->sim.send(order);
}

} // namespace foxtaillift::replay
