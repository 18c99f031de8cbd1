#include "batch_settings.hpp"

#include "host_watch.hpp"

#include "foxtaillift/cluster/configuration_query.hpp"

#include <algorithm>
#include <string>

namespace foxtaillift::daemon
{

namespace
{

constexpr char const* processors_name = "team.quota_processors";
constexpr char const* memory_name = "team.quota_memory";
constexpr char const* accelerators_name = "team.quota_accelerators";
constexpr char const* wait_name = "class.longest_wait";
constexpr char const* floor_name = "class.throttle_floor";
constexpr char const* evictions_name = "class.evictions_per_hour";

/// Reads values for one subject, or the fleet-wide ones.
class reader
{
public:
    reader(cluster::configuration_document const& from, std::int64_t wall)
        : document(from)
        , wall_ms(wall)
    {}

    [[nodiscard]] std::int64_t
    value(char const* name, std::string const& subject) const
    {
        return cluster::effective_integer(
            this->document, name, subject, this->wall_ms);
    }

    /// The quota of the whole fleet, times the share of a cell.
    [[nodiscard]] batch::team_quota
    quota(std::string const& team, double share) const
    {
        auto const part = [&](char const* name) {
            return share * static_cast<double>(this->value(name, team));
        };
        return {
            .processors = part(processors_name),
            .memory_mb = part(memory_name),
            .accelerators = part(accelerators_name)};
    }

    [[nodiscard]] batch::class_limits
    limits(std::string const& task_class) const
    {
        return {
            .evictions_per_hour = static_cast<std::uint32_t>(
                this->value(evictions_name, task_class)),
            .throttle_floor =
                static_cast<double>(this->value(floor_name, task_class)) / 100,
            .longest_wait =
                base::milliseconds(this->value(wait_name, task_class))};
    }

private:
    cluster::configuration_document const& document;
    std::int64_t wall_ms;
};

double share_of(
    base::cell_id const& cell, std::vector<formats::worker_entry> const& fleet)
{
    std::int64_t all = 0;
    std::int64_t here = 0;
    for (auto const& worker : fleet) {
        all += worker.capacity.processors;
        here += cell_of(worker) == cell ? worker.capacity.processors : 0;
    }
    return all == 0 ? 1.0
                    : static_cast<double>(here) / static_cast<double>(all);
}

/// The largest reserve of the services that run in the cell, as a share.
double reserve_of(
    cluster::configuration_document const& document,
    base::cell_id const& cell,
    std::vector<formats::worker_entry> const& fleet,
    std::int64_t wall_ms)
{
    std::int64_t percent = 0;
    for (auto const& worker : fleet) {
        if (cell_of(worker) != cell) {
            continue;
        }
        for (auto const& service : worker.services) {
            percent = std::max(
                percent, cluster::effective_integer(
                             document, "service.batch_reserve", service.view(),
                             wall_ms));
        }
    }
    return static_cast<double>(percent) / 100;
}

} // namespace

batch::scheduler_settings to_scheduler_settings(
    cluster::configuration_document const& document,
    base::cell_id const& cell,
    std::vector<formats::worker_entry> const& fleet,
    std::int64_t wall_ms)
{
    batch::scheduler_settings out;
    out.version = document.version();
    out.service_processors = reserve_of(document, cell, fleet, wall_ms);
    out.service_memory = out.service_processors;
    reader const read{document, wall_ms};
    auto const share = share_of(cell, fleet);
    out.other_teams = read.quota("", share);
    for (auto const* name : {processors_name, memory_name, accelerators_name}) {
        for (auto const& team : cluster::subjects_of(document, name)) {
            out.teams[base::team_id{team}] = read.quota(team, share);
        }
    }
    out.other_classes = read.limits("");
    for (auto const* name : {wait_name, floor_name, evictions_name}) {
        for (auto const& task_class : cluster::subjects_of(document, name)) {
            out.classes[task_class] = read.limits(task_class);
        }
    }
    return out;
}

void order_workers(
    cluster::configuration_document const& document,
    std::int64_t wall_ms,
    std::vector<formats::worker_entry> const& workers,
    cell_driver& driver)
{
    for (auto const& worker : workers) {
        auto const state = cluster::effective_text(
            document, "worker.state", worker.worker.view(), wall_ms);
        auto order = batch::worker_order::release;
        if (state == "drained") {
            order = batch::worker_order::drain;
        } else if (state == "quarantined") {
            order = batch::worker_order::quarantine;
        }
        driver.handle(batch::worker_ordered{worker.worker, order});
    }
}

} // namespace foxtaillift::daemon
