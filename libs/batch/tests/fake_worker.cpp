#include "fake_worker.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace foxtaillift::batch
{

using formats::agent_status;
using formats::run_state;

void run_judge::started(
    formats::start_request const& request, std::string worker)
{
    ++this->starts;
    auto& counted = this->counts[request.task];
    ++counted.starts;
    counted.resumes += request.checkpoint.empty() ? 0 : 1;
    auto const name = request.task.str() + " attempt " +
                      std::to_string(request.attempt) + " on " + worker;
    auto const other = this->running.find(request.task);
    if (other != this->running.end()) {
        this->violations.push_back(
            "two places: " + name + " while attempt " +
            std::to_string(other->second.attempt) + " runs on " +
            other->second.worker);
    }
    auto& last = this->highest[request.task];
    if (request.attempt <= last) {
        this->violations.push_back("attempt did not grow: " + name);
    }
    last = std::max(last, request.attempt);
    this->running[request.task] = {std::move(worker), request.attempt};
}

void run_judge::ended(base::task_id const& task, std::string const& worker)
{
    auto const found = this->running.find(task);
    if (found != this->running.end() && found->second.worker == worker) {
        this->running.erase(found);
    }
}

fake_worker::fake_worker(formats::worker_entry described, run_judge& observer)
    : entry(std::move(described))
    , judge(observer)
{}

bool fake_worker::is_over(fake_run const& run)
{
    return run.state != run_state::running &&
           run.state != run_state::checkpointing;
}

formats::resources fake_worker::used() const
{
    formats::resources sum;
    for (auto const& [key, run] : this->known) {
        if (!is_over(run)) {
            sum += run.request.size;
        }
    }
    return sum;
}

double fake_worker::harm(std::map<std::string, double> const& by_class) const
{
    double sum = 0;
    for (auto const& [key, run] : this->known) {
        auto const harm = by_class.find(run.request.task_class);
        if (!is_over(run) && harm != by_class.end()) {
            sum += harm->second * run.throttle *
                   static_cast<double>(run.request.size.processors) / 1000;
        }
    }
    return sum;
}

formats::run_entry fake_worker::describe(fake_run const& run) const
{
    formats::run_entry out;
    out.task = run.request.task;
    out.attempt = run.request.attempt;
    out.state = run.state;
    out.task_class = run.request.task_class;
    out.size = run.request.size;
    out.checkpoint = run.checkpoint;
    out.ran_ms = (this->now - run.began).ms;
    out.since_checkpoint_ms = out.ran_ms;
    out.throttle = run.throttle;
    out.message = run.state == run_state::failed ? "exit code 1" : "";
    return out;
}

agent_status fake_worker::adopt(
    formats::adopt_request const& request, formats::adopt_answer& out)
{
    if (request.epoch < this->epoch) {
        return agent_status::stale_epoch;
    }
    this->epoch = request.epoch;
    out.worker = this->entry.worker;
    out.epoch = this->epoch;
    out.capacity = this->entry.capacity;
    for (auto const& [key, run] : this->known) {
        out.runs.push_back(this->describe(run));
    }
    return agent_status::done;
}

agent_status fake_worker::start(
    formats::start_request const& request, formats::run_entry& out)
{
    if (request.epoch < this->epoch) {
        return agent_status::stale_epoch;
    }
    this->epoch = request.epoch;
    auto const found = this->known.find({request.task, request.attempt});
    if (found != this->known.end()) {
        out = this->describe(found->second);
        return agent_status::done;
    }
    if (request.attempt <= this->seen[request.task]) {
        return agent_status::refused;
    }
    if (!(this->used() + request.size).fits_in(this->entry.capacity)) {
        ++this->capacity_refusals;
        return agent_status::insufficient_capacity;
    }
    this->seen[request.task] = request.attempt;
    this->judge.started(request, this->entry.worker.str());
    fake_run run;
    run.request = request;
    run.left = std::strtod(request.payload.c_str(), nullptr);
    run.is_failing = this->fails_everything || request.payload == "fail";
    if (!request.checkpoint.empty()) {
        auto const saved = this->judge.checkpoints.find(request.checkpoint);
        if (saved == this->judge.checkpoints.end()) {
            this->judge.violations.push_back(
                "unknown checkpoint " + request.checkpoint);
        } else {
            run.left = saved->second;
        }
    }
    run.left_at_checkpoint = run.left;
    run.began = this->now;
    run.lease_until = this->now + base::milliseconds(request.lease_ms);
    out = this->describe(run);
    this->known.emplace(
        std::pair{request.task, request.attempt}, std::move(run));
    return agent_status::done;
}

agent_status fake_worker::runs(
    std::string_view verb,
    formats::runs_request const& request,
    formats::runs_answer& out)
{
    if (request.epoch < this->epoch) {
        return agent_status::stale_epoch;
    }
    this->epoch = request.epoch;
    for (auto const& wanted : request.tasks) {
        auto const found = this->known.find({wanted.task, wanted.attempt});
        if (found == this->known.end()) {
            continue;
        }
        auto& run = found->second;
        if (verb == "acknowledge") {
            if (is_over(run)) {
                this->known.erase(found);
            }
            continue;
        }
        if (verb == "renew" && !is_over(run)) {
            run.lease_until = this->now + base::milliseconds(request.lease_ms);
        } else if (verb == "throttle") {
            run.throttle = wanted.throttle;
        } else if (verb == "stop" && !is_over(run)) {
            this->thrown_away +=
                (run.left_at_checkpoint - run.left) / 1000 *
                static_cast<double>(run.request.size.processors) / 1000;
            this->end(run, run_state::stopped);
        } else if (verb == "checkpoint" && run.state == run_state::running) {
            run.state = run_state::checkpointing;
            run.checkpoint_at = this->now + this->checkpoint_time;
            run.checkpoint = wanted.checkpoint;
        }
        out.runs.push_back(this->describe(run));
    }
    return agent_status::done;
}

void fake_worker::end(fake_run& run, run_state state)
{
    run.state = state;
    if (state != run_state::checkpointed) {
        run.checkpoint.clear();
    }
    if (state == run_state::finished) {
        ++this->judge.finished;
        ++this->judge.counts[run.request.task].finishes;
    }
    this->judge.ended(run.request.task, this->entry.worker.str());
}

void fake_worker::move_on(fake_run& run, base::instant to)
{
    auto const until = std::min(to, run.lease_until);
    auto const passed = static_cast<double>((until - this->now).ms);
    if (run.state == run_state::running) {
        run.left -= passed * run.throttle;
        if (run.is_failing) {
            if ((until - run.began).ms > 200) {
                this->end(run, run_state::failed);
            }
        } else if (run.left <= 0) {
            this->end(run, run_state::finished);
        }
    } else if (run.checkpoint_at <= until) {
        this->judge.checkpoints[run.checkpoint] = run.left;
        this->end(run, run_state::checkpointed);
    }
    if (!is_over(run) && to > run.lease_until) {
        this->end(run, run_state::stopped);
    }
}

void fake_worker::advance(base::instant to)
{
    for (auto& [key, run] : this->known) {
        if (!is_over(run)) {
            this->move_on(run, to);
        }
    }
    this->now = to;
}

void fake_worker::restart()
{
    for (auto& [key, run] : this->known) {
        if (!is_over(run)) {
            this->end(run, run_state::stopped);
        }
    }
    this->known.clear(); // the highest epoch seen survives, as the protocol
                         // asks of an agent
}

formats::usage_report fake_worker::report()
{
    formats::usage_report out;
    out.worker = this->entry.worker;
    out.sequence = ++this->sequence;
    auto const measure = [this](formats::resources size) {
        for (auto* amount : {&size.processors, &size.memory_mb}) {
            *amount = static_cast<std::int64_t>(
                static_cast<double>(*amount) * this->usage_share);
        }
        return size;
    };
    out.used = measure(this->used());
    for (auto const& [key, run] : this->known) {
        out.runs.push_back(
            {run.request.task, run.request.attempt, run.state,
             is_over(run) ? formats::resources{} : measure(run.request.size),
             0});
    }
    return out;
}

} // namespace foxtaillift::batch
