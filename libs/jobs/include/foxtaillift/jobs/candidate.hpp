/// A host's part in the election: finds the leader, and leads if it is elected.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/jobs/election.hpp"
#include "foxtaillift/jobs/host_state.hpp"
#include "foxtaillift/jobs/leader.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

template <host_ports Ports>
class candidate : public std::enable_shared_from_this<candidate<Ports>>
{
public:
    explicit candidate(std::shared_ptr<host_state<Ports>> shared)
        : host(std::move(shared))
    {}

    // Commands

    /// Call often (every 100 ms or less).
    void tick()
    {
        this->check_contact();
        if (this->host->led) {
            this->host->led->tick();
            return;
        }
        this->vote();
    }

    void list_worker(worker_info const& worker)
    {
        this->workers[worker.id] = worker;
        if (this->host->led) {
            this->host->led->list_worker(worker);
        }
    }

    void unlist_worker(std::string const& worker)
    {
        this->workers.erase(worker);
        if (this->host->led) {
            this->host->led->unlist_worker(worker);
        }
    }

    /// Resigns for a much larger host: the reports of many workers fill the
    /// processor and the link of a small one.
    void yield_to(std::int64_t size)
    {
        auto const now = this->host->ports.now();
        auto const& electing = this->host->options.electing;
        bool const is_due =
            election::is_much_larger(size, electing.size) &&
            this->host->is_leading() && !this->is_stopping &&
            !this->is_yielding &&
            this->host->led->store_age() <= electing.beat_interval &&
            now - this->led_since >= least_term &&
            now - this->yielded_at >= yield_interval;
        if (!is_due) {
            return;
        }
        this->is_yielding = true;
        this->yielded_at = now;
        this->host->ports.log(base::event_line{"leadership_yielded"}
                                  .add("own_size", electing.size)
                                  .add("successor_size", size));
        this->host->led->resign(size, this->bound([this] {
            this->is_yielding = false;
            this->host->ports.after(base::duration{}, this->bound([this] {
                if (this->host->led) {
                    this->on_lost("yielded to a larger host");
                }
            }));
        }));
    }

    /// Gives the leadership up if it has it, then calls `on_done`.
    void stop(std::function<void()> on_done)
    {
        this->is_stopping = true;
        if (this->host->led) {
            this->resign(std::move(on_done));
        } else {
            on_done();
        }
    }

    /// Ends the leadership at once if it has it, without a last write.
    void give_up(std::string const& reason)
    {
        if (this->host->led) {
            this->host->led->stop();
            this->on_lost(reason);
        }
    }

private:
    /// Gives the leadership up, then calls `on_done`.
    void resign(std::function<void()> on_done)
    {
        this->host->led->resign(
            0, this->bound([this, on_done = std::move(on_done)] {
                // Peers that ask are told at once that nobody leads here.
                auto const ended = std::exchange(this->host->led, nullptr);
                this->host->voting.on_not_leading(this->host->ports.now());
                this->host->ports.after(
                    base::duration{}, [ended, on_done] { on_done(); });
            }));
    }

    /// A leadership lasts at least this long before it is yielded, and another
    /// yield follows no sooner: the larger host may not reach the store.
    static constexpr base::duration least_term = base::seconds(2);
    static constexpr base::duration yield_interval = base::seconds(20);

