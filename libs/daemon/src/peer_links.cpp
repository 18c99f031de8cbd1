#include "peer_links.hpp"

#include "key_bytes.hpp"

#include "foxtaillift/settings/address.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

peer_links::peer_links(context& context)
    : shared(context)
{
    for (auto const& text : context.settings.peer.routes) {
        auto route = settings::parse_route(text);
        this->routes.emplace(
            base::host_id{route->host}, std::move(route->address));
    }
}

std::shared_ptr<transport::peer_client>
peer_links::open(std::string const& address) const
{
    auto const& peer = this->shared.settings.peer;
    return std::make_shared<transport::peer_client>(
        this->shared.calls, transport::peer_client_options{
                                .address = address,
                                .key = key_bytes(peer.key),
                                .ping_interval = peer.ping_interval,
                                .dead_after = peer.ping_timeout});
}

std::shared_ptr<transport::peer_client>
peer_links::link_to(base::host_id const& host, std::string const& stated)
{
    auto const route = this->routes.find(host);
    auto const& address = route == this->routes.end() ? stated : route->second;
    auto& entry = this->entries[host];
    if (!entry.link || entry.address != address) {
        entry = {address, this->open(address), ++this->last_number};
        this->publish();
    }
    return entry.link;
}

std::shared_ptr<transport::peer_client>
peer_links::find(base::host_id const& host) const
{
    auto const found = this->entries.find(host);
    return found == this->entries.end() ? nullptr : found->second.link;
}

void peer_links::keep(std::vector<base::host_id> const& hosts)
{
    auto const erased = std::erase_if(this->entries, [&](auto const& item) {
        return std::find(hosts.begin(), hosts.end(), item.first) == hosts.end();
    });
    if (erased > 0) {
        this->publish();
    }
}

void peer_links::on_changed(
    std::function<void(std::shared_ptr<link_table const>)> to)
{
    this->changed = std::move(to);
}

void peer_links::publish()
{
    if (!this->changed) {
        return;
    }
    auto table = std::make_shared<link_table>();
    for (auto const& [host, entry] : this->entries) {
        table->emplace(host, entry.link);
    }
    this->changed(std::move(table));
}

void peer_links::send(
    base::host_id const& host,
    transport::request message,
    base::duration timeout,
    transport::exchange_callback done)
{
    auto const link = this->find(host);
    if (!link) {
        done(
            {.outcome = transport::delivery::not_sent,
             .reason = transport::failure_reason::no_connection,
             .message = "no link to host " + host.str(),
             .answer = {}});
        return;
    }
    link->send(
        std::move(message), timeout,
        [this, done = std::move(done)](transport::exchange_result result) {
            this->shared.post_control(
                [done, result = std::move(result)]() mutable {
                    done(std::move(result));
                });
        });
}

void peer_links::send(
    base::host_id const& host, std::string path, std::string body)
{
    this->send(
        host,
        {.method = "POST",
         .target = std::move(path),
         .headers = {},
         .body = std::move(body)},
        base::seconds(2), [](transport::exchange_result const&) {});
}

std::optional<link_state> peer_links::state_of(base::host_id const& host) const
{
    auto const found = this->entries.find(host);
    if (found == this->entries.end()) {
        return std::nullopt;
    }
    auto const& entry = found->second;
    auto const statistics = entry.link->statistics();
    return link_state{
        statistics.is_connected, entry.number, statistics.connections_opened};
}

void peer_links::stop()
{
    for (auto& [host, entry] : this->entries) {
        entry.link->stop([] {});
    }
}

} // namespace foxtaillift::daemon
