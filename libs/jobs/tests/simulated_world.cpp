#include "simulated_world.hpp"

#include <algorithm>

namespace foxtaillift::jobs::testing
{

void timeline::at(base::instant moment, std::function<void()> event)
{
    this->events.push({moment, this->count++, std::move(event)});
}

void timeline::run_until(base::instant end)
{
    while (!this->events.empty() && this->events.top().time <= end) {
        auto next = this->events.top();
        this->events.pop();
        this->now = std::max(this->now, next.time);
        next.event();
    }
    this->now = end;
}

base::instant
simulated_processor::take_up(base::instant now, std::int64_t work_us)
{
    constexpr std::int64_t us_per_ms = 1000;
    this->busy_until_us =
        std::max(this->busy_until_us, now.ms * us_per_ms) + work_us;
    return this->free_at(now);
}

base::instant simulated_processor::free_at(base::instant now) const
{
    constexpr std::int64_t us_per_ms = 1000;
    return std::max(
        now, base::instant{(this->busy_until_us + us_per_ms - 1) / us_per_ms});
}

namespace
{

// The rule on lasting tasks, as the users' page gives it.
constexpr base::duration idle_allowed = base::milliseconds(6000);
constexpr base::duration room_allowed = base::milliseconds(3000);
constexpr std::int64_t ample_room = 2; // tasks

/// Until a leader certainly knows of an end, by the next report.
constexpr base::duration until_reported = base::milliseconds(100);

/// Longest way of an order to a worker.
constexpr base::duration on_the_way = base::milliseconds(50);

/// Of serving tasks, far below their target.
constexpr std::int64_t usual_tail_ms = 10;
constexpr std::int64_t tail_target_ms = 100;

/// Limits of the platform's store.
bool is_too_large(row_change const& change)
{
    constexpr std::size_t entries_limit = 100;
    constexpr std::size_t value_limit = 65536;
    constexpr std::size_t call_limit = 1'000'000;
    std::size_t bytes = 0;
    for (auto const& put : change.puts) {
        if (put.value.size() > value_limit) {
            return true;
        }
        bytes += put.value.size() * 4 / 3; // base64
    }
    return bytes > call_limit || change.conditions.size() + change.puts.size() +
                                         change.removals.size() >
                                     entries_limit;
}

} // namespace

change_result simulated_store::apply(row_change const& change)
{
    if (is_too_large(change)) {
        return {.status = store_status::not_done};
    }
    change_result result;
    bool is_conflict = false;
    for (auto const& condition : change.conditions) {
        auto const found = this->rows.find({condition.table, condition.key});
        auto const current =
            found == this->rows.end() ? 0 : found->second.version;
        is_conflict |= current != condition.version;
        if (found != this->rows.end()) {
            result.current.push_back(found->second);
        }
    }
    if (is_conflict) {
        result.status = store_status::conflict;
        return result;
    }
    ++this->version;
    for (auto put : change.puts) {
        put.version = this->version;
        this->rows[{put.table, put.key}] = put;
        this->history.push_back(put);
    }
    for (auto removal : change.removals) {
        if (this->rows.erase({removal.table, removal.key}) > 0) {
            removal.version = this->version;
            removal.is_removed = true;
            this->history.push_back(removal);
        }
    }
    return {.status = store_status::done, .version = this->version};
}

worker_info simulated_world::entry_of(simulated_worker const& worker) const
{
    return {
        .id = worker.id,
        .address = worker.id,
        .service = worker.service,
        .failure_domain = worker.failure_domain,
        .capacity = worker.capacity,
        .is_draining = worker.is_draining,
        .remaining = std::max(worker.leaves_at - this->time.now, {})};
}

worker_report
simulated_world::report_of(simulated_worker const& worker, std::int64_t now_ms)
{
    worker_report report{.clock_ms = now_ms, .born_ms = worker.born};
    report.ended = worker.ends;
    for (auto const& [task, run] : worker.runs) {
        constexpr int at_work = 100;
        report.running.push_back(
            {.run = run.name,
             .percent =
                 run.is_lasting ? at_work : static_cast<int>(now_ms / 50 % 100),
             .recent = run.is_lasting ? usual_tail_ms : 0});
    }
    return report;
}

void simulated_world::tell_hosts(
    std::function<void(simulated_host&)> const& tell)
{
    constexpr std::uint32_t longest_lag_ms = 800;
    for (auto& host : this->hosts) {
        auto const lag = base::uniform_below(this->random, longest_lag_ms);
        this->time.at(this->time.now + base::milliseconds(lag), [&host, tell] {
            if (host) {
                tell(*host);
            }
        });
    }
}

void simulated_world::set_evacuated(
    std::string const& failure_domain, bool is_evacuated)
{
    if (is_evacuated) {
        this->evacuated.emplace(failure_domain, this->time.now);
    } else {
        this->evacuated.erase(failure_domain);
    }
    this->tell_hosts([this, failure_domain](auto& host) {
        host.service->set_evacuated(
            failure_domain, this->evacuated.contains(failure_domain));
    });
}

void simulated_world::set_draining(std::size_t worker, bool is_draining)
{
    this->workers[worker].is_draining = is_draining;
    this->tell_hosts([entry = entry_of(this->workers[worker])](auto& host) {
        host.on_worker(entry);
    });
}

void simulated_world::take_away(std::size_t worker, base::duration notice)
{
    this->workers[worker].leaves_at = this->time.now + notice;
    this->set_draining(worker, true);
    this->time.at(this->time.now + notice, [this, worker] {
        this->restart_worker(worker);
        this->workers[worker].is_reachable = false;
        this->set_listed(worker, false);
    });
}

void simulated_world::fail_until(std::size_t worker, base::instant end)
{
    this->workers[worker].is_failing = true;
    this->time.at(
        end, [this, worker] { this->workers[worker].is_failing = false; });
}

bool simulated_world::is_running(task_name const& task) const
{
    return std::any_of(
        this->workers.begin(), this->workers.end(),
        [&](simulated_worker const& worker) {
            return worker.runs.contains(task);
        });
}

resources simulated_world::room_of(simulated_worker const& worker)
{
    auto room = worker.capacity;
    for (auto const& [task, run] : worker.runs) {
        room -= run.need;
    }
    return room;
}

std::int64_t simulated_world::room_for(resources const& need) const
{
    std::int64_t count = 0;
    for (auto const& worker : this->workers) {
        if (!worker.is_listed || worker.is_draining || !worker.is_reachable) {
            continue;
        }
        count += room_of(worker).processors / need.processors;
    }
    return count;
}

void simulated_world::watch_lasting_tasks(base::instant wanted)
{
    constexpr base::duration interval = base::milliseconds(50);
    this->calm_from = wanted;
    this->check_lasting_tasks();
    this->time.at(this->time.now + interval, [this, wanted] {
        this->watch_lasting_tasks(wanted);
    });
}

void simulated_world::check_lasting_tasks()
{
    auto const now = this->time.now;
    for (auto const& [job, count] : this->lasting) {
        if (!this->accepted.contains(job) || this->cancelled.contains(job)) {
            continue;
        }
        bool const is_ample = this->room_for(this->needs.at(job)) >= ample_room;
        for (std::uint32_t i = 0; i < count; ++i) {
            task_name const task{.job = job, .index = i};
            if (this->is_running(task)) {
                this->waiting.erase(task);
                continue;
            }
            auto& waits =
                this->waiting.emplace(task, waiting_task_check{now, now})
                    .first->second;
            if (!is_ample || now < *this->calm_from ||
                now - waits.idle_since < idle_allowed) {
                waits.room_since = now;
            }
            if (now - waits.room_since >= room_allowed) {
                this->violations.push_back(
                    to_string(task) + " waits with room for it");
                waits.room_since = now;
            }
        }
    }
}

void simulated_world::check_room_taken(
    simulated_worker const& worker, task_name const& task)
{
    auto const now = this->time.now;
    if (!this->calm_from || now < *this->calm_from ||
        this->lasting.contains(task.job)) {
        return;
    }
    auto room = room_of(worker);
    for (auto const& [at, freed] : worker.freed) {
        if (now - at < until_reported) {
            room -= freed;
        }
    }
    for (auto const& [each, waits] : this->waiting) {
        if (now - waits.idle_since >= idle_allowed + room_allowed &&
            this->needs.at(each.job).fits_in(room)) {
            // Its own start may be on the way.
            this->time.at(now + on_the_way, [this, task, starving = each] {
                if (!this->is_running(starving)) {
                    this->violations.push_back(
                        to_string(task) + " took the room of " +
                        to_string(starving));
                }
            });
            return;
        }
    }
}

void simulated_world::set_listed(std::size_t worker, bool is_listed)
{
    this->workers[worker].is_listed = is_listed;
    this->tell_hosts([this, worker](auto& host) {
        auto const& changed = this->workers[worker];
        if (changed.is_listed) {
            host.on_worker(entry_of(changed));
        } else {
            host.on_worker_gone(changed.id);
        }
    });
}

void simulated_world::restart_worker(std::size_t worker)
{
    auto& restarted = this->workers[worker];
    restarted.token = 0;
    restarted.lease_until = 0;
    restarted.born = this->time.now.ms;
    restarted.runs.clear();
    restarted.freed.clear();
    restarted.stopped.clear();
    restarted.ends.clear();
    restarted.end_count = 0;
    restarted.lapsed_ends = 0;
    std::erase_if(this->repeated, [&](auto const& each) {
        return each.first == restarted.id;
    });
}

simulated_world::simulated_world(
    std::uint32_t seed,
    fault_rates rates,
    leader_options wanted,
    simulated_fleet wanted_fleet)
    : random(seed)
    , faults(rates)
    , leading(std::move(wanted))
    , fleet(std::move(wanted_fleet))
{
    for (std::size_t i = 0; i < this->fleet.workers; ++i) {
        this->workers.push_back(
            {.id = this->fleet.prefix + std::to_string(i),
             .capacity = this->fleet.capacity});
    }
    this->configuration.routes.front().target.target_latency =
        this->fleet.target_latency;
    this->hosts.resize(this->fleet.hosts);
    for (std::size_t i = 0; i < this->fleet.hosts; ++i) {
        this->start_host(i);
    }
    for (auto& worker : this->workers) {
        this->update(worker);
    }
}

simulated_world::~simulated_world() = default;

bool simulated_world::happens(double chance)
{
    return base::uniform_unit(this->random) < chance;
}

simulated_worker* simulated_world::reach(std::string const& id)
{
    for (auto& worker : this->workers) {
        if (worker.id == id && worker.is_reachable) {
            return &worker;
        }
    }
    return nullptr;
}

std::int64_t simulated_world::born_of(std::string const& id) const
{
    for (auto const& worker : this->workers) {
        if (worker.id == id) {
            return worker.born;
        }
    }
    return 0;
}

void simulated_world::start_host(std::size_t index)
{
    auto name = "h" + std::to_string(index);
    auto host = std::make_unique<simulated_host>(*this, name);
    coordinator_options options;
    options.host = name;
    options.peer_address = name;
    options.failure_domain = "z";
    options.leading = this->leading;
    options.nonce = std::to_string(this->time.now.ms) + name;
    constexpr std::int64_t usual_size = 100;
    auto const size = this->sizes.find(index);
    options.electing.size =
        size == this->sizes.end() ? usual_size : size->second;
    options.electing.stagger =
        base::milliseconds(static_cast<std::int64_t>(index) * 40);
    host->service = std::make_shared<coordinator<simulated_ports>>(
        *host, std::move(options));
    host->on_worker = [service =
                           host->service.get()](worker_info const& worker) {
        service->list_worker(worker);
    };
    host->on_worker_gone =
        [service = host->service.get()](std::string const& worker) {
            service->unlist_worker(worker);
        };
    for (auto const& [failure_domain, since] : this->evacuated) {
        host->service->set_evacuated(failure_domain, true);
    }
    host->service->set_fleet(this->configuration);
    host->service->start();
    this->hosts[index] = std::move(host);
}

void simulated_world::rename_queue(std::string const& name)
{
    ++this->configuration.version;
    this->configuration.routes.front().target.name = name;
    for (auto const& host : this->hosts) {
        if (host) {
            host->service->set_fleet(this->configuration);
        }
    }
}

void simulated_world::note_effect(std::string const& host)
{
    constexpr base::duration restart_gap = base::seconds(1);
    if (++this->effects != this->crash_at_effect) {
        return;
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        if (this->hosts[i] && this->hosts[i]->host == host) {
            this->kill_host(i);
            if (this->on_crash) {
                this->on_crash();
            }
            this->time.at(this->time.now + restart_gap, [this, i] {
                this->start_host(i);
            });
        }
    }
}

void simulated_world::cancel(std::size_t host, std::string const& id)
{
    if (!this->hosts[host]) {
        return;
    }
    this->hosts[host]->service->cancel(
        id, base::seconds(3), [this, id](request_outcome outcome) {
            if (outcome == request_outcome::accepted) {
                this->cancelled.emplace(id, this->time.now);
            } else if (outcome == request_outcome::unknown_job) {
                this->cancelled.emplace(id, this->time.now);
                this->unknown.insert(id);
            } else if (outcome == request_outcome::refused) {
                ++this->refused_cancellations;
            }
        });
}

void simulated_world::kill_host(std::size_t index)
{
    this->hosts[index]->is_alive = false;
    this->ended_hosts.push_back(std::move(this->hosts[index]));
}

bool simulated_world::is_in_touch() const
{
    constexpr base::duration contact = base::seconds(3);
    return std::all_of(
        this->hosts.begin(), this->hosts.end(), [&](auto const& host) {
            return !host || this->time.now - host->suspended_until > contact;
        });
}

bool simulated_world::is_among(
    std::set<std::size_t> const& indices, std::string const& host) const
{
    return std::any_of(indices.begin(), indices.end(), [&](std::size_t index) {
        return this->hosts[index] && this->hosts[index]->host == host;
    });
}

bool simulated_world::is_cut(std::string const& host) const
{
    return this->is_among(this->cut, host);
}

bool simulated_world::is_store_silent_for(std::string const& host) const
{
    return this->store.is_silent || this->is_cut(host) ||
           this->is_among(this->without_store, host);
}

void simulated_world::submit(
    std::size_t host,
    std::string const& id,
    std::uint32_t tasks,
    std::size_t payload_bytes)
{
    job_spec job{
        .id = id, .queue = this->configuration.routes.front().target.name};
    job.payload.assign(payload_bytes, 'x');
    resources const need{.processors = 900, .memory_mb = 10};
    job.steps.push_back({.count = tasks, .need = need});
    job.steps.push_back({.count = 1, .need = need, .depends_on = {0}});
    this->submit_job(host, job);
}

void simulated_world::submit(std::size_t host, simulated_job const& wanted)
{
    job_spec job{
        .id = wanted.id,
        .queue = this->configuration.routes.front().target.name};
    job.steps.push_back(
        {.count = wanted.tasks,
         .need = wanted.need,
         .estimate = wanted.work,
         .is_lasting = wanted.is_lasting,
         .image = wanted.is_lasting ? "serving" : "",
         .tail_target_ms = wanted.is_lasting ? tail_target_ms : 0});
    if (wanted.is_lasting) {
        this->lasting[wanted.id] = wanted.tasks;
    } else if (wanted.work.ms > 0) {
        this->works[wanted.id] = wanted.work;
    }
    this->submit_job(host, job);
}

void simulated_world::submit_job(std::size_t host, job_spec const& job)
{
    if (!this->hosts[host]) {
        return;
    }
    this->needs[job.id] = job.steps.front().need;
    this->submitted_at[job.id] = this->time.now;
    this->refused.erase(job.id);
    ++this->not_refused[job.id];
    this->hosts[host]->service->submit(
        job, base::seconds(3),
        [this, id = job.id,
         asked_at = this->time.now](submission_outcome const& found) {
            auto const outcome = found.outcome;
            if (outcome == request_outcome::rejected) {
                this->rejected[id] = found.retry_after;
                auto const row = this->store.rows.find({tables::ended, id});
                bool const is_durable =
                    (row != this->store.rows.end() &&
                     row->second.value == rejection_value) ||
                    this->not_refused[id] > 1;
                if (!is_durable) {
                    this->violations.push_back(
                        id + " is rejected without a row");
                }
            }
            if (outcome == request_outcome::accepted) {
                this->accepted.insert(id);
            } else if (outcome != request_outcome::unknown) {
                this->longest_refusal =
                    std::max(this->longest_refusal, this->time.now - asked_at);
                if (--this->not_refused[id] > 0) {
                    return;
                }
                this->refused.insert(id);
                if (this->started.contains(id)) {
                    this->violations.push_back(id + " runs and was refused");
                }
            } else {
                ++this->unknown_outcomes;
            }
        });
}

void simulated_world::end_run(
    simulated_worker& worker, task_name const& task, run_outcome outcome)
{
    auto const found = worker.runs.find(task);
    worker.ends.push_back(
        {.number = ++worker.end_count,
         .run = found->second.name,
         .outcome = outcome});
    auto& highest = worker.stopped[task];
    highest = std::max(highest, found->second.name.attempt);
    worker.freed.emplace_back(this->time.now, found->second.need);
    worker.runs.erase(found);
}

void simulated_world::check_lapse(simulated_worker& worker)
{
    if (worker.lease_until >= this->time.now.ms) {
        return;
    }
    while (!worker.runs.empty()) {
        this->end_run(worker, worker.runs.begin()->first, run_outcome::lapsed);
    }
    worker.lapsed_ends = worker.end_count;
}

void simulated_world::note_repeated(task_name const& task)
{
    for (auto const& worker : this->workers) {
        for (auto const& end : worker.ends) {
            if (end.run.task == task && end.outcome == run_outcome::done &&
                end.number > worker.lapsed_ends) {
                this->repeated.emplace(worker.id, end.number);
            }
        }
    }
}

void simulated_world::acknowledge(
    simulated_worker const& worker, std::int64_t number)
{
    for (auto const& end : worker.ends) {
        if (end.number > number || end.outcome != run_outcome::done) {
            continue;
        }
        this->noted.insert(end.run.task);
        if (end.number > worker.lapsed_ends &&
            this->repeated.contains({worker.id, end.number})) {
            this->violations.push_back(
                to_string(end.run.task) + " started again before its end was "
                                          "noted");
        }
    }
}

/// Ends what is due and lets leases run out.
void simulated_world::update(simulated_worker& worker)
{
    std::vector<task_name> due;
    for (auto const& [task, run] : worker.runs) {
        if (run.done_at <= this->time.now) {
            due.push_back(task);
        }
    }
    for (auto const& task : due) {
        this->end_run(
            worker, task,
            worker.runs.at(task).is_failing ? run_outcome::failed
                                            : run_outcome::done);
    }
    this->check_lapse(worker);
    this->time.at(this->time.now + base::milliseconds(10), [this, &worker] {
        this->update(worker);
    });
}

base::duration
simulated_world::work_of(simulated_worker const& worker, task_name const& task)
{
    constexpr base::duration until_failure = base::milliseconds(100);
    constexpr base::duration for_good = base::seconds(1'000'000);
    auto const work = this->works.find(task.job);
    return worker.is_failing                  ? until_failure
           : this->lasting.contains(task.job) ? for_good
           : work != this->works.end()
               ? work->second
               : base::milliseconds(
                     200 + base::uniform_below(this->random, 6000));
}

order_status
simulated_world::start(simulated_worker& worker, start_order const& order)
{
    if (order.token < worker.token) {
        return order_status::fenced;
    }
    worker.token = order.token;
    auto const now = this->time.now.ms;
    if (order.lease_until_ms < now) {
        return order_status::late;
    }
    auto const present = worker.runs.find(order.run.task);
    if (present != worker.runs.end()) {
        return present->second.name == order.run ? order_status::done
                                                 : order_status::outdated;
    }
    auto const ended = worker.stopped.find(order.run.task);
    if (ended != worker.stopped.end() && ended->second >= order.run.attempt) {
        return order_status::outdated;
    }
    worker.lease_until = std::max(
        worker.lease_until,
        std::min(
            order.lease_until_ms, now + simulated_worker::longest_lease_ms));
    auto const text = to_string(order.run.task);
    this->started.insert(order.run.task.job);
    this->started_at.emplace(order.run.task.job, this->time.now);
    if (this->refused.contains(order.run.task.job)) {
        this->violations.push_back(text + " starts and was refused");
    }
    constexpr base::duration longest_until_evacuated = base::seconds(5);
    auto const closed = this->evacuated.find(worker.failure_domain);
    if (closed != this->evacuated.end() && this->is_in_touch() &&
        this->time.now - closed->second > longest_until_evacuated) {
        this->violations.push_back(text + " starts in an evacuated domain");
    }
    constexpr base::duration longest_until_cancelled = base::seconds(3);
    auto const given_up = this->cancelled.find(order.run.task.job);
    if (given_up != this->cancelled.end() && this->is_in_touch() &&
        this->time.now - given_up->second > longest_until_cancelled) {
        this->violations.push_back(text + " starts after its cancellation");
    }
    if (this->unknown.contains(order.run.task.job)) {
        this->violations.push_back(text + " starts and was said not to exist");
    }
    if (this->noted.contains(order.run.task)) {
        this->violations.push_back(text + " starts after its end was noted");
    }
    this->note_repeated(order.run.task);
    for (auto const& other : this->workers) {
        if (other.runs.contains(order.run.task)) {
            this->violations.push_back(text + " runs twice");
        }
    }
    auto const need = this->needs[order.run.task.job];
    resources used = need;
    for (auto const& [task, run] : worker.runs) {
        used += run.need;
    }
    if (!used.fits_in(worker.capacity)) {
        this->violations.push_back(worker.id + " is over its capacity");
    }
    this->check_room_taken(worker, order.run.task);
    worker.runs[order.run.task] = {
        .name = order.run,
        .done_at = this->time.now + this->work_of(worker, order.run.task),
        .need = need,
        .is_failing = worker.is_failing,
        .is_lasting = this->lasting.contains(order.run.task.job)};
    return order_status::done;
}

void simulated_world::run_for(base::duration span)
{
    this->time.run_until(this->time.now + span);
}

std::vector<std::string> simulated_world::running_cancelled() const
{
    std::vector<std::string> result;
    for (auto const& worker : this->workers) {
        for (auto const& [task, run] : worker.runs) {
            if (this->cancelled.contains(task.job)) {
                result.push_back(to_string(task));
            }
        }
    }
    return result;
}

std::vector<std::string> simulated_world::unfinished() const
{
    std::vector<std::string> result;
    for (auto const& id : this->accepted) {
        auto const row = this->store.rows.find({tables::ended, id});
        if (row == this->store.rows.end() ||
            row->second.value != to_string(job_state::completed)) {
            result.push_back(id);
        }
    }
    return result;
}

} // namespace foxtaillift::jobs::testing
