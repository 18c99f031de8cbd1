#include "control_plane.hpp"
#include "key_bytes.hpp"

#include "foxtaillift/daemon/daemon.hpp"
#include "foxtaillift/settings/address.hpp"
#include "foxtaillift/transport/http_server.hpp"
#include "foxtaillift/transport/peer_server.hpp"

#include <csignal>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

namespace foxtaillift::daemon
{

namespace
{

std::string with_port(std::string const& address, std::uint16_t port)
{
    auto parsed = settings::parse_address(address);
    parsed->port = port;
    return parsed->str();
}

} // namespace

/// Phases of a shutdown, in order: draining (calls are still accepted),
/// finishing (requests in progress end), closing.
struct entry_host::implementation
{
    explicit implementation(settings::daemon_settings settings)
        : log(
              {.queue_lines =
                   static_cast<std::size_t>(settings.log.queue_lines),
               .sink = {}})
        , shared{.settings = std::move(settings), .log = this->log, .metrics = this->metrics, .control = this->control, .calls = this->calls}
        , peer_server(
              this->calls,
              {.address = this->shared.settings.listen.peers,
               .key = key_bytes(this->shared.settings.peer.key),
               .ping_interval = this->shared.settings.peer.ping_interval,
               .dead_after = this->shared.settings.peer.ping_timeout},
              [this](auto request, auto reply) {
                  this->plane->handle_peer(
                      std::move(request), std::move(reply));
              })
        , peer_address(with_port(
              this->shared.settings.listen.peers, this->peer_server.port()))
        , plane(
              std::make_unique<control_plane>(this->shared, this->peer_address))
        , signals(this->control, SIGTERM, SIGINT)
        , drain_timer(this->control.get_executor(), [this] { this->finish(); })
        , grace_timer(this->control.get_executor(), [this] {
            this->give_up("bound of the shutdown");
        })
    {
        this->open_listeners();
    }

    void open_listeners()
    {
        auto const& settings = this->shared.settings;
        auto const& limits = settings.calls;
        this->caller_server.emplace(
            this->calls,
            transport::http_server_options{
                .address = settings.listen.callers,
                .tls_key = {},
                .header_limit = static_cast<std::size_t>(limits.header_limit),
                .body_limit = static_cast<std::size_t>(limits.body_limit),
                .buffer_limit = static_cast<std::size_t>(limits.buffer_limit),
                .header_timeout = limits.header_timeout,
                .connections_per_address =
                    static_cast<std::size_t>(limits.connections_per_address),
                .connections = static_cast<std::size_t>(limits.connections)},
            [this](auto request, auto reply) {
                this->plane->handle_caller(
                    std::move(request), std::move(reply));
            });
        this->operator_server.emplace(
            this->calls,
            transport::http_server_options{
                .address = settings.listen.operators,
                .tls_key = key_bytes(settings.operators.key)},
            [this](auto request, auto reply) {
                this->plane->handle_operator(
                    std::move(request), std::move(reply));
            });
        this->monitor_server.emplace(
            this->calls,
            transport::http_server_options{
                .address = settings.listen.monitors, .tls_key = {}},
            [this](auto const& request, auto reply) {
                reply.send(this->monitor(request.target));
            });
    }

    void set_gauge(char const* name, char const* help, std::uint64_t value)
    {
        this->metrics.gauge_of(name, help)
            .set(static_cast<std::int64_t>(value));
    }

    void update_caller_metrics()
    {
        auto const now = this->caller_server->statistics();
        this->set_gauge(
            "foxtail_caller_connections", "Open connections of callers.",
            now.connections_open);
        this->set_gauge(
            "foxtail_caller_buffer_bytes",
            "Bytes that connections and requests of callers hold.",
            now.buffered_bytes);
        this->set_gauge(
            "foxtail_callers_dropped_for_memory",
            "Connections without a whole request that gave way at "
            "calls.buffer_limit.",
            now.dropped_for_memory);
        this->set_gauge(
            "foxtail_callers_dropped_for_connections",
            "Connections without a whole request that gave way at a limit of "
            "connections.",
            now.dropped_for_connections);
        this->set_gauge(
            "foxtail_callers_refused_for_memory",
            "Requests refused at calls.buffer_limit.", now.refused_for_memory);
        this->set_gauge(
            "foxtail_caller_connections_refused",
            "Connections refused at a limit of connections.",
            now.connections_refused);
    }

