#include "placement.hpp"
#include "scheduler_core.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace foxtaillift::jobs
{

namespace
{

/// A copy starts once a run has taken this many times its estimate.
constexpr std::int64_t straggler_factor = 2;
constexpr base::duration straggler_least = base::milliseconds(600);

/// Tasks started in one run of the decisions, so that a leader answers its
/// peers and beats while hundreds wait.
constexpr std::size_t starts_in_run = 100;

/// Lines on waiting tasks: one for each job in a while, and not more than this
/// many in all, since thousands may wait in an overload.
constexpr base::duration wait_gap = base::milliseconds(2000);
constexpr base::duration wait_lines_period = base::milliseconds(1000);
constexpr std::size_t wait_lines_limit = 20;

/// A filling task for which all workers are too slow is tried again after this:
/// it works for seconds, and a search compares all workers of the fleet.
constexpr base::duration filling_retry = base::milliseconds(100);

/// Of a scheduled job, the occurrences in one look, and those that it leaves
/// waiting. Thousands may be due at once.
constexpr std::uint32_t occurrences_in_look = 128;
constexpr std::uint32_t waiting_in_look = 32;

/// Occurrences of the job whose time has come.
std::uint32_t due_occurrences(job_spec const& job, std::int64_t wall_ms)
{
    if (job.repeats == 0) {
        return 1;
    }
    if (wall_ms < job.first_due_ms) {
        return 0;
    }
    if (job.repeat_interval_ms == 0) {
        return job.repeats;
    }
    auto const passed = (wall_ms - job.first_due_ms) / job.repeat_interval_ms;
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(job.repeats, passed + 1));
}

} // namespace

std::map<std::size_t, std::size_t>
runs_by_worker(job_entry const& job, std::size_t first, std::size_t count)
{
    std::map<std::size_t, std::size_t> result;
    auto const add = [&](task_entry const& task) {
        for (auto const& run : task.runs) {
            ++result[run.worker];
        }
    };
    if (job.spec.occurrences() == 1) {
        for (std::size_t i = first; i < first + count; ++i) {
            add(job.tasks[i]);
        }
        return result;
    }
    auto const& begun = job.tasks.entries();
    for (auto each = begun.lower_bound(first);
         each != begun.end() && each->first < first + count; ++each) {
        add(each->second);
    }
    return result;
}

void scheduler::implementation::place(
    std::vector<worker_order>& orders, base::instant now, std::int64_t wall_ms)
{
    this->placed_at = now;
    this->wall_ahead_ms = wall_ms - now.ms;
    // Lasting tasks that have waited for long go first, whatever the order.
    this->arrange_jobs(now);
    auto const& candidates = this->dispatch_from.jobs;
    std::vector<job_entry*> starving;
    for (auto* const job : candidates) {
        if (has_starving_task(*job, now)) {
            starving.push_back(job);
        }
    }
    std::erase_if(this->unplaced, [&](unplaceable const& failed) {
        return failed.until <= now;
    });
    this->starts_left = starts_in_run;
    this->release_kept_room();
    std::sort(starving.begin(), starving.end(), [](auto* a, auto* b) {
        return std::tie(a->seen_at, a->spec.id) <
               std::tie(b->seen_at, b->spec.id);
    });
    this->is_placing_starving = true;
    for (auto* const job : starving) {
        this->place_job(*job, orders, now, wall_ms);
    }
    this->is_placing_starving = false;
    // Room that is kept for one starving task may go to another.
    for (auto* const job : starving) {
        this->keep_room(*job, now);
    }
    for (auto const& entry : this->dispatch.entries()) {
        auto& job = *candidates[entry.candidate];
        if (job.idle > 0) {
            this->place_job(job, orders, now, wall_ms);
        }
        this->race_stragglers(job, orders, now);
    }
}

