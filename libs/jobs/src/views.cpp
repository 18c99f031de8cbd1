#include "foxtaillift/jobs/views.hpp"

#include "scheduler_core.hpp"
#include "urgency.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace foxtaillift::jobs
{

namespace
{

using nlohmann::json;

char const* to_text(run_phase phase)
{
    switch (phase) {
    case run_phase::starting:
        return "starting";
    case run_phase::unknown:
        return "unknown";
    case run_phase::running:
        return "running";
    case run_phase::stopping:
        return "stopping";
    }
    return "unknown";
}

json encode_resources(resources const& amount)
{
    return {
        {"processors", amount.processors},
        {"memory_mb", amount.memory_mb},
        {"accelerators", amount.accelerators}};
}

json encode_summary(
    scheduler::implementation const& inside,
    job_entry const& job,
    base::instant now)
{
    json view = {
        {"job", job.spec.id},
        {"queue", job.spec.queue},
        {"state", to_string(job.state)},
        {"recorded_state", to_string(job.durable_state)},
        {"age_ms", (now - job.seen_at).ms},
        {"tasks", job.tasks.size()},
        {"done", job.done},
        {"runs", job.open_runs},
        {"waiting", job.waiting_tasks()}};
    if (auto const* const queue = inside.queue_of(job)) {
        view["objective_ms"] = objective_of(job, *queue).ms;
    }
    return view;
}

json encode_steps(job_entry const& job)
{
    auto steps = json::array();
    auto const each = job.spec.steps.size();
    for (std::size_t slot = 0; slot < job.steps.size(); ++slot) {
        // Thousands of occurrences may lie ahead.
        if (job.spec.repeats > 0 && job.steps.find(slot) == nullptr) {
            continue;
        }
        steps.push_back(
            {{"occurrence", slot / each},
             {"step", slot % each},
             {"tasks", job.spec.steps[slot % each].count},
             {"done", job.steps.done(slot)},
             {"idle", job.steps.idle(slot)},
             {"may_start", job.is_ready(
                               static_cast<std::uint32_t>(slot / each),
                               static_cast<std::uint32_t>(slot % each))}});
    }
    return steps;
}

json encode_runs(
    scheduler::implementation const& inside,
    job_entry const& job,
    base::instant now)
{
    auto runs = json::array();
    for (auto const& [ordinal, task] : job.tasks.entries()) {
        for (auto const& run : task.runs) {
            runs.push_back(
                {{"task", to_string(job.name_of(ordinal))},
                 {"attempt", run.attempt},
                 {"worker", inside.workers[run.worker].info.id},
                 {"phase", to_text(run.phase)},
                 {"percent", run.percent},
                 {"pace", run.pace},
                 {"age_ms", (now - run.started_at).ms}});
        }
    }
    return runs;
}

json encode_order(dispatch_entry const& place)
{
    return {
        {"class", to_string(place.group)},
        {"jobs_ahead", place.jobs_ahead},
        {"core_ms_ahead", static_cast<std::int64_t>(place.work_ahead)}};
}

json encode_wait(waiting_task const& wait, base::instant now)
{
    json view = {
        {"task", to_string(wait.task)}, {"seen_ms", (now - wait.seen_at).ms}};
    for (auto const why :
         {obstacle::unusable, obstacle::evacuated, obstacle::not_allowed,
          obstacle::no_ticket, obstacle::processors, obstacle::memory,
          obstacle::accelerators, obstacle::speed}) {
        view[std::string{to_string(why)}] = wait.obstacles.of(why);
    }
    return view;
}

char const* state_of(worker_entry const& worker, base::instant now)
{
    return worker.is_gone                                       ? "gone"
           : !worker.is_heard                                   ? "not heard"
           : worker.silent_looks > 0                            ? "silent"
           : worker.info.is_draining                            ? "draining"
           : worker.is_closed                                   ? "closed"
           : worker.is_evacuated                                ? "evacuated"
           : worker.trust.is_barred(now)                        ? "barred"
           : worker.is_slow                                     ? "slow"
           : !scheduler::implementation::is_usable(worker, now) ? "unusable"
                                                                : "usable";
}

json encode_admission(scheduler const& decisions, base::instant now)
{
    json view = {
        {"rejected", decisions.rejections()}, {"services", json::array()}};
    for (auto const& each : decisions.admission(now)) {
        view["services"].push_back(
            {{"service", each.service},
             {"kind", each.kind},
             {"overloaded", each.is_overloaded},
             {"overloaded_ms", each.overloaded.ms},
             {"waiting_work_ms", each.waiting_ms},
             {"processors", each.processors},
             {"rejected", each.rejected},
             {"returned", each.returned}});
    }
    return view;
}

} // namespace

std::string encode_status(
    host_view const& host, scheduler const* decisions, base::instant now)
{
    json status = {
        {"hosts",
         {{{"host", host.host},
           {"failure_domain", host.failure_domain},
           {"ready", host.is_ready},
           {"leading", host.is_leading},
           {"configuration", host.configuration}}}},
        {"owners", json::array()},
        {"leader", host.leader_address}};
    if (decisions != nullptr) {
        auto const load = decisions->load(now);
        std::size_t running = 0;
        std::size_t waiting = 0;
        for (auto const& [name, queue] : load.queues) {
            running += queue.running_tasks;
            waiting += queue.waiting_tasks;
        }
        status["owners"].push_back(
            {{"cell", "jobs"},
             {"owner", host.host},
             {"epoch", host.token},
             {"phase",
              decisions->inside().is_recovered ? "leading" : "recovering"},
             {"tasks", decisions->job_count()},
             {"running", running},
             {"queued", waiting},
             {"capacity", encode_resources(load.capacity)},
             {"committed", encode_resources(load.used)},
             {"admission", encode_admission(*decisions, now)}});
    }
    return status.dump();
}

std::string
encode_jobs(scheduler const& decisions, base::instant now, std::size_t limit)
{
    auto const& inside = decisions.inside();
    std::vector<job_entry const*> open;
    for (auto const& [id, job] : inside.jobs) {
        if (!is_final(job->state)) {
            open.push_back(job.get());
        }
    }
    std::sort(open.begin(), open.end(), [](auto const* a, auto const* b) {
        return std::pair{a->seen_at, a->spec.id} <
               std::pair{b->seen_at, b->spec.id};
    });
    json view = {{"open", open.size()}, {"jobs", json::array()}};
    open.resize(std::min(open.size(), limit));
    for (auto const* const job : open) {
        view["jobs"].push_back(encode_summary(inside, *job, now));
    }
    return view.dump();
}

std::optional<std::string>
encode_job(scheduler const& decisions, std::string_view job, base::instant now)
{
    auto const& inside = decisions.inside();
    auto const* const entry = inside.find_job(job);
    if (entry == nullptr) {
        return std::nullopt;
    }
    auto view = encode_summary(inside, *entry, now);
    view["steps"] = encode_steps(*entry);
    view["present"] = encode_runs(inside, *entry, now);
    if (entry->dispatch && entry->idle > 0) {
        view["order"] = encode_order(*entry->dispatch);
    }
    if (entry->last_wait) {
        view["last_wait"] = encode_wait(*entry->last_wait, now);
    }
    return view.dump();
}

std::string encode_workers_view(scheduler const& decisions, base::instant now)
{
    auto const& inside = decisions.inside();
    json view = {{"workers", json::array()}};
    for (std::size_t i = 0; i < inside.workers.size(); ++i) {
        auto const& worker = inside.workers[i];
        if (!worker.is_listed && worker.runs.empty()) {
            continue;
        }
        view["workers"].push_back(
            {{"worker", worker.info.id},
             {"cell", worker.info.service},
             {"state", state_of(worker, now)},
             {"reachable", worker.is_heard && worker.silent_looks == 0},
             {"takes_work", scheduler::implementation::is_usable(worker, now)},
             {"runs", worker.runs.size()},
             {"heard_ms", (now - worker.heard_at).ms},
             {"capacity", encode_resources(worker.info.capacity)},
             {"committed", encode_resources(worker.used)}});
    }
    return view.dump();
}

std::string encode_evacuations(scheduler const& decisions, base::instant now)
{
    auto const& inside = decisions.inside();
    json view = {{"evacuations", json::array()}};
    for (auto const& [domain, since] : inside.evacuated) {
        std::size_t workers = 0;
        std::size_t runs = 0;
        for (std::size_t i = 0; i < inside.workers.size(); ++i) {
            auto const& worker = inside.workers[i];
            if (worker.info.failure_domain == domain) {
                workers += worker.is_listed ? 1 : 0;
                runs += worker.runs.size();
            }
        }
        view["evacuations"].push_back(
            {{"failure_domain", domain},
             {"known_ms", (now - since).ms},
             {"workers", workers},
             {"runs", runs}});
    }
    return view.dump();
}

operator_answer make_job_answer(std::string_view job, std::string_view outcome)
{
    constexpr int success = 200;
    return {success, json{{"job", job}, {"outcome", outcome}}.dump()};
}

operator_answer
make_refusal(int status, std::string_view error, std::string_view message)
{
    return {status, json{{"error", error}, {"message", message}}.dump()};
}

operator_answer answer_operator_read(
    std::string_view path,
    host_view const& host,
    scheduler const* decisions,
    base::instant now)
{
    constexpr std::string_view one_job = "/v1/jobs/";
    constexpr std::size_t jobs_limit = 1000; // some 200 KB
    constexpr int success = 200;
    constexpr int not_found = 404;
    constexpr int misdirected = 421;
    if (path == "/v1/status") {
        return {success, encode_status(host, decisions, now)};
    }
    bool const is_of_leader = path == "/v1/jobs" || path == "/v1/workers" ||
                              path == "/v1/evacuations" ||
                              path.starts_with(one_job);
    if (is_of_leader && decisions == nullptr) {
        return {
            misdirected,
            json{
                {"error", "not_leading"},
                {"message", "only the leader knows jobs and workers"},
                {"leader", host.leader_address}}
                .dump()};
    }
    if (path == "/v1/jobs") {
        return {success, encode_jobs(*decisions, now, jobs_limit)};
    }
    if (path == "/v1/workers") {
        return {success, encode_workers_view(*decisions, now)};
    }
    if (path == "/v1/evacuations") {
        return {success, encode_evacuations(*decisions, now)};
    }
    if (is_of_leader) {
        auto const id = path.substr(one_job.size());
        if (auto view = encode_job(*decisions, id, now)) {
            return {success, std::move(*view)};
        }
        if (auto const state = decisions->state_of(id)) {
            return {
                success,
                json{{"job", id}, {"state", to_string(*state)}}.dump()};
        }
    }
    return make_refusal(not_found, "not_found", "there is no such thing");
}

} // namespace foxtaillift::jobs
