#include "membership_driver.hpp"

#include "key_bytes.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

constexpr auto seed_interval = base::milliseconds(1000);

} // namespace

membership_driver::membership_driver(
    context& context,
    peer_links& peers,
    std::string peer_address,
    membership_listener to)
    : shared(context)
    , links(peers)
    , address(std::move(peer_address))
    , listener(std::move(to))
    , engine(
          {.host = base::host_id{context.settings.host.id},
           .address = this->address,
           // Wall time, so that a replaced host starts above its predecessor.
           .incarnation = static_cast<std::uint64_t>(base::wall_time_ms())})
    , timer(
          context.control.get_executor(),
          [this] { this->handle(cluster::membership_tick{}); })
    , seed_timer(context.control.get_executor(), [this] { this->find_seeds(); })
{}

void membership_driver::start()
{
    this->handle(cluster::membership_tick{});
    this->find_seeds();
}

void membership_driver::handle(cluster::membership_event const& event)
{
    std::vector<cluster::membership_action> actions;
    auto const now = this->shared.now();
    this->engine.handle(event, now, this->shared.random, actions);
    for (auto& action : actions) {
        std::visit(
            [this](auto& wanted) { this->perform(std::move(wanted)); }, action);
    }
    this->timer.wake_at(this->engine.wake_at(), now);
}

void membership_driver::find_seeds()
{
    if (!this->engine.members().empty()) {
        this->seed_links.clear();
        return;
    }
    for (auto const& seed : this->shared.settings.peer.seeds) {
        if (seed != this->address) {
            this->ask_seed(seed);
        }
    }
    auto const now = this->shared.now();
    this->seed_timer.wake_at(now + seed_interval, now);
}

void membership_driver::ask_seed(std::string const& seed)
{
    auto& link = this->seed_links[seed];
    if (!link) {
        link = std::make_shared<transport::peer_client>(
            this->shared.calls,
            transport::peer_client_options{
                .address = seed,
                .key = key_bytes(this->shared.settings.peer.key)});
    }
    auto on_answer = [this, seed](transport::exchange_result const& result) {
        if (result.outcome != transport::delivery::answered ||
            result.answer.status != 200) {
            return;
        }
        this->shared.post_control(
            [this, seed, host = base::host_id{result.answer.body}] {
                this->seeds[host] = seed;
                cluster::seeds_changed event;
                for (auto const& [name, where] : this->seeds) {
                    event.seeds.push_back({name, where});
                }
                this->handle(event);
            });
    };
    link->send(
        {.method = "GET", .target = "/peer/hello", .headers = {}, .body = {}},
        seed_interval, std::move(on_answer));
}

std::vector<base::host_id> membership_driver::hosts() const
{
    std::vector<base::host_id> names;
    for (auto const& member : this->engine.members()) {
        names.push_back(member.host);
    }
    return names;
}

bool membership_driver::is_member(base::host_id const& host) const
{
    auto const members = this->engine.members();
    return std::any_of(members.begin(), members.end(), [&](auto const& member) {
        return member.host == host;
    });
}

void membership_driver::perform(cluster::send_heartbeat const& action)
{
    this->links.link_to(action.to, action.address);
    this->links.send(
        action.to, "/peer/heartbeat", cluster::encode(action.content));
}

void membership_driver::perform(cluster::member_joined const& action)
{
    this->links.link_to(action.host, action.address);
    base::event_line line{"member_joined"};
    line.add("host", action.host).add("address", action.address);
    this->shared.log.write(line);
    this->listener.members_changed();
}

void membership_driver::perform(cluster::member_suspected const& action)
{
    base::event_line line{"member_suspected"};
    this->shared.log.write(line.add("host", action.host));
}

void membership_driver::perform(cluster::member_removed const& action)
{
    base::event_line line{"member_removed"};
    this->shared.log.write(line.add("host", action.host));
    this->listener.members_changed();
}

void membership_driver::perform(cluster::member_heard const& action)
{
    this->listener.heard(action);
}

void membership_driver::perform(store::log_line action)
{
    this->shared.log.write(std::move(action.text));
}

} // namespace foxtaillift::daemon