bool scheduler::implementation::is_placeable(unplaceable const& wanted) const
{
    return std::none_of(
        this->unplaced.begin(), this->unplaced.end(),
        [&](unplaceable const& failed) {
            return failed.service == wanted.service &&
                   failed.image == wanted.image &&
                   failed.is_filling == wanted.is_filling &&
                   failed.is_serving == wanted.is_serving &&
                   failed.least_speed <= wanted.least_speed &&
                   failed.need.fits_in(wanted.need);
        });
}

void scheduler::implementation::place_job(
    job_entry& job,
    std::vector<worker_order>& orders,
    base::instant now,
    std::int64_t wall_ms)
{
    auto const end = due_occurrences(job.spec, wall_ms);
    while (job.first_open < end && job.is_over(job.first_open)) {
        ++job.first_open;
    }
    auto const next =
        this->place_occurrences(job, job.first_open, end, orders, now);
    if (next < end && !this->is_placing_starving) {
        // Later ones may wait for other workers than the oldest.
        bool const goes_on =
            next < job.next_occurrence && job.next_occurrence < end;
        job.next_occurrence = this->place_occurrences(
            job, goes_on ? job.next_occurrence : next, end, orders, now);
    }
}

std::uint32_t scheduler::implementation::place_occurrences(
    job_entry& job,
    std::uint32_t from,
    std::uint32_t end,
    std::vector<worker_order>& orders,
    base::instant now)
{
    end = std::min(end, from + occurrences_in_look);
    std::uint32_t waiting = 0;
    for (; from < end && waiting < waiting_in_look; ++from) {
        waiting += this->place_occurrence(job, from, orders, now) ? 1 : 0;
        if (this->starts_left == 0) {
            break;
        }
    }
    return from;
}

bool scheduler::implementation::place_occurrence(
    job_entry& job,
    std::uint32_t occurrence,
    std::vector<worker_order>& orders,
    base::instant now)
{
    auto const step_count = static_cast<std::uint32_t>(job.spec.steps.size());
    bool waits = false;
    for (std::uint32_t step = 0; step < step_count; ++step) {
        auto const slot = std::size_t{occurrence} * step_count + step;
        if (job.steps.idle(slot) == 0 || !job.is_ready(occurrence, step)) {
            continue;
        }
        if (job.spec.steps[step].is_gang) {
            this->place_gang(job, occurrence, step, orders, now);
        } else {
            this->place_step(job, occurrence, step, orders, now);
        }
        waits |= job.steps.idle(slot) > 0;
    }
    return waits;
}

void scheduler::implementation::place_step(
    job_entry& job,
    std::uint32_t occurrence,
    std::uint32_t step_number,
    std::vector<worker_order>& orders,
    base::instant now)
{
    auto const& wanted = job.spec.steps[step_number];
    auto const first = job.first_task(occurrence, step_number);
    auto const slot = occurrence * job.spec.steps.size() + step_number;
    if (this->ready_since(job, slot) == base::instant{}) {
        job.steps.edit(slot).ready_at = now;
    }
    auto const ready_at = this->ready_since(job, slot);
    auto own = runs_by_worker(job, first, wanted.count);
    std::string own_rack;
    if (wanted.is_rack_bound && !own.empty()) {
        own_rack = this->workers[own.begin()->first].info.rack;
    }
    auto const image = this->interference.number_of(wanted.image);
    ranked_workers ranked;
    bool is_ranked = false; // by the current search
    task_search search{
        .wanted = &wanted,
        .image = image,
        .own_runs = own,
        .own_rack = own_rack,
        .advice = this->advice_on(job, job.name_of(first))};
    for (std::size_t i = first; i < first + wanted.count; ++i) {
        auto const& task = job.tasks[i];
        if (job.tasks.is_done(i) || !task.runs.empty() ||
            now < task.not_before ||
            (this->is_placing_starving && !is_starving(job, i, now))) {
            continue;
        }
        if (this->starts_left == 0) {
            return; // the next run goes on
        }
        unplaceable const kind{
            .service = this->queue_of(job)->service,
            .image = image,
            .is_filling = wanted.is_filling,
            .is_serving = wanted.is_lasting,
            .least_speed = least_speed_after(now - ready_at),
            .need = wanted.need,
            .until = wanted.is_filling ? now + filling_retry : now};
        if (!this->is_placeable(kind)) {
            return;
        }
        search.avoided = task.avoided_worker;
        if (std::exchange(search.least_speed, kind.least_speed) !=
            kind.least_speed) {
            is_ranked = false;
        }
        if (!is_ranked || ranked.entries.empty()) {
            auto const tasks_left = job.steps.idle(slot);
            ranked = this->rank_workers(
                job, search, this->sample_of(wanted, tasks_left));
            is_ranked = true;
        }
        auto const found = this->take_best(ranked, task.avoided_worker);
        if (!found) {
            this->ask_adviser(job, job.name_of(i), orders, now);
            this->log_wait(job, job.name_of(i), ranked.obstacles, now);
            bool const is_particular = !wanted.required_label.empty() ||
                                       wanted.tasks_per_worker > 0 ||
                                       this->queue_of(job)->adviser;
            if (!is_particular) {
                this->unplaced.push_back(kind);
            }
            return; // the other tasks of the step need as much
        }
        ++own[*found];
        if (wanted.is_rack_bound && own_rack.empty()) {
            own_rack = this->workers[*found].info.rack;
            search.own_rack = own_rack;
            is_ranked = false;
        }
        --this->starts_left;
        this->start(job, i, *found, task.attempt + 1, orders, now);
        this->rank_again(ranked, search, *found);
    }
}

