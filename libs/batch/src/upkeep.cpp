// Timers: adoption, renewal of task leases, retries, expiry.
#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

constexpr base::duration poll_every = base::milliseconds(200);
// Usage reports lag; a renewal shows at once which runs are over.
constexpr base::duration poll_ends_every = base::milliseconds(400);
// Runs that are started, checkpointed or stopped are looked at each time;
// those that only run are looked at less often.
constexpr base::duration check_running_every = base::milliseconds(500);
constexpr std::size_t acknowledged_at_once = 256;
// With two answers missing in a row the worker gets no further renewal, so
// that the leases of its runs are certain to run out.
constexpr std::uint32_t missed_answers = 2;

} // namespace

void cell_state::run_timers()
{
    auto& own = this->owned;
    for (worker_index index = 0; index < own.workers.size(); ++index) {
        if (own.workers[index].is_used) {
            this->keep_worker(index);
        }
    }
    if (own.are_limits_changed) {
        this->evaluate_impossible();
    }
    own.is_pass_needed |= std::exchange(own.has_delayed, false);
    if (own.phase == cell_phase::active) {
        this->age_tasks();
        this->serve_reservations();
        this->make_room_for_urgent();
    }
    this->forget_old();
}

void cell_state::keep_worker(worker_index index)
{
    auto& own = this->owned;
    auto& on = own.workers[index];
    this->update_open(index);
    bool const is_adopt_due = on.link != worker_link::adopted &&
                              this->now >= on.next_adopt &&
                              on.adopt_request == 0;
    if (is_adopt_due && (on.is_listed || on.is_joined || !on.runs.empty())) {
        this->send_adopt(index);
    }
    if (on.is_listed && on.link == worker_link::adopted && !on.is_joined &&
        !on.is_join_pending && !on.is_leave_pending) {
        on.is_join_pending = true;
        pending_record joined;
        joined.value = worker_joined_record{on.id};
        joined.after = follow_up::joined;
        this->add_record(std::move(joined));
    }
    if (on.link == worker_link::adopted) {
        if (this->now >= on.next_renew && on.renew_request == 0) {
            this->renew_runs(index);
        }
        this->acknowledge_runs(index);
        this->respond(index);
    }
    if (this->now >= on.next_check) {
        this->expire_runs(index);
    }
    bool const is_gone = !on.is_listed && on.runs.empty() &&
                         (own.phase == cell_phase::active || on.is_audited);
    if (is_gone) {
        this->retire_worker(index);
    }
}

void cell_state::expire_runs(worker_index index)
{
    auto const serials = this->owned.workers[index].runs;
    std::uint32_t stragglers = 0;
    bool is_busy = false;
    for (auto const serial : serials) {
        auto* value = this->find_run(serial);
        if (value == nullptr) {
            continue;
        }
        bool const is_worker_silent =
            this->owned.workers[index].link != worker_link::adopted;
        if (value->phase == run_phase::ended) {
            // Nobody is left to acknowledge to.
            if (value->may_be_acknowledged && is_worker_silent &&
                !this->owned.workers[index].is_listed) {
                this->drop_run(serial);
            }
            continue;
        }
        bool const is_over = this->now - value->lease_sent > this->lease_span();
        if (is_over) {
            formats::run_entry gone;
            gone.task = value->task_name;
            gone.attempt = value->attempt;
            gone.state = formats::run_state::stopped;
            gone.message = "the worker is unreachable and the lease ran out";
            this->end_run(*value, gone, true);
            continue;
        }
        this->keep_run(*value);
        is_busy = is_busy || value->phase != run_phase::running;
        if (value->phase == run_phase::running && value->is_long) {
            auto const usual = this->run_times.quantile(
                value->task_class, 0.95, base::seconds(3600));
            stragglers += this->now - value->started > usual * 2 ? 1 : 0;
        }
    }
    auto& on = this->owned.workers[index];
    on.stragglers = stragglers;
    on.next_check =
        this->now + (is_busy ? base::milliseconds(100) : check_running_every);
}

void cell_state::keep_run(run& value)
{
    auto const& on = this->owned.workers[value.worker];
    if (on.link != worker_link::adopted) {
        return;
    }
    bool const is_to_drain =
        on.is_draining ||
        (on.is_listed && on.entry.state == formats::worker_state::leaving);
    if (value.phase == run_phase::running && is_to_drain &&
        value.task != no_index) {
        this->evict(value, end_reason::drain, this->options.checkpoint_limit);
        return;
    }
    if (value.phase == run_phase::running || this->now < value.next_step) {
        return;
    }
    if (value.phase == run_phase::starting) {
        this->send_start(value);
    } else if (value.phase == run_phase::stopping || this->now >= value.limit) {
        this->send_stop(value, value.reason);
    } else {
        // The worker may not have got the request, or is done by now.
        value.next_step = std::min(this->now + poll_every, value.limit);
        if (value.checkpoint.empty()) {
            this->owned.workers[value.worker].next_renew = this->now;
        } else {
            this->send_runs(
                runs_verb::checkpoint, value.worker, {value.serial});
        }
    }
}

/// After this time the worker should be asked whether the run is over.
base::duration cell_state::expected_end(run const& value) const
{
    auto const declared =
        value.task == no_index
            ? base::duration{}
            : base::milliseconds(
                  this->owned.tasks[value.task].durable->spec.run_ms);
    auto const usual =
        this->run_times.quantile(value.task_class, 0.5, declared);
    auto const elapsed = this->now - value.started;
    // Beyond its usual time, a run is seen to end within a tenth of its length.
    return elapsed < usual ? usual - elapsed + poll_ends_every / 4
                           : elapsed / 10;
}

