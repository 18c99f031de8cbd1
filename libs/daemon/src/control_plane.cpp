#include "control_plane.hpp"

#include "batch_settings.hpp"
#include "task_codec.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

/// Interval of measurements and of checks that have no event of their own.
constexpr auto beat_interval = base::milliseconds(250);

/// A start or a renewal that is delivered later than the lease margin could
/// act beside a newer attempt, so it must be given up before.
base::duration agent_timeout(settings::batch_settings const& batch)
{
    return batch.task_lease_margin - batch.task_lease_margin / 10;
}

std::string object_address(settings::platform_settings const& platform)
{
    return platform.objects.empty() ? platform.table : platform.objects;
}

} // namespace

control_plane::control_plane(context& context, std::string const& peer_address)
    : shared(context)
    , platform_pool(
          context.control,
          {.connections_per_address = 8,
           .queue_per_address = 1024,
           .body_limit = 64UL * 1024 * 1024})
    , agent_pool(
          context.control,
          {.connections_per_address = 2,
           .queue_per_address = 1024,
           .body_limit = 64UL * 1024 * 1024})
    , table(
          this->platform_pool,
          context.settings.platform.table,
          context.settings.platform.request_timeout)
    , objects(
          this->platform_pool,
          object_address(context.settings.platform),
          context.settings.platform.request_timeout)
    , host_list(
          this->platform_pool,
          context.settings.platform.table,
          context.settings.platform.request_timeout)
    , agents(this->agent_pool, agent_timeout(context.settings.batch))
    , store(context, this->table)
    , links(context)
    , hosts(context, this->host_list)
    , configuration(
          context,
          this->store,
          this->objects,
          this->links,
          [this] { this->on_configuration(); })
    , membership(
          context, this->links, peer_address, this->make_membership_listener())
    , ownership(
          context,
          this->store,
          this->links,
          peer_address,
          this->make_ownership_listener())
    , cells(this->make_cell_services())
    , calls(
          context,
          this->store,
          [this](std::string text) {
              this->shared.post_control([this, text = std::move(text)] {
                  this->loads.take_header(text);
              });
          })
    , loads(context, this->calls, this->cells, this->links)
    , publisher(
          {.shared = context,
           .hosts = this->hosts,
           .cells = this->cells,
           .ownership = this->ownership,
           .membership = this->membership,
           .configuration = this->configuration},
          this->calls)
    , monitor(
          context,
          this->calls,
          this->cells,
          this->hosts,
          this->agents,
          this->publisher)
    , tasks(
          context,
          this->store,
          this->links,
          this->hosts,
          this->cells,
          this->ownership,
          this->loads)
    , peers(
          {.shared = context,
           .calls = this->calls,
           .tasks = this->tasks,
           .membership = this->membership,
           .ownership = this->ownership,
           .configuration = this->configuration,
           .status =
               [this](std::string const& target) {
                   return this->operators.own_status(target);
               },
           .load =
               [this](std::string const& summaries) {
                   this->loads.take_bytes(summaries);
               },
           .taken =
               [this](base::cell_id const& cell, formats::epoch_number epoch) {
                   this->on_taken(cell, epoch);
               }})
    , operators(
          {.shared = context,
           .calls = this->calls,
           .cells = this->cells,
           .hosts = this->hosts,
           .links = this->links,
           .tasks = this->tasks,
           .membership = this->membership,
           .ownership = this->ownership,
           .configuration = this->configuration,
           .is_ready = [this] { return this->is_ready(); }})
    , reporter(
          {.shared = context,
           .calls = this->calls,
           .cells = this->cells,
           .store = this->store,
           .membership = this->membership,
           .ownership = this->ownership,
           .configuration = this->configuration})
    , run_leases(context, this->ownership, this->links)
    , beat(context.control.get_executor(), [this] { this->on_beat(); })
{
    this->links.on_changed([this](std::shared_ptr<link_table const> changed) {
        this->publisher.set_links(std::move(changed));
    });
}

void control_plane::start()
{
    this->hosts.start([this] { this->on_workers_changed(); });
    this->ownership.handle(cluster::ownership_tick{});
    this->membership.start();
    this->configuration.start();
    this->on_beat();
}

cell_services control_plane::make_cell_services()
{
    return {
        .shared = this->shared,
        .store = this->store,
        .objects = this->objects,
        .agents = this->agents,
        .hosts = this->hosts,
        .find_owned =
            [this](base::cell_id const& cell) {
                return this->ownership.state().find(cell);
            },
        .adopted =
            [this](base::worker_id const& worker, std::int32_t in_progress) {
                this->publisher.on_adopted(worker, in_progress);
            },
        .refused =
            [this](base::cell_id const& cell, std::string const& reason) {
                // Posted, because the driver that calls this is in use.
                this->shared.post_control([this, cell, reason] {
                    this->on_cell_refused(cell, reason);
                });
            },
        .run_lease = [this] { return this->run_leases.length(); },
        .settings =
            [this](base::cell_id const& cell) {
                return this->settings_for(cell);
            }};
}

ownership_listener control_plane::make_ownership_listener()
{
    return {
        .gained =
            [this](cluster::cell_gained const& gained) {
                this->on_cell_gained(gained);
            },
        .lost =
            [this](cluster::cell_lost const& lost) {
                this->on_cell_lost(lost);
            },
        .observed =
            [this] {
                cluster::seeds_changed seeds;
                for (auto const& host : this->ownership.state().hosts()) {
                    seeds.seeds.push_back({host.host, host.address});
                }
                this->membership.handle(seeds);
                this->publisher.publish();
            },
        .stopped =
            [this] {
                if (this->released) {
                    this->released();
                }
            }};
}

