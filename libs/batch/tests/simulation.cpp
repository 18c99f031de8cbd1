#include "simulation.hpp"

#include "cell_state.hpp"

#include "foxtaillift/batch/records.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

base::cell_id const cell{"c1"};

} // namespace

formats::transact_result fake_table::transact(commit const& wanted)
{
    formats::transact_result result;
    for (auto const& condition : wanted.conditions) {
        auto const& row = this->rows[condition.key];
        auto const version = row.value ? row.version : 0;
        if (version != condition.version) {
            result.rows.push_back({condition.key, version});
        }
    }
    if (!result.rows.empty()) {
        result.status = formats::transact_status::conflict;
        return result;
    }
    for (auto const& write : wanted.writes) {
        auto& row = this->rows[write.key];
        ++row.version;
        row.value = write.value;
    }
    ++this->commits;
    result.status = formats::transact_status::committed;
    return result;
}

std::vector<formats::row> fake_table::scan(std::string const& prefix) const
{
    std::vector<formats::row> found;
    for (auto next = this->rows.lower_bound(prefix);
         next != this->rows.end() && next->first.starts_with(prefix); ++next) {
        if (next->second.value) {
            found.push_back(
                {next->first, next->second.version, *next->second.value});
        }
    }
    return found;
}

simulation::simulation(std::uint32_t seed, scheduler_options chosen)
    : random(seed * 2654435761U + 17)
    , options(std::move(chosen))
{
    this->options.random_seed = seed + 1;
}

void simulation::add_workers(int count, formats::resources capacity)
{
    for (int i = 0; i < count; ++i) {
        auto const number = std::to_string(this->workers.size());
        formats::worker_entry entry;
        entry.worker = base::worker_id{"w" + number};
        entry.rack =
            base::rack_id{"r" + std::to_string(this->workers.size() / 8)};
        entry.failure_domain = base::failure_domain_id{"f1"};
        entry.capacity = capacity;
        entry.services.emplace_back("web");
        this->workers.emplace_back(entry, this->judge).advance(this->now);
    }
}

task_spec simulation::make_task(std::int64_t ms, std::int64_t processors)
{
    task_spec spec;
    spec.team = base::team_id{"team"};
    spec.key = "k" + std::to_string(++this->next_key);
    spec.task_class = "encode";
    spec.size = {processors, 1000, 0};
    spec.run_ms = ms;
    spec.payload = std::to_string(ms);
    return spec;
}

std::uint64_t simulation::submit(task_spec spec)
{
    auto const request = ++this->next_request;
    this->send(task_submitted{request, std::move(spec)});
    return request;
}

void simulation::cancel(base::task_id const& task)
{
    this->send(cancel_requested{++this->next_request, task});
}

void simulation::send(event const& input)
{
    // An action can clear `active` while the input is handled.
    if (auto const current = this->active) {
        this->give(current, input);
    }
}

void simulation::send_later(std::int64_t ms, event input)
{
    this->later(ms, [this, held = std::move(input)] { this->send(held); });
}

void simulation::list_workers()
{
    workers_listed list;
    for (auto const& one : this->workers) {
        list.workers.push_back(one.entry);
    }
    this->send(list);
}

void simulation::take_over()
{
    auto next = std::make_shared<owner>();
    next->scheduler = cell_scheduler{this->options};
    next->epoch = ++this->epoch;
    this->active = next;
    this->give(next, cell_taken{cell, next->epoch});
    this->list_workers();
    log_replayed replay;
    auto const head = this->table.scan(head_key(cell));
    if (!head.empty()) {
        replay.head = head.front().value;
        for (auto const& name : decode_head(replay.head).objects) {
            replay.objects.push_back(this->objects.at(name));
        }
    }
    replay.log = this->table.scan(log_prefix(cell));
    replay.inbox = this->table.scan(inbox_prefix(cell));
    this->give(next, replay);
}

void simulation::kill_owner()
{
    if (this->active) {
        this->active->is_paused = true; // hears nothing any more
        this->active = nullptr;
    }
}

void simulation::pause_owner()
{
    this->paused = this->active;
    this->paused->is_paused = true;
    this->active = nullptr;
}

void simulation::wake_paused()
{
    auto const back = std::exchange(this->paused, nullptr);
    back->is_paused = false;
    this->give(back, tick{});
    for (auto& input : std::exchange(back->missed, {})) {
        this->give(back, std::move(input));
    }
    this->give(back, tick{});
}

void simulation::later(std::int64_t ms, std::function<void()> what)
{
    this->messages.push(
        {this->now + base::milliseconds(ms), ++this->order, std::move(what)});
}