void cell_state::renew_runs(worker_index index)
{
    auto& on = this->owned.workers[index];
    auto next = this->options.renew_every;
    std::vector<run_serial> serials;
    for (auto const serial : on.runs) {
        auto& value = this->owned.runs.at(serial);
        bool const is_confirmed = value.confirmed_at != 0 &&
                                  value.phase != run_phase::ended &&
                                  value.phase != run_phase::stopping;
        if (is_confirmed) {
            value.lease_sent = this->now;
            serials.push_back(serial);
            next = std::min(next, this->expected_end(value));
        }
    }
    on.next_renew = this->now + std::max(next, poll_ends_every);
    if (!serials.empty()) {
        this->send_runs(runs_verb::renew, index, serials);
        on.renew_request = this->last_request;
    }
}

void cell_state::acknowledge_runs(worker_index index)
{
    auto& on = this->owned.workers[index];
    if (on.acknowledge_request != 0 || this->now < on.next_acknowledge ||
        on.link != worker_link::adopted) {
        return;
    }
    std::vector<run_serial> serials;
    for (auto const serial : on.runs) {
        auto const& value = this->owned.runs.at(serial);
        if (value.may_be_acknowledged && value.phase == run_phase::ended) {
            serials.push_back(serial);
        }
        if (serials.size() == acknowledged_at_once) {
            break;
        }
    }
    if (!serials.empty()) {
        this->send_runs(runs_verb::acknowledge, index, serials);
        on.acknowledge_request = this->last_request;
    }
}

void cell_state::miss_answer(worker_index index)
{
    auto& on = this->owned.workers[index];
    if (++on.unanswered >= missed_answers && on.link == worker_link::adopted) {
        on.link = worker_link::unreachable;
        on.next_adopt = this->now;
        this->log(base::event_line{"worker_unreachable"}.add("worker", on.id));
        this->update_open(index);
    }
}

void cell_state::request_due(sent_command const& command)
{
    auto& on = this->owned.workers[command.worker];
    auto const verb = static_cast<runs_verb>(command.verb);
    if (verb == runs_verb::renew) {
        on.renew_request = 0;
    } else if (verb == runs_verb::acknowledge) {
        on.acknowledge_request = 0;
        on.next_acknowledge = this->now + this->options.start_retry;
    }
}

void cell_state::on(runs_answered const& input)
{
    auto& own = this->owned;
    auto const found = own.sent.find(input.request);
    if (found == own.sent.end()) {
        ++this->counters.stale_answers;
        return;
    }
    auto const command = std::move(found->second);
    own.sent.erase(found);
    auto const verb = static_cast<runs_verb>(command.verb);
    if (own.workers[command.worker].id != input.worker) {
        ++this->counters.stale_answers;
        return; // the slot belongs to another worker now
    }
    this->request_due(command);
    if (input.status == formats::agent_status::stale_epoch) {
        this->lose_cell("worker " + input.worker.str() + " has a newer epoch");
        return;
    }
    if (input.status != formats::agent_status::done) {
        if (input.status == formats::agent_status::unknown) {
            this->miss_answer(command.worker);
        }
        return;
    }
    auto& on = own.workers[command.worker];
    on.unanswered = 0;
    if (verb == runs_verb::acknowledge) {
        on.next_acknowledge = this->now;
        for (auto const serial : command.runs) {
            if (this->find_run(serial) != nullptr) {
                this->drop_run(serial);
            }
        }
        this->acknowledge_runs(command.worker);
        return;
    }
    std::size_t answered = 0;
    for (auto const& entry : input.runs) {
        this->apply_entry(command.worker, entry);
        ++answered;
    }
    for (auto const serial : command.runs) {
        auto* value = this->find_run(serial);
        if (value != nullptr && verb == runs_verb::throttle) {
            value->throttle = value->wanted_throttle;
        }
    }
    if (verb == runs_verb::throttle) {
        this->note_loads(command.worker);
    }
    // A run that the worker left out is unknown to it; the audit decides.
    if (answered < command.runs.size() && on.adopt_request == 0) {
        this->send_adopt(command.worker);
    }
}

void cell_state::on(usage_reported const& input)
{
    auto& own = this->owned;
    auto const found = own.worker_by_id.find(input.report.worker);
    if (found == own.worker_by_id.end()) {
        return;
    }
    auto& on = own.workers[found->second];
    if (input.report.sequence <= on.report_sequence) {
        ++this->counters.stale_answers;
        return;
    }
    on.report_sequence = input.report.sequence;
    double used = 0;
    bool is_renewal_due = false;
    for (auto const& one : input.report.runs) {
        auto const* value =
            this->find_run(found->second, one.task, one.attempt);
        if (value == nullptr || value->phase == run_phase::ended) {
            continue;
        }
        used += static_cast<double>(one.used.processors) / 1000;
        bool const is_over = one.state != formats::run_state::running &&
                             one.state != formats::run_state::checkpointing;
        if (is_over && on.link == worker_link::adopted) {
            // A report has no checkpoint name; a renewal answers with it and
            // renews nothing, because the run is over.
            is_renewal_due = true;
        }
        auto const declared =
            static_cast<double>(value->size.processors) * value->throttle;
        if (declared > 0 && one.used.processors > 0) {
            if (value->task_class >= this->usage.size()) {
                this->usage.resize(value->task_class + std::size_t{1}, 1.0);
            }
            auto& share = this->usage[value->task_class];
            auto const seen =
                static_cast<double>(one.used.processors) / declared;
            share += 0.05 * (std::clamp(seen, 0.0, 4.0) - share);
        }
    }
    on.used_cores = used;
    if (is_renewal_due && on.renew_request == 0) {
        this->renew_runs(found->second);
    }
}

} // namespace foxtaillift::batch
