/// Carries out the scheduler's orders and tells it how they ended.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/order_relays.hpp"
#include "foxtaillift/jobs/scheduler.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace foxtaillift::jobs
{

/// Not thread-safe.
template <host_ports Ports>
class order_sender : public std::enable_shared_from_this<order_sender<Ports>>
{
public:
    /// `on_news` is called when further decisions may be due.
    order_sender(
        Ports& ports_to_use,
        scheduler& scheduler_to_use,
        std::shared_ptr<order_relays<Ports>> relays_to_use,
        std::function<void()> on_news)
        : ports(ports_to_use)
        , decisions(scheduler_to_use)
        , relays(std::move(relays_to_use))
        , wake(std::move(on_news))
    {}

    void send(std::vector<worker_order> const& orders)
    {
        for (auto const& wanted : orders) {
            std::visit(
                [this](auto const& order) { this->carry_out(order); }, wanted);
        }
    }

    /// Answers that are still due are ignored. Call before the scheduler is
    /// destroyed.
    void stop()
    {
        this->is_stopped = true;
        this->relays->stop();
    }

    /// Orders since the last call, by kind.
    struct order_counts
    {
        int looks = 0;
        int starts = 0;
        int stops = 0;
        int paces = 0;
    };
    order_counts take_counts() { return std::exchange(this->counts, {}); }

private:
    template <class Function>
    auto guarded(Function function)
    {
        return [self = this->shared_from_this(),
                function = std::move(function)](auto&&... arguments) {
            if (!self->is_stopped) {
                function(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

    void carry_out(look_order const& order)
    {
        ++this->counts.looks;
        auto const sent_at = this->ports.now();
        this->relays->send(
            order, this->guarded([this, id = order.worker, sent_at,
                                  is_extra = order.is_extra](
                                     order_status status,
                                     worker_report const& report) {
                this->decisions.on_look(
                    id, status, report, sent_at, this->ports.now(), is_extra);
                this->wake();
            }));
    }

    void carry_out(start_order const& order)
    {
        ++this->counts.starts;
        this->relays->send(
            order,
            this->guarded([this, id = order.worker, run = order.run](
                              order_status status, worker_report const&) {
                this->decisions.on_start(id, run, status, this->ports.now());
                if (status != order_status::done) {
                    this->wake();
                }
            }));
    }

    void carry_out(stop_order const& order)
    {
        ++this->counts.stops;
        this->relays->send(
            order,
            this->guarded([this, id = order.worker, run = order.run](
                              order_status status, worker_report const&) {
                this->decisions.on_stop(id, run, status, this->ports.now());
                this->wake();
            }));
    }

    void carry_out(pace_order const& order)
    {
        ++this->counts.paces;
        this->relays->send(
            order,
            this->guarded([this, id = order.worker, run = order.run](
                              order_status status, worker_report const&) {
                this->decisions.on_pace(id, run, status, this->ports.now());
                if (status != order_status::done) {
                    this->wake();
                }
            }));
    }

    void carry_out(advice_order const& order)
    {
        this->ports.advise(
            order,
            this->guarded([this, order](std::optional<advice> const& answer) {
                this->decisions.on_advice(order, answer, this->ports.now());
                this->wake();
            }));
    }

    Ports& ports;
    scheduler& decisions;
    std::shared_ptr<order_relays<Ports>> relays;
    std::function<void()> wake;
    order_counts counts{};
    bool is_stopped = false;
};

} // namespace foxtaillift::jobs