void simulation::give(std::shared_ptr<owner> const& to, event input)
{
    if (to->is_paused) {
        to->missed.push_back(std::move(input));
        return;
    }
    std::vector<action> actions;
    to->scheduler.handle(input, this->now, actions);
    if (this->on_step) {
        this->on_step();
    }
    for (auto const& wanted : actions) {
        this->perform(to, wanted);
        bool const is_dead = this->die_after != 0 && to == this->active &&
                             this->effects >= this->die_after;
        if (is_dead) {
            this->die_after = 0;
            this->active = nullptr;
            to->is_paused = true; // hears nothing any more
            return;
        }
    }
}

void simulation::perform(std::shared_ptr<owner> const& by, action const& wanted)
{
    if (!std::holds_alternative<log_line>(wanted)) {
        ++this->effects;
    }
    std::visit([&](auto const& typed) { this->effect(by, typed); }, wanted);
}

fake_worker* simulation::find(base::worker_id const& id)
{
    for (auto& one : this->workers) {
        if (one.entry.worker == id) {
            return &one;
        }
    }
    return nullptr;
}

void simulation::exchange(
    std::shared_ptr<owner> const& by,
    base::worker_id const& worker,
    std::function<event(fake_worker*)> const& call)
{
    ++this->requests;
    bool const is_chosen = this->requests == this->lose_request_number;
    bool const is_request_lost =
        (is_chosen && !this->lost_took_effect) ||
        base::uniform_unit(this->random) < this->lost_requests;
    bool const is_answer_lost =
        (is_chosen && this->lost_took_effect) ||
        base::uniform_unit(this->random) < this->lost_answers;
    auto const delay = [&] {
        return 1 + base::uniform_below(
                       this->random,
                       static_cast<std::uint32_t>(this->max_delay_ms));
    };
    auto const there = delay();
    auto const back = delay();
    this->later(there, [=, this] {
        auto* target = this->find(worker);
        bool const is_there = target != nullptr && target->is_up &&
                              target->is_reachable && !is_request_lost;
        event answer = call(nullptr);
        if (is_there) {
            target->advance(this->now);
            event const got = call(target);
            answer = is_answer_lost ? answer : got;
        }
        bool const is_heard = is_there && !is_answer_lost;
        this->later(
            is_heard ? back : 1000, [=, this] { this->give(by, answer); });
    });
}

void simulation::effect(
    std::shared_ptr<owner> const& by, adopt_worker const& wanted)
{
    this->exchange(by, wanted.worker, [=](fake_worker* on) -> event {
        worker_adopted answer{wanted.request, wanted.worker, {}, {}};
        answer.status = on == nullptr
                            ? formats::agent_status::unknown
                            : on->adopt(wanted.message, answer.answer);
        return answer;
    });
}

void simulation::effect(
    std::shared_ptr<owner> const& by, start_run const& wanted)
{
    this->exchange(by, wanted.worker, [=, this](fake_worker* on) -> event {
        start_answered answer{
            wanted.request,
            wanted.worker,
            wanted.message.task,
            wanted.message.attempt,
            formats::agent_status::unknown,
            {}};
        if (on != nullptr) {
            formats::run_entry run;
            answer.status = on->start(wanted.message, run);
            if (answer.status == formats::agent_status::done) {
                answer.run = run;
                this->first_start.try_emplace(
                    wanted.message.task.str(), this->now);
            }
        }
        return answer;
    });
}

void simulation::effect(
    std::shared_ptr<owner> const& by, runs_command const& wanted)
{
    this->exchange(by, wanted.worker, [=](fake_worker* on) -> event {
        runs_answered answer{
            wanted.request, wanted.worker, formats::agent_status::unknown, {}};
        if (on != nullptr) {
            formats::runs_answer runs;
            answer.status =
                on->runs(to_string(wanted.verb), wanted.message, runs);
            answer.runs = std::move(runs.runs);
        }
        return answer;
    });
}

void simulation::effect(std::shared_ptr<owner> const& by, commit const& wanted)
{
    this->later(this->commit_ms, [=, this] {
        commit_finished answer;
        answer.commit = wanted.id;
        if (this->is_store_down) {
            answer.status = formats::transact_status::rejected;
        } else if (by->epoch != this->epoch) {
            answer.status = formats::transact_status::conflict;
            answer.rows.push_back({"owner/c1", this->epoch});
        } else {
            auto const result = this->table.transact(wanted);
            answer.status = result.status;
            answer.rows = result.rows;
        }
        this->later(
            this->commit_answer_ms, [=, this] { this->give(by, answer); });
    });
}

void simulation::effect(
    std::shared_ptr<owner> const& by, read_rows const& wanted)
{
    this->later(5, [=, this] {
        rows_read answer{wanted.request, {}};
        answer.result.is_answered = !this->is_store_down;
        for (auto const& key : wanted.keys) {
            auto const& row = this->table.rows[key];
            answer.result.rows.push_back(
                {key, row.value ? row.version : 0, row.value.value_or("")});
        }
        this->give(by, answer);
    });
}

