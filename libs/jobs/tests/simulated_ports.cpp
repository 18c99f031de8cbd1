/// What a host of the simulated world does outside itself, with delays and lost
/// answers.
#include "simulated_world.hpp"

#include <algorithm>

namespace foxtaillift::jobs::testing
{

namespace
{

constexpr base::duration one_way = base::milliseconds(2);
constexpr base::duration call_timeout = base::milliseconds(800);

} // namespace

simulated_ports::simulated_ports(simulated_world& outside, std::string name)
    : world(outside)
    , host(std::move(name))
{}

base::instant simulated_ports::now() const
{
    return this->world.time.now;
}

std::int64_t simulated_ports::wall_ms() const
{
    return this->world.time.now.ms;
}

void simulated_ports::after(
    base::duration delay, std::function<void()> callback)
{
    if (this->one_way_us() == 0) {
        this->later(delay, std::move(callback));
        return;
    }
    this->later(delay, [this, callback = std::move(callback)] {
        auto const free_at = this->processor.free_at(this->now());
        this->later(free_at - this->now(), callback);
    });
}

std::int64_t simulated_ports::one_way_us() const
{
    return this->world.fleet.message_us / 2;
}

base::instant simulated_ports::arrival()
{
    return this->processor.take_up(this->now(), this->one_way_us()) + one_way;
}

void simulated_ports::receive(std::function<void()> const& callback)
{
    if (this->one_way_us() == 0) {
        callback();
        return;
    }
    auto const done_at =
        this->processor.take_up(this->now(), this->one_way_us());
    this->later(done_at - this->now(), callback);
}

void simulated_ports::later(
    base::duration delay, std::function<void()> callback)
{
    this->world.time.at(
        this->now() + delay, [this, callback = std::move(callback)] {
            if (this->now() < this->suspended_until) {
                this->later(this->suspended_until - this->now(), callback);
            } else if (this->is_alive) {
                callback();
            }
        });
}

void simulated_ports::reply(std::function<void()> const& callback)
{
    this->later(one_way, [this, callback] { this->receive(callback); });
}

void simulated_ports::log(base::event_line const&) {}

void simulated_ports::read(
    std::string const& table,
    std::string const& from,
    std::string const& to,
    std::function<void(rows_result)> const& callback)
{
    this->world.time.at(this->arrival(), [=, this] {
        if (!this->is_alive) {
            return;
        }
        if (this->world.is_store_silent_for(this->host)) {
            this->later(call_timeout, [=] { callback({}); });
            return;
        }
        rows_result result{.status = store_status::not_done};
        if (!this->world.store.is_down) {
            result = {
                .status = store_status::done,
                .version = this->world.store.version,
                .store_ms = this->world.store_ms()};
            for (auto const& [key, row] : this->world.store.rows) {
                if (key.first == table && key.second >= from &&
                    (to.empty() || key.second < to)) {
                    result.rows.push_back(row);
                }
            }
        }
        this->later(this->world.store.read_time, [=, this] {
            this->reply([=] { callback(result); });
        });
    });
}

void simulated_ports::watch(
    std::string const& table,
    std::int64_t version,
    base::duration,
    std::function<void(rows_result)> const& callback)
{
    // Polled: the follower does not see the difference.
    this->later(base::milliseconds(20), [=, this] {
        if (this->world.is_store_silent_for(this->host)) {
            this->later(call_timeout, [=] { callback({}); });
            return;
        }
        if (this->world.store.is_down) {
            callback({.status = store_status::not_done});
            return;
        }
        rows_result result{
            .status = store_status::done, .version = this->world.store.version};
        for (auto const& row : this->world.store.history) {
            if (row.table == table && row.version > version) {
                result.rows.push_back(row);
            }
        }
        if (result.rows.empty()) {
            callback(result);
        } else {
            this->receive([=] { callback(result); });
        }
    });
}

void simulated_ports::change(
    row_change const& change,
    std::function<void(change_result)> const& callback)
{
    bool const is_late = this->world.happens(this->world.faults.late);
    bool const is_lost =
        is_late || this->world.happens(this->world.faults.lost);
    auto& store = this->world.store;
    if (is_late) {
        auto const delay = base::milliseconds(
            500 + base::uniform_below(this->world.random, 3500));
        this->world.time.at(this->now() + delay, [&store, change] {
            if (!store.is_down) {
                store.apply(change);
            }
        });
    }
    auto const arrival = this->arrival();
    auto const begin = std::max(arrival, store.free_at);
    bool const is_refused = begin - arrival > base::seconds(1);
    if (!is_refused) {
        store.free_at = begin + store.change_time;
    }
    auto const end = is_refused ? arrival : begin + store.change_time;
    if (end - this->now() > call_timeout) {
        // The caller has given up before it is carried out.
        this->world.time.at(end, [this, &store, change] {
            bool const is_silent = this->world.is_store_silent_for(this->host);
            if (!is_silent && !store.is_down) {
                store.apply(change);
            }
        });
        this->later(call_timeout, [=] { callback({}); });
        return;
    }
    this->world.time.at(end, [=, this, &store] {
        change_result result{.status = store_status::not_done};
        if (this->world.is_store_silent_for(this->host)) {
            this->later(call_timeout, [=] { callback({}); });
            return;
        }
        if (is_refused) {
            // nothing was changed
        } else if (is_late) {
            result.status = store_status::unknown;
        } else if (!store.is_down) {
            result = store.apply(change);
            result.store_ms = this->world.store_ms();
            if (result.status == store_status::done) {
                this->world.note_effect(this->host);
            }
        }
        if (is_lost) {
            this->later(call_timeout, [=] {
                callback({.status = store_status::unknown});
            });
        } else {
            this->reply([=] { callback(result); });
        }
    });
}

void simulated_ports::look(
    look_order const& order,
    std::function<void(order_status, worker_report const&)> const& callback)
{
    bool const is_lost = this->world.happens(this->world.faults.lost);
    this->world.time.at(this->arrival(), [=, this] {
        auto* const worker = this->world.reach(order.worker);
        if (worker == nullptr) {
            this->later(
                call_timeout, [=] { callback(order_status::unknown, {}); });
            return;
        }
        if (worker->is_refusing) {
            this->reply([=] { callback(order_status::not_run, {}); });
            return;
        }
        if (order.token < worker->token) {
            this->reply([=] { callback(order_status::fenced, {}); });
            return;
        }
        worker->token = order.token;
        auto const now = this->now().ms;
        this->world.check_lapse(*worker);
        if (order.lease_until_ms) {
            worker->lease_until = std::max(
                worker->lease_until,
                std::min(
                    *order.lease_until_ms,
                    now + simulated_worker::longest_lease_ms));
        }
        this->world.acknowledge(*worker, order.acknowledged);
        auto const acknowledged =
            std::erase_if(worker->ends, [&](reported_end const& end) {
                return end.number <= order.acknowledged;
            });
        if (acknowledged > 0) {
            this->world.note_effect(this->host);
        }
        if (is_lost) {
            this->later(
                call_timeout, [=] { callback(order_status::unknown, {}); });
        } else if (this->world.fleet.holds_looks) {
            this->answer_look(order, this->now(), callback);
        } else {
            // The answer waits a little for an end, as a real one does.
            auto const report = simulated_world::report_of(*worker, now);
            this->later(base::milliseconds(100), [=] {
                callback(order_status::done, report);
            });
        }
    });
}

void simulated_ports::answer_look(
    look_order const& order,
    base::instant asked_at,
    std::function<void(order_status, worker_report const&)> const& callback)
{
    constexpr base::duration step = base::milliseconds(10);
    auto* const worker = this->world.reach(order.worker);
    if (worker == nullptr) {
        this->later(call_timeout, [=] { callback(order_status::unknown, {}); });
        return;
    }
    if (worker->ends.empty() && this->now() - asked_at < order.wait) {
        this->later(
            step, [=, this] { this->answer_look(order, asked_at, callback); });
        return;
    }
    this->reply(
        [=, report = simulated_world::report_of(*worker, this->now().ms)] {
            callback(order_status::done, report);
        });
}

void simulated_ports::start(
    start_order const& order, std::function<void(order_status)> const& callback)
{
    bool const is_late = this->world.happens(this->world.faults.late);
    bool const is_lost =
        is_late || this->world.happens(this->world.faults.lost);
    auto const delay =
        is_late ? base::milliseconds(
                      500 + base::uniform_below(this->world.random, 3500))
                : this->arrival() - this->now();
    auto const born = this->world.born_of(order.worker);
    this->world.time.at(this->now() + delay, [=, this] {
        auto* const worker = this->world.reach(order.worker);
        // Orders name the life of the worker that they are for.
        auto const status = worker == nullptr     ? order_status::unknown
                            : worker->is_refusing ? order_status::not_run
                            : worker->born != born
                                ? order_status::other_life
                                : this->world.start(*worker, order);
        if (status == order_status::done) {
            this->world.note_effect(this->host);
        }
        if (is_late) {
            return; // the caller has given up before
        }
        if (is_lost || worker == nullptr) {
            this->later(call_timeout, [=] { callback(order_status::unknown); });
        } else {
            this->reply([=] { callback(status); });
        }
    });
    if (is_late) {
        this->later(call_timeout, [=] { callback(order_status::unknown); });
    }
}

void simulated_ports::stop(
    stop_order const& order, std::function<void(order_status)> const& callback)
{
    this->world.time.at(this->arrival(), [=, this] {
        auto* const worker = this->world.reach(order.worker);
        bool const is_lost = this->world.happens(this->world.faults.lost);
        auto status = order_status::done;
        if (worker == nullptr) {
            status = order_status::unknown;
        } else if (worker->is_refusing) {
            status = order_status::not_run;
        } else if (order.token < worker->token) {
            status = order_status::fenced;
        } else {
            auto& highest = worker->stopped[order.run.task];
            highest = std::max(highest, order.run.attempt);
            auto const run = worker->runs.find(order.run.task);
            if (run != worker->runs.end() &&
                run->second.name.attempt <= order.run.attempt) {
                this->world.end_run(
                    *worker, order.run.task, run_outcome::stopped);
                this->world.note_effect(this->host);
            }
        }
        if (is_lost || worker == nullptr) {
            this->later(call_timeout, [=] { callback(order_status::unknown); });
        } else {
            this->reply([=] { callback(status); });
        }
    });
}

void simulated_ports::pace(
    pace_order const&, std::function<void(order_status)> const& callback)
{
    this->reply([=] { callback(order_status::done); });
}

void simulated_ports::advise(
    advice_order const&,
    std::function<void(std::optional<advice>)> const& callback)
{
    this->reply([=] { callback(std::nullopt); });
}

void simulated_ports::ask(
    std::string const& address,
    peer_request const& request,
    std::function<void(std::optional<peer_reply>)> const& callback)
{
    // Only messages of relays are lost or late: the other ones have no effect
    // that another copy would not have.
    bool const is_relayed = request.kind == peer_kind::relay;
    bool const is_late =
        is_relayed && this->world.happens(this->world.faults.late);
    bool const is_lost =
        is_late || (is_relayed && this->world.happens(this->world.faults.lost));
    auto const delay =
        is_late ? base::milliseconds(
                      300 + base::uniform_below(this->world.random, 3700))
                : this->arrival() - this->now();
    if (is_lost) {
        this->later(call_timeout, [=] { callback(std::nullopt); });
    }
    auto const deliver = [=, this] {
        for (auto const& peer : this->world.hosts) {
            bool const is_cut =
                this->world.is_cut(address) || this->world.is_cut(this->host);
            if (peer && peer->is_alive && peer->host == address && !is_cut) {
                peer->receive([=, this, &peer = *peer] {
                    peer.service->on_peer(
                        request, [=, this](peer_reply const& answer) {
                            if (!is_lost) {
                                this->reply([=] { callback(answer); });
                            }
                        });
                });
                return;
            }
        }
        if (!is_lost) {
            this->later(call_timeout, [=] { callback(std::nullopt); });
        }
    };
    if (is_relayed) {
        this->world.time.at(this->now() + delay, deliver);
    } else {
        this->later(delay, deliver);
    }
}

void simulated_ports::follow_workers(bool is_wanted)
{
    if (!is_wanted) {
        return;
    }
    this->later(one_way, [this] {
        for (auto const& worker : this->world.workers) {
            if (worker.is_listed) {
                this->on_worker(this->world.entry_of(worker));
            }
        }
    });
}

} // namespace foxtaillift::jobs::testing
