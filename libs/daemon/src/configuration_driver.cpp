#include "configuration_driver.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

store::object_result to_store(transport::object_result result)
{
    using from = transport::object_status;
    store::object_result out;
    out.body = std::move(result.content);
    out.message = std::move(result.message);
    switch (result.status) {
    case from::done:
        out.status = store::object_status::done;
        break;
    case from::exists:
        out.status = store::object_status::exists;
        break;
    case from::absent:
        out.status = store::object_status::absent;
        break;
    case from::rejected:
        out.status = store::object_status::rejected;
        break;
    case from::unknown:
        out.status = store::object_status::unknown;
        break;
    }
    return out;
}

} // namespace

configuration_driver::configuration_driver(
    context& context,
    store_driver& table,
    transport::object_client& object_store,
    peer_links& peers,
    std::function<void()> on_in_force)
    : shared(context)
    , store(table)
    , objects(object_store)
    , links(peers)
    , in_force(std::move(on_in_force))
    , engine(
          {.host = base::host_id{context.settings.host.id},
           .process = context.process})
    , timer(context.control.get_executor(), [this] {
        this->handle(cluster::configuration_tick{});
    })
{}

void configuration_driver::handle(cluster::configuration_event const& event)
{
    std::vector<cluster::configuration_action> actions;
    auto const now = this->shared.now();
    this->engine.handle(
        event, now, base::wall_time_ms(), this->shared.random, actions);
    for (auto& action : actions) {
        std::visit(
            [this](auto& wanted) { this->perform(std::move(wanted)); }, action);
    }
    if (this->expiries.check(this->engine.document(), base::wall_time_ms())) {
        base::event_line line{"override_expired"};
        this->shared.log.write(
            line.add("version", this->engine.document().version()));
        this->in_force();
    }
    auto wake = this->engine.wake_at();
    if (auto const expiry = this->expiries.next()) {
        auto const left = *expiry - base::wall_time_ms();
        wake = std::min(wake, now + base::milliseconds(left));
    }
    this->timer.wake_at(wake, now);
}

void configuration_driver::set_workers(
    std::vector<formats::worker_entry> const& workers)
{
    cluster::fleet_changed fleet;
    fleet.fleet.workers = workers;
    for (auto const& worker : workers) {
        for (auto const& service : worker.services) {
            auto& needs = fleet.fleet.needs;
            auto const name = "service " + service.str();
            auto const known =
                std::any_of(needs.begin(), needs.end(), [&](auto const& need) {
                    return need.name == name;
                });
            if (!known) {
                needs.push_back(
                    {.name = name, .service = service.str(), .size = {}});
            }
        }
    }
    this->handle(fleet);
}

void configuration_driver::change(
    cluster::change_requested request, answer_handler done)
{
    request.request = this->next_request++;
    this->waiting[request.request] = std::move(done);
    this->handle(request);
}

void configuration_driver::roll_back(
    cluster::rollback_requested request, answer_handler done)
{
    request.request = this->next_request++;
    this->waiting[request.request] = std::move(done);
    this->handle(request);
}

void configuration_driver::perform(store::submission action)
{
    this->store.submit(
        std::move(action),
        [this](store::completion const& finished) { this->handle(finished); });
}

void configuration_driver::perform(
    cluster::read_configuration_rows const& action)
{
    this->store.read(
        action.keys,
        [this, request = action.request](formats::rows_result result) {
            this->handle(
                cluster::configuration_rows_read{request, std::move(result)});
        });
}

void configuration_driver::perform(
    cluster::get_configuration_object const& action)
{
    this->objects.async_get(
        action.name,
        [this, request = action.request](transport::object_result result) {
            this->handle(cluster::configuration_object_finished{
                request, to_store(std::move(result))});
        });
}

void configuration_driver::perform(cluster::put_configuration_object action)
{
    this->objects.async_put_if_absent(
        action.name, std::move(action.body),
        [this, request = action.request](transport::object_result result) {
            this->handle(cluster::configuration_object_finished{
                request, to_store(std::move(result))});
        });
}

void configuration_driver::perform(
    cluster::send_configuration_push const& action)
{
    this->links.send(
        action.to, "/peer/config/push", cluster::encode(action.content));
}

void configuration_driver::perform(
    cluster::send_configuration_pull const& action)
{
    this->links.send(
        action.to, "/peer/config/pull", cluster::encode(action.content));
}

void configuration_driver::perform(
    cluster::send_configuration_acknowledge const& action)
{
    this->links.send(
        action.to, "/peer/config/acknowledge", cluster::encode(action.content));
}

void configuration_driver::perform(cluster::change_answer const& action)
{
    auto const found = this->waiting.find(action.request);
    if (found == this->waiting.end()) {
        return;
    }
    auto const done = std::move(found->second);
    this->waiting.erase(found);
    done(action);
}

void configuration_driver::perform(
    cluster::configuration_in_force const& action)
{
    base::event_line line{"configuration_in_force"};
    this->shared.log.write(line.add("version", action.version));
    this->in_force();
}

void configuration_driver::perform(store::log_line action)
{
    this->shared.log.write(std::move(action.text));
}

} // namespace foxtaillift::daemon