void simulation::effect(
    std::shared_ptr<owner> const& by, write_object const& wanted)
{
    this->later(10, [=, this] {
        if (!this->is_store_down) {
            this->objects[wanted.name] = wanted.content;
        }
        this->give(by, object_written{wanted.name, !this->is_store_down});
    });
}

void simulation::effect(
    std::shared_ptr<owner> const&, delete_object const& wanted)
{
    this->later(10, [=, this] { this->objects.erase(wanted.name); });
}

void simulation::effect(
    std::shared_ptr<owner> const&, submission_reply const& got)
{
    this->replies.push_back(got);
    if (got.status == reply_status::accepted) {
        this->accepted_tasks.push_back(got.task);
    }
}

void simulation::effect(std::shared_ptr<owner> const&, cancel_reply const& got)
{
    this->cancel_replies.push_back(got);
    if (got.status == reply_status::accepted) {
        this->cancelled_tasks.push_back(got.task);
    }
}

void simulation::effect(std::shared_ptr<owner> const&, move_reply const& got)
{
    this->move_replies.push_back(got);
}

void simulation::effect(std::shared_ptr<owner> const&, log_line const& got)
{
    if (this->lines.size() < 20'000) {
        this->lines.push_back(
            std::to_string(this->now.ms) + " " + got.line.str());
    }
}

void simulation::effect(std::shared_ptr<owner> const& by, cell_lost const&)
{
    ++this->cells_lost;
    if (this->active == by) {
        this->active = nullptr;
    }
}

void simulation::step()
{
    this->now += base::milliseconds(1);
    while (!this->messages.empty() && this->messages.top().at <= this->now) {
        auto const next = this->messages.top();
        this->messages.pop();
        next.deliver();
    }
    if (this->now.ms % 100 != 0) {
        return;
    }
    for (auto& one : this->workers) {
        one.advance(this->now);
        bool const is_heard =
            one.is_up && one.is_reachable && this->now.ms % 1000 == 0;
        if (is_heard && this->active) {
            // A report is measured now and arrives later.
            auto report = one.report();
            report.age_ms = this->report_lag_ms;
            this->send_later(this->report_lag_ms, usage_reported{report});
        }
    }
    this->send(tick{});
}

void simulation::run_for(base::duration span)
{
    auto const end = this->now + span;
    while (this->now < end) {
        this->step();
    }
}

bool simulation::run_until_idle(base::duration limit)
{
    auto const end = this->now + limit;
    while (this->now < end) {
        this->run_for(base::milliseconds(200));
        if (!this->active) {
            continue;
        }
        auto const& own = this->state().owned;
        bool const is_idle = own.phase == cell_phase::active &&
                             own.task_by_id.empty() && own.pending.empty() &&
                             own.committing.empty() && own.runs.empty();
        if (is_idle) {
            return true;
        }
    }
    return false;
}

std::string simulation::describe() const
{
    auto const& own = this->state().owned;
    std::string text(to_string(own.phase));
    text += ", pending " + std::to_string(own.pending.size()) + ", in commit " +
            std::to_string(own.committing.size());
    for (auto const& on : batch::list_workers(this->state())) {
        text += "\n" + on.worker.str() + " " + on.reason + " runs " +
                std::to_string(on.runs) + " pressure " +
                std::to_string(on.pressure) + " free " +
                std::to_string(on.free.processors);
    }
    for (auto const& [id, index] : own.task_by_id) {
        text += "\n" + id.str() + " " + explain(this->state(), id, this->now);
    }
    for (auto const& [serial, value] : own.runs) {
        text += "\nrun of " + value.task_name.str() + " on " +
                own.workers[value.worker].id.str() + " phase " +
                std::to_string(static_cast<int>(value.phase));
    }
    return text;
}

std::string simulation::find_loss() const
{
    for (auto const& id : this->accepted_tasks) {
        auto const view = find_task(this->state(), id, this->now);
        if (!view) {
            return id.str() + " is unknown";
        }
        if (!is_terminal(view->state)) {
            return id.str() + " is " + std::string(to_string(view->state)) +
                   ": " + explain(this->state(), id, this->now);
        }
    }
    for (auto const& id : this->cancelled_tasks) {
        auto const view = find_task(this->state(), id, this->now);
        if (!view || view->state != task_state::cancelled) {
            return id.str() + " was cancelled and is not";
        }
    }
    std::set<base::task_id> const distinct(
        this->accepted_tasks.begin(), this->accepted_tasks.end());
    if (distinct.size() != this->accepted_tasks.size()) {
        return "a task was accepted twice";
    }
    return {};
}

} // namespace foxtaillift::batch