    template <class Function>
    auto bound(Function function)
    {
        return [self = this->shared_from_this(),
                function = std::move(function)](auto&&... arguments) mutable {
            function(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    void check_contact()
    {
        auto const now = this->host->ports.now();
        if (this->host->led) {
            this->host->reach.on_contact(now - this->host->led->store_age());
        } else if (this->host->is_leader_doubtful()) {
            this->ask_for_leader(now);
        }
        if (this->host->reach.is_isolated(now) != this->was_isolated) {
            this->was_isolated = !this->was_isolated;
            this->host->ports.log(
                base::event_line{"isolation"}
                    .add("isolated", this->was_isolated)
                    .add("leading", this->host->led != nullptr));
        }
    }

    void ask_for_leader(base::instant at)
    {
        for (auto const& address : this->host->reach.take_questions(at)) {
            this->host->ports.ask(
                address, {.kind = peer_kind::ping, .knows_rejections = true},
                this->bound([this](std::optional<peer_reply> const& reply) {
                    if (!reply) {
                        return;
                    }
                    auto const now = this->host->ports.now();
                    this->host->reach.on_contact(now);
                    if (!this->host->led) {
                        this->host->voting.on_leader_named(
                            reply->leader_token, reply->leader_address, now);
                    }
                }));
        }
    }

    /// Takes the next step of the election, if one is due. A host that stops
    /// goes on following who leads, since callers still come to it.
    void vote()
    {
        if (this->host->led || this->is_busy) {
            return;
        }
        switch (this->host->voting.next(this->host->ports.now())) {
        case election::step::none:
            break;
        case election::step::ping:
            this->ping();
            break;
        case election::step::read:
            this->read_lead();
            break;
        case election::step::take_over:
            if (this->is_stopping) {
                this->read_lead(); // another host takes over
            } else {
                this->take_over();
            }
            break;
        }
    }

    void ping()
    {
        this->is_busy = true;
        auto const& options = this->host->options;
        bool const is_away = this->host->store.is_away(this->host->ports.now());
        this->host->ports.ask(
            this->host->voting.leader_address(),
            {.kind = peer_kind::ping,
             .size = is_away ? 0 : options.electing.size,
             .address = options.peer_address,
             .failure_domain = options.failure_domain,
             .relay_size = options.electing.size,
             .knows_rejections = true},
            this->bound([this](std::optional<peer_reply> reply) {
                this->is_busy = false;
                this->on_ping(std::move(reply));
                this->vote();
            }));
    }

    void on_ping(std::optional<peer_reply> reply)
    {
        auto const now = this->host->ports.now();
        if (!reply) {
            this->host->voting.on_ping_failed(now);
            return;
        }
        this->host->reach.on_contact(now);
        if (reply->is_leading) {
            this->host->leader_answered_at = now;
            this->host->reach.on_peers(std::move(reply->peers));
        }
        this->host->voting.on_ping(
            reply->is_leading, reply->store_age, reply->beat_version, now);
    }

    void read_lead()
    {
        this->is_busy = true;
        auto const sent_at = this->host->ports.now();
        this->host->ports.read(
            tables::lead, "", lead_keys::inherited,
            this->bound([this, sent_at](rows_result const& result) {
                this->is_busy = false;
                this->on_lead_read(result, sent_at);
                if (!this->is_stopping) {
                    this->vote();
                }
            }));
    }

    void on_lead_read(rows_result const& result, base::instant sent_at)
    {
        auto const now = this->host->ports.now();
        this->host->note_store(result.status, sent_at);
        if (result.status != store_status::done) {
            this->host->voting.on_read_failed(now);
            return;
        }
        this->store_time.on_answer(result.store_ms, now);
        auto const found = this->decode(result);
        if (!found) {
            this->host->voting.on_read_failed(now);
            return;
        }
        bool const is_own = found->current.nonce == this->host->options.nonce &&
                            !found->current.address.empty();
        if (is_own && !this->is_stopping) {
            // The answer to the takeover was lost.
            this->lead_with(*found);
            return;
        }
        this->host->voting.on_read(*found, now - sent_at, now);
    }

    /// Nothing if a row cannot be read.
    std::optional<lead_rows> decode(rows_result const& result)
    {
        lead_rows found;
        try {
            for (auto const& row : result.rows) {
                if (row.key == lead_keys::epoch) {
                    found.current = decode_leadership(row.value);
                    found.epoch_version = row.version;
                } else if (row.key == lead_keys::beat) {
                    found.beat_version = row.version;
                    found.beat_age =
                        age_of(decode_beat(row.value), result.store_ms);
                }
            }
        } catch (base::error const& failure) {
            this->host->ports.log(base::event_line{"row_unreadable"}
                                      .add("table", tables::lead)
                                      .add("reason", failure.what()));
            return std::nullopt;
        }
        return found;
    }

    /// Nothing if the store did not tell its time when the beat was written.
    static std::optional<base::duration>
    age_of(leader_beat const& beat, std::int64_t store_ms)
    {
        if (beat.store_ms == 0 || store_ms < beat.store_ms) {
            return std::nullopt;
        }
        return base::milliseconds(store_ms - beat.store_ms);
    }

    void take_over()
    {
        auto const now = this->host->ports.now();
        auto const& known = *this->host->voting.known();
        auto const& options = this->host->options;
        lead_rows next;
        next.beat_age = known.beat_age;
        next.current = {
            .token = known.current.token + 1,
            .host = options.host,
            .address = options.peer_address,
            .nonce = options.nonce,
            .size = options.electing.size};
        row_change change;
        change.conditions = {
            {tables::lead, lead_keys::epoch, known.epoch_version},
            {tables::lead, lead_keys::beat, known.beat_version}};
        change.puts = {
            {.table = tables::lead,
             .key = lead_keys::epoch,
             .value = encode(next.current)},
            {.table = tables::lead,
             .key = lead_keys::beat,
             .value =
                 encode(leader_beat{.store_ms = this->store_time.at(now)})}};
        this->is_busy = true;
        this->host->ports.change(
            std::move(change),
            this->bound([this, next,
                         sent_at = now](change_result const& result) mutable {
                this->is_busy = false;
                this->host->note_store(result.status, sent_at);
                if (result.status != store_status::done) {
                    this->host->voting.on_not_leading(this->host->ports.now());
                    return;
                }
                next.epoch_version = result.version;
                next.beat_version = result.version;
                this->lead_with(next);
                if (this->is_stopping) {
                    this->resign([] {}); // the takeover was on its way
                }
            }));
    }

    void lead_with(lead_rows const& rows)
    {
        this->host->ports.log(base::event_line{"leading"}
                                  .add("token", rows.current.token)
                                  .add("epoch_version", rows.epoch_version));
        this->led_since = this->host->ports.now();
        auto settings = this->host->options.leading;
        settings.scheduling.token = rows.current.token;
        // One process may lead twice with the same token.
        settings.relaying.session =
            rows.current.nonce + "." + std::to_string(++this->leaderships);
        settings.scheduling.log =
            [&ports = this->host->ports](base::event_line const& line) {
                ports.log(line);
            };
        auto const led = std::make_shared<leader<Ports>>(
            this->host->ports, std::move(settings), rows,
            // Held weakly: the host's state, which this shares, owns the
            // leader.
            [weak = this->weak_from_this()](std::string const& reason) {
                if (auto const self = weak.lock()) {
                    self->on_lost(reason);
                }
            },
            [weak = std::weak_ptr{this->host}] {
                auto const shared = weak.lock();
                return shared ? shared->relay_hosts()
                              : std::vector<relay_host>{};
            });
        this->host->led = led;
        for (auto const& failure_domain : this->host->evacuated) {
            led->set_evacuated(failure_domain, true);
        }
        led->set_fleet(this->host->configuration);
        for (auto const& [id, worker] : this->workers) {
            led->list_worker(worker);
        }
        led->start();
        this->host->ports.follow_workers(true);
    }

    void on_lost(std::string const& reason)
    {
        this->is_yielding = false;
        this->host->ports.log(
            base::event_line{"leadership_lost"}.add("reason", reason));
        this->host->led.reset();
        this->workers.clear();
        this->host->ports.follow_workers(false);
        this->host->voting.on_not_leading(this->host->ports.now());
    }

    std::shared_ptr<host_state<Ports>> host;
    store_clock store_time{};
    std::map<std::string, worker_info> workers{}; ///< that the platform lists
    base::instant led_since{};
    base::instant yielded_at{-1'000'000};
    std::uint64_t leaderships = 0; ///< of this process, so far
    bool was_isolated = false;
    bool is_yielding = false;
    bool is_busy = false; ///< a step of the election is not over
    bool is_stopping = false;
};

} // namespace foxtaillift::jobs
