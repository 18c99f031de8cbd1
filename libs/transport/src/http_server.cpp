#include "foxtaillift/transport/http_server.hpp"

#include "foxtaillift/base/error.hpp"
#include "http_server_core.hpp"
#include "http_session.hpp"
#include "server_frame.hpp"

namespace foxtaillift::transport
{

class http_server::implementation : public server_frame<http_server_core>
{
public:
    implementation(
        net::io_context& io,
        http_server_options const& options,
        request_handler handler)
        : server_frame(
              io,
              std::make_shared<http_server_core>(options, std::move(handler)),
              options.receive_buffer)
    {
        if (!this->core->options.tls_key.empty()) {
            this->tls = make_tls_context(
                tls_role::server, "operator", this->core->options.tls_key);
        }
    }

protected:
    void connect(tcp::socket socket, std::string const& remote) override
    {
        std::shared_ptr<http_session_base> session;
        if (this->tls) {
            session = std::make_shared<http_session<tls_stream>>(
                this->core, remote, std::move(socket), *this->tls);
        } else {
            session = std::make_shared<http_session<tcp::socket>>(
                this->core, remote, std::move(socket));
        }
        switch (this->core->add(remote, session)) {
        case admission::accepted:
            session->start();
            break;
        case admission::address_limit:
            session->refuse(429, "too many connections from this address");
            break;
        case admission::server_limit:
            session->refuse(503, "too many connections");
            break;
        case admission::closed:
            break;
        }
    }

private:
    std::shared_ptr<net::ssl::context> tls;
};

http_server::http_server(
    net::io_context& io,
    http_server_options const& options,
    request_handler handler)
    : impl(std::make_shared<implementation>(io, options, std::move(handler)))
{
    this->impl->start();
}

http_server::~http_server()
{
    this->abort();
}

std::uint16_t http_server::port() const
{
    return this->impl->port();
}

std::size_t http_server::requests_in_progress() const
{
    return this->impl->requests_in_progress();
}

http_server_statistics http_server::statistics() const
{
    auto const& core = *this->impl->core;
    return {
        .connections_accepted = core.counters.accepted,
        .connections_refused = core.counters.refused,
        .requests = core.counters.requests,
        .bad_requests = core.counters.bad_requests,
        .disconnects = core.counters.disconnects,
        .handshakes_failed = core.counters.handshakes_failed,
        .connections_open = core.connections(),
        .buffered_bytes = core.budget.used(),
        .dropped_for_memory = core.counters.dropped_for_memory,
        .dropped_for_connections = core.counters.dropped_for_connections,
        .refused_for_memory = core.counters.refused_for_memory};
}

void http_server::limit_connections(std::size_t most)
{
    this->impl->core->limit_connections(most);
}

void http_server::stop(std::function<void()> on_stopped)
{
    this->impl->stop(std::move(on_stopped));
}

void http_server::abort()
{
    this->impl->abort();
}

} // namespace foxtaillift::transport
