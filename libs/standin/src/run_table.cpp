#include "run_table.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace foxtaillift::standin
{

using formats::run_state;
using nlohmann::json;

namespace
{

constexpr std::size_t max_records = 500'000;

// Tests describe in the payload what a task does in contrast to what was
// declared: {"tag", "run_ms", "processors", "fail"}.
void apply_payload(std::string const& payload, simulated_run& run)
{
    auto const in = json::parse(payload, nullptr, false);
    if (!in.is_object()) {
        return;
    }
    run.tag = in.value("tag", run.tag);
    run.real_run_ms = in.value("run_ms", run.real_run_ms);
    run.real_processors = in.value("processors", run.real_processors);
    run.will_fail = run.will_fail || in.value("fail", false);
}

} // namespace

run_table::run_table(formats::resources worker_capacity, bool is_start_checked)
    : capacity(worker_capacity)
    , is_capacity_checked(is_start_checked)
{}

void run_table::set_speed(double value, base::instant now)
{
    this->advance(now);
    this->speed = value;
}

void run_table::advance(base::instant now)
{
    auto const keys = this->open;
    for (auto const& key : keys) {
        this->advance_run(this->runs.at(key), now);
    }
    this->last = now;
}

void run_table::advance_run(simulated_run& run, base::instant now)
{
    auto const from = std::max(this->last, run.started);
    auto const until = std::min(now, run.lease_end);
    double const rate = run.throttle * this->speed;
    if (run.entry.state == run_state::running && !run.is_loading &&
        until > from && rate > 0) {
        // A failing run ends early, like a worker that cannot start anything.
        double const length =
            run.will_fail ? 0 : static_cast<double>(run.real_run_ms);
        double const needed = (length - run.progress_ms) / rate;
        auto const available = until - from;
        if (needed <= static_cast<double>(available.ms)) {
            run.progress_ms = length;
            auto const needed_ms =
                static_cast<std::int64_t>(std::max(needed, 0.0));
            this->end(
                run, run.will_fail ? run_state::failed : run_state::finished,
                run.will_fail ? "injected failure" : "",
                from + base::milliseconds(needed_ms));
            return;
        }
        run.progress_ms += static_cast<double>(available.ms) * rate;
    }
    if (now >= run.lease_end) {
        this->end(run, run_state::stopped, "lease ran out", run.lease_end);
    }
}

run_table::start_status run_table::start(
    formats::start_request const& request, bool will_fail, base::instant now)
{
    this->advance(now);
    run_key const key{request.task.str(), request.attempt};
    auto const newest = this->runs.upper_bound(
        {key.first, std::numeric_limits<formats::attempt_number>::max()});
    if (this->runs.contains(key)) {
        return start_status::known;
    }
    if (newest != this->runs.begin() &&
        std::prev(newest)->first.first == key.first &&
        std::prev(newest)->first.second > key.second) {
        return start_status::older;
    }
    auto const wanted = this->committed + request.size;
    if (this->is_capacity_checked && !wanted.fits_in(this->capacity)) {
        return start_status::no_capacity;
    }
    if (this->runs.size() >= max_records) {
        return start_status::too_many_records;
    }
    auto& run = this->runs[key];
    run.entry.task = request.task;
    run.entry.attempt = request.attempt;
    run.entry.task_class = request.task_class;
    run.entry.size = request.size;
    run.real_run_ms = request.run_ms;
    run.real_processors = request.size.processors;
    run.will_fail = will_fail;
    apply_payload(request.payload, run);
    run.resumed_from = request.checkpoint;
    run.entry.checkpoint = request.checkpoint;
    run.is_loading = !request.checkpoint.empty();
    run.started = now;
    run.lease_end = now + base::milliseconds(request.lease_ms);
    this->open.insert(key);
    this->kept.insert(key);
    this->committed = wanted;
    auto& top = this->highest;
    top.processors = std::max(top.processors, wanted.processors);
    top.memory_mb = std::max(top.memory_mb, wanted.memory_mb);
    top.accelerators = std::max(top.accelerators, wanted.accelerators);
    return start_status::started;
}

void run_table::end(
    simulated_run& run,
    run_state state,
    std::string const& message,
    base::instant at)
{
    run.entry.state = state;
    run.entry.message = message;
    run.ended = at;
    this->committed -= run.entry.size;
    this->open.erase({run.entry.task.str(), run.entry.attempt});
}

simulated_run* run_table::find_open(run_key const& key)
{
    return this->open.contains(key) ? &this->runs.at(key) : nullptr;
}

void run_table::renew(
    run_key const& key, std::int64_t lease_ms, base::instant now)
{
    this->advance(now);
    if (auto* run = this->find_open(key)) {
        run->lease_end = now + base::milliseconds(lease_ms);
    }
}

void run_table::throttle(run_key const& key, double share, base::instant now)
{
    this->advance(now);
    if (auto* run = this->find_open(key)) {
        run->throttle = std::clamp(share, 0.0, 1.0);
    }
}

void run_table::stop(
    run_key const& key, std::string const& reason, base::instant now)
{
    this->advance(now);
    if (auto* run = this->find_open(key)) {
        this->end(*run, run_state::stopped, reason, now);
    }
}

void run_table::fail(
    run_key const& key, std::string const& reason, base::instant now)
{
    this->advance(now);
    if (auto* run = this->find_open(key)) {
        this->end(*run, run_state::failed, reason, now);
    }
}

void run_table::acknowledge(run_key const& key)
{
    if (this->kept.contains(key) && !this->open.contains(key)) {
        this->kept.erase(key);
        this->runs.at(key).is_acknowledged = true;
    }
}

bool run_table::begin_checkpoint(run_key const& key, base::instant now)
{
    this->advance(now);
    auto* run = this->find_open(key);
    if (run == nullptr || run->entry.state != run_state::running ||
        run->is_loading) {
        return false;
    }
    run->entry.state = run_state::checkpointing;
    return true;
}

void run_table::end_checkpoint(
    run_key const& key, std::string const& object, base::instant now)
{
    this->advance(now);
    if (auto* run = this->find_open(key)) {
        run->entry.checkpoint = object;
        this->end(*run, run_state::checkpointed, "", now);
    }
}

void run_table::resume(
    run_key const& key, double progress_ms, base::instant now)
{
    this->advance(now);
    if (auto* run = this->find_open(key)) {
        run->progress_ms = progress_ms;
        run->first_progress_ms = progress_ms;
        run->is_loading = false;
    }
}

simulated_run const* run_table::find(run_key const& key) const
{
    auto const found = this->runs.find(key);
    return found == this->runs.end() ? nullptr : &found->second;
}

std::vector<simulated_run const*> run_table::open_runs() const
{
    std::vector<simulated_run const*> found;
    found.reserve(this->open.size());
    for (auto const& key : this->open) {
        found.push_back(&this->runs.at(key));
    }
    return found;
}

formats::run_entry run_table::entry_of(simulated_run const& run) const
{
    auto entry = run.entry;
    entry.ran_ms = (run.ended.value_or(this->last) - run.started).ms;
    entry.since_checkpoint_ms =
        entry.state == run_state::checkpointed
            ? 0
            : static_cast<std::int64_t>(
                  run.progress_ms - run.first_progress_ms);
    entry.throttle = run.throttle;
    return entry;
}

std::vector<formats::run_entry> run_table::kept_entries() const
{
    std::vector<formats::run_entry> found;
    found.reserve(this->kept.size());
    for (auto const& key : this->kept) {
        found.push_back(this->entry_of(this->runs.at(key)));
    }
    return found;
}

json run_table::history() const
{
    json out = json::array();
    for (auto const& [key, run] : this->runs) {
        out.push_back(
            {{"task", key.first},
             {"attempt", key.second},
             {"tag", run.tag},
             {"start", run.started.ms},
             {"end", run.ended ? json(run.ended->ms) : json()},
             {"state", to_string(run.entry.state)},
             {"resumed_from", run.resumed_from},
             {"first_progress_ms", run.first_progress_ms},
             {"progress_ms", run.progress_ms},
             {"message", run.entry.message}});
    }
    return out;
}

} // namespace foxtaillift::standin
