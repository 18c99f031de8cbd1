#include "foxtaillift/transport/peer_server.hpp"

#include "peer_server_link.hpp"
#include "server_frame.hpp"

namespace foxtaillift::transport
{

peer_server_core::peer_server_core(
    peer_server_options server_options, request_handler on_request)
    : options(std::move(server_options))
    , handler(std::move(on_request))
    , budget(this->options.buffer_limit)
    , in_progress(std::make_shared<std::atomic<std::size_t>>(0))
{}

bool peer_server_core::add(std::shared_ptr<peer_server_link> const& link)
{
    std::scoped_lock const lock{this->mutex};
    if (this->open.size() >= this->options.connections) {
        ++this->counters.refused;
        return false;
    }
    ++this->counters.accepted;
    this->open[link.get()] = link;
    return true;
}

void peer_server_core::remove(peer_server_link const* link)
{
    std::function<void()> done;
    {
        std::scoped_lock const lock{this->mutex};
        if (this->open.erase(link) > 0 && this->open.empty()) {
            done = std::exchange(this->on_stopped, nullptr);
        }
    }
    if (done) {
        done();
    }
}

std::vector<std::shared_ptr<peer_server_link>> peer_server_core::links() const
{
    std::vector<std::shared_ptr<peer_server_link>> result;
    std::scoped_lock const lock{this->mutex};
    for (auto const& [key, value] : this->open) {
        if (auto link = value.lock()) {
            result.push_back(std::move(link));
        }
    }
    return result;
}

std::size_t peer_server_core::connections() const
{
    std::scoped_lock const lock{this->mutex};
    return this->open.size();
}

void peer_server_core::drain_all()
{
    this->is_draining = true;
    for (auto const& link : this->links()) {
        link->drain();
    }
}

void peer_server_core::abort_all()
{
    for (auto const& link : this->links()) {
        link->abort();
    }
}

void peer_server_core::finish(std::function<void()> callback)
{
    {
        std::scoped_lock const lock{this->mutex};
        if (!this->open.empty()) {
            this->on_stopped = std::move(callback);
            return;
        }
    }
    callback();
}

class peer_server::implementation : public server_frame<peer_server_core>
{
public:
    implementation(
        net::io_context& io,
        peer_server_options options,
        request_handler handler)
        : server_frame(
              io,
              std::make_shared<peer_server_core>(
                  std::move(options), std::move(handler)))
        , tls(make_tls_context(
              tls_role::server, "peer", this->core->options.key))
    {}

protected:
    void connect(tcp::socket socket, std::string const& remote) override
    {
        auto const link = std::make_shared<peer_server_link>(
            this->core, remote, std::move(socket), this->tls);
        if (this->core->add(link)) {
            link->run();
        }
    }

private:
    std::shared_ptr<net::ssl::context> tls;
};

peer_server::peer_server(
    net::io_context& io, peer_server_options options, request_handler handler)
    : impl(std::make_shared<implementation>(
          io, std::move(options), std::move(handler)))
{
    this->impl->start();
}

peer_server::~peer_server()
{
    this->abort();
}

std::uint16_t peer_server::port() const
{
    return this->impl->port();
}

std::size_t peer_server::requests_in_progress() const
{
    return this->impl->requests_in_progress();
}

peer_server_statistics peer_server::statistics() const
{
    auto const& core = *this->impl->core;
    return {
        .connections_accepted = core.counters.accepted,
        .connections_refused = core.counters.refused,
        .handshakes_failed = core.counters.handshakes_failed,
        .connections_dead = core.counters.dead,
        .requests = core.counters.requests,
        .bad_requests = core.counters.bad_requests,
        .cancelled = core.counters.cancelled,
        .connections_open = core.connections(),
        .buffered_bytes = core.budget.used()};
}

void peer_server::stop(std::function<void()> on_stopped)
{
    this->impl->stop(std::move(on_stopped));
}

void peer_server::abort()
{
    this->impl->abort();
}

} // namespace foxtaillift::transport