    [[nodiscard]] transport::response monitor(std::string const& target)
    {
        if (target == "/metrics") {
            this->update_caller_metrics();
            return {
                .status = 200,
                .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                .body = this->metrics.text()};
        }
        if (target == "/healthz") {
            return {.status = 200, .headers = {}, .body = "alive\n"};
        }
        if (target == "/readyz") {
            bool const ready = this->plane->is_ready();
            return {
                .status = ready ? 200 : 503,
                .headers = {},
                .body = ready ? "ready\n" : "not ready\n"};
        }
        return {.status = 404, .headers = {}, .body = "not found\n"};
    }

    void wait_for_signal()
    {
        this->signals.async_wait(
            [this](boost::system::error_code failure, int number) {
                if (failure) {
                    return;
                }
                if (this->is_stopping) {
                    this->give_up("second signal");
                    return;
                }
                this->begin_stop(number);
                this->wait_for_signal();
            });
    }

    void begin_stop(int number)
    {
        this->is_stopping = true;
        this->log.write(
            base::event_line{"shutdown_started"}.add("signal", number));
        auto const now = this->shared.now();
        auto const& shutdown = this->shared.settings.shutdown;
        this->grace_timer.wake_at(
            now + shutdown.drain_delay + shutdown.grace, now);
        this->drain_timer.wake_at(now + shutdown.drain_delay, now);
        this->plane->stop([this] {
            this->are_cells_released = true;
            this->log.write(base::event_line{"cells_released"});
            this->close_if_done();
        });
    }

    /// The balancer has seen that this host is not ready.
    void finish()
    {
        this->caller_server->stop([this] {
            boost::asio::post(this->control, [this] {
                this->are_callers_done = true;
                this->close_if_done();
            });
        });
    }

    void close_if_done()
    {
        if (!this->are_cells_released || !this->are_callers_done ||
            this->is_closing) {
            return;
        }
        this->is_closing = true;
        this->plane->leave();
        // Calls that peers forwarded here end before the links close.
        this->peer_server.stop([this] {
            boost::asio::post(this->control, [this] {
                this->log.write(base::event_line{"shutdown_finished"});
                this->end(0);
            });
        });
    }

    void give_up(char const* reason)
    {
        base::event_line line{"shutdown_cut"};
        line.add("reason", reason);
        line.add("calls", this->caller_server->requests_in_progress());
        line.add("forwarded", this->peer_server.requests_in_progress());
        line.add("cells_released", this->are_cells_released);
        this->log.write(line);
        this->end(1);
    }

    void end(int status)
    {
        this->exit_status = status;
        this->plane->close();
        this->control.stop();
    }

    logging::log_writer log;
    metrics::registry metrics;
    boost::asio::io_context control{1};
    boost::asio::io_context calls;
    context shared;
    transport::peer_server peer_server;
    std::string peer_address;
    std::unique_ptr<control_plane> plane;
    std::optional<transport::http_server> caller_server;
    std::optional<transport::http_server> operator_server;
    std::optional<transport::http_server> monitor_server;
    boost::asio::signal_set signals;
    wake_timer drain_timer;
    wake_timer grace_timer;
    bool is_stopping = false;
    bool are_cells_released = false;
    bool are_callers_done = false;
    bool is_closing = false;
    int exit_status = 0;
};

entry_host::entry_host(settings::daemon_settings settings)
    : impl(std::make_unique<implementation>(std::move(settings)))
{}

entry_host::~entry_host() = default;

int entry_host::run(
    std::function<void(std::string_view, std::string const&)> const& listening)
{
    auto& self = *this->impl;
    auto const& listen = self.shared.settings.listen;
    listening("callers", with_port(listen.callers, self.caller_server->port()));
    listening("peers", self.peer_address);
    listening(
        "operators", with_port(listen.operators, self.operator_server->port()));
    listening(
        "monitors", with_port(listen.monitors, self.monitor_server->port()));

    auto const guard = boost::asio::make_work_guard(self.calls);
    std::vector<std::thread> threads;
    threads.reserve(
        static_cast<std::size_t>(self.shared.settings.calls.threads));
    for (int i = 0; i < self.shared.settings.calls.threads; ++i) {
        threads.emplace_back([&self] { self.calls.run(); });
    }
    self.wait_for_signal();
    boost::asio::post(self.control, [&self] { self.plane->start(); });
    self.control.run();
    self.calls.stop();
    for (auto& thread : threads) {
        thread.join();
    }
    return self.exit_status;
}

} // namespace foxtaillift::daemon