membership_listener control_plane::make_membership_listener()
{
    return {
        .members_changed = [this] { this->on_members_changed(); },
        .heard =
            [this](cluster::member_heard const& heard) {
                this->configuration.handle(cluster::peer_version_seen{
                    heard.host, heard.configuration_version});
                this->loads.take_bytes(heard.attachment);
            }};
}

batch::scheduler_settings
control_plane::settings_for(base::cell_id const& cell) const
{
    return to_scheduler_settings(
        this->configuration.state().document(), cell, this->hosts.workers(),
        base::wall_time_ms());
}

void control_plane::on_workers_changed()
{
    this->has_workers = true;
    this->ownership.set_workers(this->hosts.workers());
    this->cells.set_workers();
    this->loads.keep(this->hosts.cells());
    this->configuration.set_workers(this->hosts.workers());
    this->publisher.publish();
}

void control_plane::on_members_changed()
{
    auto const members = this->membership.hosts();
    this->store.set_members(members.size() + 1);
    this->links.keep(members);
    this->configuration.handle(cluster::peers_changed{members});
    this->publisher.publish();
}

void control_plane::on_configuration()
{
    this->cells.update_settings();
    auto const& document = this->configuration.state().document();
    auto const wall = base::wall_time_ms();
    for (auto const& [cell, driver] : this->cells.all()) {
        order_workers(document, wall, this->hosts.workers_of(cell), *driver);
    }
    this->publisher.publish();
}

void control_plane::on_cell_gained(cluster::cell_gained const& gained)
{
    this->cells.gain(gained.cell, gained.epoch);
    this->announce_takeover(gained);
    order_workers(
        this->configuration.state().document(), base::wall_time_ms(),
        this->hosts.workers_of(gained.cell), *this->cells.find(gained.cell));
    this->publisher.publish();
}

void control_plane::on_cell_lost(cluster::cell_lost const& lost)
{
    this->cells.lose(lost.cell);
    this->publisher.publish();
}

void control_plane::on_cell_refused(
    base::cell_id const& cell, std::string const& reason)
{
    auto const owned = this->ownership.state().find(cell);
    if (!owned) {
        return;
    }
    base::event_line line{"cell_refused"};
    this->shared.log.write(line.add("cell", cell).add("reason", reason));
    this->ownership.handle(
        cluster::owner_row_refused{cell, owned->owner_row + 1});
}

void control_plane::on_beat()
{
    ++this->beats;
    this->loads.measure();
    this->membership.handle(cluster::attachment_changed{
        this->configuration.state().document().version(), this->loads.bytes()});
    this->publisher.publish_addresses(this->loads.header());
    this->monitor.measure();
    this->run_leases.update();
    this->cells.set_lease_confirmed(this->run_leases.is_confirmed());
    this->update_ready();
    if (this->beats % 2 == 0) {
        this->loads.send(this->membership.hosts());
    }
    if (this->beats % 4 == 0) {
        this->monitor.poll_inherited();
        this->tasks.rebalance();
        this->reporter.update();
    }
    auto const now = this->shared.now();
    this->beat.wake_at(now + beat_interval, now);
}

void control_plane::announce_takeover(cluster::cell_gained const& gained)
{
    auto const body = gained.cell.str() + " " + std::to_string(gained.epoch);
    for (auto const& host : this->membership.hosts()) {
        this->links.send(host, "/peer/taken", body);
    }
}

void control_plane::on_taken(
    base::cell_id const& cell, formats::epoch_number epoch)
{
    auto const owned = this->ownership.state().find(cell);
    if (owned && owned->epoch < epoch) {
        this->on_cell_refused(cell, "taken by a peer");
    }
}

void control_plane::update_ready()
{
    bool const is_now_ready = this->has_workers && !this->is_stopping &&
                              this->configuration.state().is_ready();
    if (is_now_ready != this->ready) {
        this->ready = is_now_ready;
        base::event_line line{"ready_changed"};
        this->shared.log.write(line.add("ready", is_now_ready));
    }
    // A host that is stopping still serves the calls that arrive.
    this->calls.set_ready(is_now_ready || this->is_stopping);
}

void control_plane::handle_caller(
    transport::received_request received, transport::responder reply)
{
    if (!received.target.starts_with("/v1/")) {
        this->calls.handle_call(std::move(received), std::move(reply));
        return;
    }
    auto holder = std::make_shared<transport::responder>(std::move(reply));
    this->shared.post_control([this, received = std::move(received), holder] {
        if (received.target.starts_with("/v1/tasks")) {
            this->tasks.handle_request(received, std::move(*holder));
        } else {
            holder->send(error_response(
                404, "not_found", "callers use /v1/tasks or /<service>/..."));
        }
    });
}

void control_plane::handle_peer(
    transport::received_request received, transport::responder reply)
{
    this->peers.handle(std::move(received), std::move(reply));
}

void control_plane::handle_operator(
    transport::received_request received, transport::responder reply)
{
    auto holder = std::make_shared<transport::responder>(std::move(reply));
    this->shared.post_control([this, received = std::move(received), holder] {
        this->operators.handle(received, std::move(*holder));
    });
}

void control_plane::stop(std::function<void()> on_released)
{
    this->is_stopping = true;
    this->released = std::move(on_released);
    this->update_ready();
    this->ownership.stop();
}

void control_plane::leave()
{
    this->membership.handle(cluster::leave_requested{});
}

void control_plane::close()
{
    this->links.stop();
    this->calls.stop();
    this->agent_pool.stop();
    this->platform_pool.stop();
}

} // namespace foxtaillift::daemon
