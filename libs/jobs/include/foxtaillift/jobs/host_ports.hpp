/// What connects the job service of an entry host to the outside.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace foxtaillift::jobs
{

/// Callbacks come once each, never from within the call. Not thread-safe.
///
/// - `now` counts while the host is suspended; `wall_ms` is the time of day.
/// - `read` returns the rows of a table from one key up to another (excluded;
///   empty: all), `watch` those that changed since a version, `change` carries
///   a change out as a whole or not at all.
/// - `look`, `start`, `stop` and `pace` are orders to workers, `advise` asks
///   the adviser of a queue; `ask` sends a request to another entry host.
/// - While `follow_workers(true)` holds, the owner reports the platform's list
///   of workers to the coordinator.
template <class Ports>
concept host_ports = requires(
    Ports& ports,
    std::string const& text,
    base::duration span,
    std::function<void()> task,
    std::function<void(rows_result)> on_rows,
    std::function<void(change_result)> on_change,
    std::function<void(order_status, worker_report const&)> on_report,
    std::function<void(order_status)> on_order,
    std::function<void(std::optional<advice>)> on_advice,
    std::function<void(std::optional<peer_reply>)> on_reply,
    std::int64_t version)
{
    {
        ports.now()
        } -> std::same_as<base::instant>;
    {
        ports.wall_ms()
        } -> std::same_as<std::int64_t>;
    ports.after(span, task);
    ports.log(base::event_line{"name"});
    ports.read(text, text, text, on_rows);
    ports.watch(text, version, span, on_rows);
    ports.change(row_change{}, on_change);
    ports.look(look_order{}, on_report);
    ports.start(start_order{}, on_order);
    ports.stop(stop_order{}, on_order);
    ports.pace(pace_order{}, on_order);
    ports.advise(advice_order{}, on_advice);
    ports.ask(text, peer_request{}, on_reply);
    ports.follow_workers(true);
};

} // namespace foxtaillift::jobs
