// Choice of the worker for a task.
#include "cell_state.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::batch
{

namespace
{

// Weights of the parts of a score. Harm is in latency ratio, the others in
// shares of a worker; docs/batch-design.md has the trials.
constexpr double harm_weight = 4.0;
constexpr double fit_weight = 0.3;
constexpr double spread_weight = 0.2;
constexpr double domain_weight = 0.1;
constexpr double straggler_weight = 0.2;
constexpr double headroom_weight = 0.5;
constexpr double usage_weight = 0.2;
constexpr double accelerator_weight = 0.5;
// Evidence above this is not worth an exploration.
constexpr double enough_evidence = 3;

double part(std::int64_t amount, std::int64_t of)
{
    return of <= 0 ? 0 : static_cast<double>(amount) / static_cast<double>(of);
}

} // namespace

base::duration
cell_state::expected_run(live_task const& task, double quantile) const
{
    return this->run_times.quantile(
        task.task_class, quantile,
        base::milliseconds(task.durable->spec.run_ms));
}

double cell_state::harm_on(
    worker const& on,
    std::uint32_t task_class,
    double cores,
    bool is_expected) const
{
    double harm = 0;
    auto const level = std::max(on.pressure.level, on.pressure.expected_level);
    for (auto const service : on.services) {
        double const current =
            this->interference.harm(task_class, service, level);
        // The next crest counts by how close the last one is.
        double const crest =
            is_expected ? this->interference.harm(task_class, service, 3) *
                              on.pressure.crest_share
                        : 0;
        harm += std::max(current, crest) * cores;
    }
    return harm;
}

double
cell_state::score(live_task const& task, worker_index index, double& harm) const
{
    auto const& own = this->owned;
    auto const& on = own.workers[index];
    auto const& size = task.durable->spec.size;
    auto const& limit = own.ledger.limit(index);
    auto const free = own.ledger.free_urgent(index);
    harm = this->harm_on(
        on, task.task_class, static_cast<double>(size.processors) / 1000, true);
    // A task that leaves processors and memory in the proportion of the worker
    // strands neither.
    double const left_processors =
        part(free.processors - size.processors, limit.processors);
    double const left_memory =
        part(free.memory_mb - size.memory_mb, limit.memory_mb);
    double result = -fit_weight * std::abs(left_processors - left_memory);
    result -= harm_weight * harm;
    auto const load = [&](auto const& loads, std::uint32_t place) {
        auto const known =
            loads.find((std::uint64_t{task.task_class} << 32U) | place);
        double const runs = known == loads.end() ? 0 : known->second;
        return runs / (runs + 16);
    };
    result -= spread_weight * load(own.rack_load, on.rack);
    result -= domain_weight * load(own.domain_load, on.failure_domain);
    if (task.kind == queue_kind::long_run) {
        result -= straggler_weight * on.stragglers;
    }
    result -= headroom_weight * on.pressure.crest_share *
              (1 - std::max(left_processors, 0.0));
    result -= usage_weight * on.used_cores * 1000 /
              static_cast<double>(std::max<std::int64_t>(limit.processors, 1));
    if (size.accelerators == 0 && limit.accelerators > 0) {
        result -=
            accelerator_weight * part(free.accelerators, limit.accelerators);
    }
    return result;
}

bool cell_state::has_untried_worker(live_task const& task) const
{
    auto const& own = this->owned;
    auto const& failed = task.durable->failed_on;
    std::vector<std::uint32_t> holders;
    own.ledger.limit_index(task.kind == queue_kind::urgent)
        .find(task.durable->spec.size, 0, failed.size() + 16, holders);
    return std::any_of(holders.begin(), holders.end(), [&](auto index) {
        auto const& on = own.workers[index];
        return this->closed_reason(on) == nullptr &&
               std::find(failed.begin(), failed.end(), on.id) == failed.end();
    });
}

worker_index cell_state::choose(live_task const& task, placement_note& note)
{
    auto& own = this->owned;
    bool const is_urgent = task.kind == queue_kind::urgent;
    auto const& size = task.durable->spec.size;
    auto const& failed = task.durable->failed_on;
    std::vector<std::uint32_t>& found = this->candidates;
    found.clear();
    own.ledger.index(is_urgent).find(
        size, static_cast<std::uint32_t>(this->random()),
        this->options.candidates, found);
    bool const is_noisy = own.noisy_until.contains(task.task_class) &&
                          this->now < own.noisy_until.at(task.task_class);
    bool const explores = !is_urgent && base::uniform_unit(this->random) <
                                            this->options.settings.exploration;
    worker_index best = no_index;
    double best_score = 0;
    bool const avoids_failed =
        !failed.empty() && this->has_untried_worker(task);
    for (auto const index : found) {
        auto const& on = own.workers[index];
        bool const is_bad =
            avoids_failed &&
            std::find(failed.begin(), failed.end(), on.id) != failed.end();
        bool const is_kept =
            is_urgent && on.reserved_for != no_index &&
            on.reserved_for != task.entry.task &&
            own.tasks[on.reserved_for].kind == queue_kind::urgent;
        if (is_bad || is_kept || (!is_urgent && on.pressure.is_high) ||
            (is_noisy && on.pressure.level > 1)) {
            continue;
        }
        double harm = 0;
        double score = this->score(task, index, harm);
        ++note.candidates;
        // Exploration only where no service is loaded: what is learned there
        // costs least.
        bool is_new = false;
        if (explores && on.pressure.level <= 1) {
            for (auto const service : on.services) {
                is_new = is_new || this->interference.evidence(
                                       task.task_class, service,
                                       on.pressure.level) < enough_evidence;
            }
        }
        score += is_new ? 1 : 0;
        if (best == no_index || score > best_score) {
            best = index;
            best_score = score;
            note.score = static_cast<float>(score);
            note.harm = static_cast<float>(harm);
            note.is_exploration = is_new;
        }
    }
    return best;
}

bool cell_state::place(task_index index)
{
    auto& task = this->owned.tasks[index];
    placement_note note;
    auto const on = this->choose(task, note);
    if (on == no_index) {
        // Crests end without an event of their own.
        this->owned.has_delayed |= !this->candidates.empty();
        task.wait_reason =
            this->candidates.empty()
                ? "no worker has enough free resources"
                : "workers with room are at a crest, or it failed there";
        return false;
    }
    this->start(index, on, note);
    return true;
}

void cell_state::start(
    task_index index, worker_index on, placement_note const& note)
{
    auto& own = this->owned;
    auto& task = own.tasks[index];
    bool const is_urgent = task.kind == queue_kind::urgent;
    auto const waited = this->now - task.queued;
    this->dequeue(index);
    auto const& size = task.durable->spec.size;
    if (!own.ledger.commit(
            on, size, is_urgent ? commitment::urgent : commitment::normal)) {
        ++this->counters.overdrafts_refused;
        this->enqueue(index);
        return;
    }
    auto& value = this->add_run(on, task.durable->task);
    value.task = index;
    value.team = task.team;
    value.attempt = ++task.attempt;
    value.size = size;
    value.task_class = task.task_class;
    value.is_urgent = is_urgent;
    value.is_long = task.kind == queue_kind::long_run;
    value.started = this->now;
    value.checkpointed = this->now;
    task.current_run = value.serial;
    task.note = note;
    task.note.settings_version = this->options.settings.version;
    this->set_state(task, task_state::starting);
    this->hold_resources(value);
    ++this->counters.placements;
    this->counters.explorations += note.is_exploration ? 1 : 0;
    char const* reason = is_urgent              ? "urgent"
                         : note.candidates == 0 ? "reservation"
                         : note.is_exploration  ? "exploration"
                                                : "best score";
    this->log(base::event_line{"placement"}
                  .add("task", task.durable->task)
                  .add("attempt", value.attempt)
                  .add("class", task.durable->spec.task_class)
                  .add("team", task.durable->spec.team)
                  .add("worker", own.workers[on].id)
                  .add("candidates", note.candidates)
                  .add("score", static_cast<double>(note.score))
                  .add("harm", static_cast<double>(note.harm))
                  .add("waited", waited)
                  .add("reason", reason)
                  .add("config", this->options.settings.version));
    this->send_start(value);
}

} // namespace foxtaillift::batch