void scheduler::implementation::place_gang(
    job_entry& job,
    std::uint32_t occurrence,
    std::uint32_t step_number,
    std::vector<worker_order>& orders,
    base::instant now)
{
    auto const& wanted = job.spec.steps[step_number];
    if (this->is_placing_starving && !wanted.is_lasting) {
        return;
    }
    auto const first = job.first_task(occurrence, step_number);
    auto const slot = job.step_slot(job.name_of(first));
    if (this->ready_since(job, slot) == base::instant{}) {
        job.steps.edit(slot).ready_at = now;
    }
    auto const ready_at = this->ready_since(job, slot);
    std::uint32_t attempt = 0;
    std::string checkpoint;
    for (std::size_t i = first; i < first + wanted.count; ++i) {
        auto const& task = job.tasks[i];
        if (!task.runs.empty() || now < task.not_before) {
            return; // members of an earlier attempt are still present
        }
        attempt = std::max(attempt, task.attempt);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    std::vector<std::pair<std::size_t, std::size_t>> chosen;
    std::map<std::size_t, std::size_t> own;
    std::string own_rack;
    auto const undo = [&] {
        for (auto const& [ordinal, w] : chosen) {
            this->workers[w].release({job.name_of(ordinal), attempt + 1});
            this->update_vacancy(w);
        }
    };
    for (std::size_t i = first; i < first + wanted.count; ++i) {
        auto const found = this->find_worker(
            job, {.wanted = &wanted,
                  .image = this->interference.number_of(wanted.image),
                  .own_runs = own,
                  .own_rack = own_rack,
                  .avoided = job.tasks[i].avoided_worker,
                  .least_speed = least_speed_after(now - ready_at),
                  .advice = this->advice_on(job, job.name_of(i))});
        if (!found.worker) {
            undo();
            this->ask_adviser(job, job.name_of(i), orders, now);
            this->log_wait(job, job.name_of(i), found.obstacles, now);
            return;
        }
        auto const w = *found.worker;
        this->workers[w].occupy(
            {job.name_of(i), attempt + 1}, this->occupancy_of(wanted));
        this->update_vacancy(w);
        ++own[w];
        if (wanted.is_rack_bound && own_rack.empty()) {
            own_rack = this->workers[w].info.rack;
        }
        chosen.emplace_back(i, w);
    }
    undo(); // the starts occupy the room again
    for (auto const& [ordinal, w] : chosen) {
        job.tasks.edit(ordinal).checkpoint = checkpoint;
        this->start(job, ordinal, w, attempt + 1, orders, now);
    }
}

void scheduler::implementation::race_stragglers(
    job_entry& job, std::vector<worker_order>& orders, base::instant now)
{
    if (!job.has_racing_step || job.open_runs == 0) {
        return;
    }
    for (auto const& [ordinal, task] : job.tasks.entries()) {
        if (job.tasks.is_done(ordinal) || task.runs.size() != 1 ||
            now < task.not_before) {
            continue;
        }
        auto const name = job.name_of(ordinal);
        auto const& wanted = job.spec.steps[name.step];
        auto const late =
            std::max(straggler_least, wanted.estimate * straggler_factor);
        if (is_racing(wanted) && now - task.runs.front().started_at >= late) {
            this->race(job, ordinal, orders, now);
        }
    }
}

/// Starts a copy of a task that runs for long, elsewhere.
void scheduler::implementation::race(
    job_entry& job,
    std::size_t ordinal,
    std::vector<worker_order>& orders,
    base::instant now)
{
    auto const name = job.name_of(ordinal);
    auto const& wanted = job.spec.steps[name.step];
    auto const own = runs_by_worker(
        job, job.first_task(name.occurrence, name.step), wanted.count);
    auto const& task = job.tasks[ordinal];
    auto const slow = task.runs.front().worker;
    auto const found = this->find_worker(
        job, {.wanted = &wanted,
              .image = this->interference.number_of(wanted.image),
              .own_runs = own,
              .avoided = slow,
              .least_speed = least_speed_after({}),
              .advice = this->advice_on(job, name)});
    if (found.worker && *found.worker != slow) {
        this->start(job, ordinal, *found.worker, task.attempt + 1, orders, now);
    }
}

void scheduler::implementation::log_wait(
    job_entry& job,
    task_name const& task,
    obstacle_counts const& obstacles,
    base::instant now)
{
    job.last_wait = {task, now, obstacles};
    if (now - this->wait_lines_since >= wait_lines_period) {
        this->wait_lines_since = now;
        this->wait_lines_left = wait_lines_limit;
    }
    if (this->wait_lines_left == 0 || now - job.wait_logged_at < wait_gap) {
        return;
    }
    --this->wait_lines_left;
    job.wait_logged_at = now;
    auto const count = [&](obstacle why) { return obstacles.of(why); };
    base::event_line line{"task_waits"};
    line.add("task", to_string(task))
        .add("waited_ms", now - job.seen_at)
        .add("idle_ms", now - waiting_since(job, *job.ordinal(task)))
        .add("processors", job.spec.steps[task.step].need.processors)
        .add("unusable", count(obstacle::unusable))
        .add("evacuated", count(obstacle::evacuated))
        .add("not_allowed", count(obstacle::not_allowed))
        .add("no_ticket", count(obstacle::no_ticket))
        .add("no_processors", count(obstacle::processors))
        .add("no_memory", count(obstacle::memory))
        .add("no_accelerators", count(obstacle::accelerators))
        .add("too_slow", count(obstacle::speed));
    this->add_room(line, this->queue_of(job)->service, now);
    this->log(line);
}

base::instant scheduler::implementation::waiting_since(
    job_entry const& job, std::size_t ordinal) const
{
    auto const slot = job.step_slot(job.name_of(ordinal));
    return std::max(
        job.tasks[ordinal].last_present, this->ready_since(job, slot));
}

base::instant scheduler::implementation::ready_since(
    job_entry const& job, std::size_t slot) const
{
    auto const ready_at = job.steps[slot].ready_at;
    auto const each = job.spec.steps.size();
    if (ready_at != base::instant{} || job.spec.repeats == 0 ||
        !job.spec.steps[slot % each].depends_on.empty()) {
        return ready_at;
    }
    auto const occurrence = static_cast<std::int64_t>(slot / each);
    base::instant const due{
        job.spec.first_due_ms + occurrence * job.spec.repeat_interval_ms -
        this->wall_ahead_ms};
    return due > this->placed_at ? base::instant{} : std::max(due, job.seen_at);
}

void scheduler::implementation::add_lasting_waits(
    fleet_load& load, job_entry const& job, base::instant now) const
{
    for (auto const i : job.idle_lasting_tasks()) {
        auto const slot = job.step_slot(job.name_of(i));
        if (this->ready_since(job, slot).ms > 0) {
            ++load.lasting_waiting;
            load.longest_lasting_wait = std::max(
                load.longest_lasting_wait, now - this->waiting_since(job, i));
        }
    }
}

void scheduler::implementation::add_room(
    base::event_line& line, std::string_view service, base::instant now) const
{
    std::int64_t largest = 0;
    std::int64_t largest_barred = 0;
    std::size_t barred = 0;
    for (std::size_t i = 0; i < this->workers.size(); ++i) {
        auto const& worker = this->workers[i];
        if (worker.info.service != service || !worker.is_listed) {
            continue;
        }
        auto const room =
            worker.info.capacity.processors - worker.used.processors;
        if (is_usable(worker, now)) {
            largest = std::max(largest, room);
        } else if (worker.trust.is_barred(now)) {
            ++barred;
            largest_barred = std::max(largest_barred, room);
        }
    }
    line.add("largest_room", largest)
        .add("barred", barred)
        .add("largest_barred_room", largest_barred);
}

void scheduler::implementation::set_first_pace(
    worker_entry& worker, run_name const& run)
{
    constexpr double full_speed = 100; // percent
    auto& taken = worker.runs.at(run);
    filling_run filling{
        .image = taken.image,
        .full_share = static_cast<double>(taken.need.processors) /
                      static_cast<double>(std::max<std::int64_t>(
                          1, worker.info.capacity.processors))};
    filling.percent = static_cast<int>(
        full_speed * paces_of(worker, this->interference)
                         .bearable_pace(filling.image, filling.full_share));
    taken.percent = filling.percent;
    worker.add_filling(filling);
}

void scheduler::implementation::start(
    job_entry& job,
    std::size_t ordinal,
    std::size_t index,
    std::uint32_t attempt,
    std::vector<worker_order>& orders,
    base::instant now)
{
    auto& worker = this->workers[index];
    auto const name = job.name_of(ordinal);
    auto const lease_until = worker.clock.likely(now) + this->options.lease.ms;
    worker.leased_until_ms = std::max(worker.leased_until_ms, lease_until);
    worker.granted_at = now;
    auto const& wanted = job.spec.steps[name.step];
    this->open_run(
        job, ordinal, {.worker = index, .attempt = attempt, .settled_at = now},
        now);
    worker.trust.on_start({name, attempt});
    this->update_vacancy(index);
    if (wanted.is_filling) {
        this->set_first_pace(worker, {name, attempt});
    }
    auto const& task = job.tasks[ordinal];
    base::event_line line{"run_start"};
    line.add("task", to_string(name))
        .add("attempt", attempt)
        .add("worker", worker.info.id)
        .add("image", wanted.image)
        .add("processors", wanted.need.processors)
        .add("used", worker.used.processors)
        .add("capacity", worker.info.capacity.processors)
        .add("report_age_ms", now - worker.heard_at)
        .add("checkpoint", task.checkpoint)
        .add("waited_ms", now - job.seen_at);
    if (attempt > 1 || job.is_inherited) {
        line.add("released_by", to_string(task.released_by))
            .add("inherited", job.is_inherited);
    }
    this->log(line);
    auto const* const advice = this->advice_on(job, name);
    this->awaited.push_back(
        {.worker = index,
         .run = {name, attempt},
         .sent_at = now,
         .is_start = true});
    orders.emplace_back(start_order{
        .worker = worker.info.id,
        .address = worker.info.address,
        .run = {name, attempt},
        .payload = job.spec.payload,
        .lease_until_ms = lease_until,
        .token = this->options.token,
        .checkpoint =
            job.spec.steps[name.step].has_checkpoints ? task.checkpoint : "",
        .ticket = advice == nullptr ? "" : advice->verdicts.at(index).ticket});
}

} // namespace foxtaillift::jobs
