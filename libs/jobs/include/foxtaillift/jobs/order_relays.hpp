/// Passes a leader's orders to workers through other entry hosts.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/event_line.hpp"
#include "foxtaillift/base/hash.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/order_rate.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/relay_message.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace foxtaillift::jobs
{

/// An entry host that may pass orders on.
struct relay_host
{
    std::string address{};
    std::string failure_domain{};
};

struct relay_options
{
    /// A leader of fewer workers calls each of them itself, unless it is busy.
    std::size_t least_workers = 600;
    /// Orders a second above which a leader of fewer workers is busy.
    double busy_orders_per_second = 3500;
    /// A leader of so few workers is never busy.
    std::size_t least_workers_when_busy = 100;
    /// For which one relay is used; more workers of a failure domain have more
    /// relays there.
    std::size_t workers_of_relay = 300;
    /// Between two messages to a relay.
    base::duration interval = base::milliseconds(15);
    /// How long a relay that did not answer is not used.
    base::duration pause = base::seconds(3);
    /// Between looks at which hosts may relay.
    base::duration refresh = base::milliseconds(300);
    std::string session{}; ///< unique for the leadership
};

/// Each message to a relay holds all orders to its workers of an interval, and
/// its answer all answers that have come, so that the number of messages that a
/// leader handles does not grow with the fleet. A relay decides nothing: it
/// passes orders with their tokens and leases to the workers, once each, and
/// reports to the leader as they are. To the leader it is a part of the
/// network. Orders to a relay that is lost count as unanswered, except looks,
/// which are sent anew without it. Not thread-safe.
template <host_ports Ports>
class order_relays : public std::enable_shared_from_this<order_relays<Ports>>
{
public:
    using answer_callback =
        std::function<void(order_status, worker_report const&)>;
    /// Tells the hosts that may relay now, in a fixed order.
    using host_finder = std::function<std::vector<relay_host>()>;

    order_relays(
        Ports& ports_to_use, relay_options settings, host_finder find_hosts)
        : ports(ports_to_use)
        , options(std::move(settings))
        , hosts(std::move(find_hosts))
    {}

    // Commands

    void list_worker(worker_info const& worker)
    {
        auto const found = this->domains.find(worker.id);
        if (found != this->domains.end() &&
            found->second == worker.failure_domain) {
            return;
        }
        this->unlist_worker(worker.id);
        this->domains[worker.id] = worker.failure_domain;
        ++this->workers_in[worker.failure_domain];
    }

    void unlist_worker(std::string const& worker)
    {
        auto const found = this->domains.find(worker);
        if (found != this->domains.end()) {
            --this->workers_in[found->second];
            this->domains.erase(found);
        }
    }

    /// Has the order carried out. The callback comes once.
    template <class Order>
    void send(Order const& order, answer_callback const& callback)
    {
        this->rate.add(this->ports.now());
        auto* const link = this->link_of(order.worker);
        if (link == nullptr) {
            this->send_directly(order, callback);
            return;
        }
        auto const number = ++this->last_number;
        link->waiting.push_back(number);
        link->orders.emplace(
            number, order_entry{
                        .order = order,
                        .sent_at = this->time_awake(),
                        .callback = callback});
        this->exchange_soon();
    }

    /// No callback comes any more.
    void stop()
    {
        this->is_stopped = true;
        for (auto const& [address, link] : this->links) {
            link->orders.clear(); // their callbacks own this object
            link->waiting.clear();
        }
    }

private:
    struct order_entry
    {
        relayable_order order{};
        base::instant sent_at{}; ///< by time_awake()
        answer_callback callback{};
    };

    struct relay_link
    {
        relay_host host{};
        /// Of the process that answers: another one knows none of the orders.
        std::string nonce{};
        /// Its clock, as it has told last, and when. A message tells it from
        /// when it is, so that the relay can drop one that comes late.
        std::int64_t clock_ms = 0;
        base::instant clock_told_at{};
        std::map<std::uint64_t, order_entry> orders{};
        std::vector<std::uint64_t> waiting{}; ///< not sent yet
        int messages_out = 0;
        int messages_lost = 0;   ///< in a row
        std::uint64_t epoch = 0; ///< grows when the relay is given up
        base::instant unused_until{-1'000'000};
    };

    /// Messages to one relay at a time; a second one takes orders that follow
    /// while the answer to the first is on its way.
    static constexpr int most_messages_out = 2;
    static constexpr std::size_t most_orders_in_message = 200;
    /// One may be lost by itself, or the leader was held up.
    static constexpr int lost_until_given_up = 2;
    /// A relay answers for its workers within the time of the order and this.
    static constexpr base::duration overdue_slack = base::milliseconds(1000);
    static constexpr base::duration overdue_check = base::milliseconds(100);
    /// A timer that is later than this was held up with the whole host.
    static constexpr base::duration usual_lateness = base::milliseconds(50);

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

    void send_directly(look_order const& order, answer_callback const& callback)
    {
        this->ports.look(order, callback);
    }
    void
    send_directly(start_order const& order, answer_callback const& callback)
    {
        this->ports.start(order, without_report(callback));
    }
    void send_directly(stop_order const& order, answer_callback const& callback)
    {
        this->ports.stop(order, without_report(callback));
    }
    void send_directly(pace_order const& order, answer_callback const& callback)
    {
        this->ports.pace(order, without_report(callback));
    }

    static auto without_report(answer_callback const& callback)
    {
        return [callback](order_status status) { callback(status, {}); };
    }

    /// Null if the worker is called directly.
    relay_link* link_of(std::string const& worker)
    {
        if (!this->hosts || !this->is_relaying()) {
            return nullptr;
        }
        auto const now = this->ports.now();
        if (now - this->refreshed_at >= this->options.refresh) {
            this->refresh(now);
        }
        auto const domain = this->domains.find(worker);
        if (domain == this->domains.end()) {
            return nullptr;
        }
        auto const found = this->by_domain.find(domain->second);
        if (found == this->by_domain.end() || found->second.empty()) {
            return nullptr;
        }
        auto const& usable = found->second;
        return usable[base::hash64(worker) % usable.size()];
    }

    /// Relays cost a hop of up to 15 ms, and save the time of a busy leader.
    [[nodiscard]] bool is_relaying()
    {
        auto const workers = this->domains.size();
        if (workers >= this->options.least_workers) {
            return true;
        }
        bool const is_busy = workers >= this->options.least_workers_when_busy &&
                             this->rate.is_high();
        if (is_busy != std::exchange(this->was_busy, is_busy)) {
            this->ports.log(
                base::event_line{is_busy ? "relaying_begun" : "relaying_ended"}
                    .add("workers", workers)
                    .add("orders_per_s", this->rate.per_second()));
        }
        return is_busy;
    }

    /// Chooses the relays of each failure domain.
    void refresh(base::instant now)
    {
        this->refreshed_at = now;
        this->by_domain.clear();
        for (auto const& host : this->hosts()) {
            auto& link = this->links[host.address];
            if (!link) {
                link = std::make_unique<relay_link>();
                link->host = host;
            }
            auto const workers = this->workers_in[host.failure_domain];
            auto const wanted = (workers + this->options.workers_of_relay - 1) /
                                this->options.workers_of_relay;
            auto& usable = this->by_domain[host.failure_domain];
            if (now >= link->unused_until && usable.size() < wanted) {
                usable.push_back(link.get());
            }
        }
    }

    void exchange_soon()
    {
        if (std::exchange(this->is_exchange_due, true)) {
            return;
        }
        auto const now = this->ports.now();
        auto const due =
            std::max(now, this->exchanged_at + this->options.interval);
        this->ports.after(due - now, this->guarded([this, due] {
            this->is_exchange_due = false;
            this->exchanged_at = this->ports.now();
            auto const lateness = this->exchanged_at - due;
            if (lateness > usual_lateness) {
                this->held_up = this->held_up + lateness;
            }
            bool const is_check_due =
                this->exchanged_at - this->checked_at >= overdue_check;
            if (is_check_due) {
                this->checked_at = this->exchanged_at;
            }
            bool is_awaiting = false;
            for (auto const& [address, link] : this->links) {
                if (is_check_due) {
                    this->check_overdue(*link);
                }
                this->exchange(*link);
                is_awaiting |= !link->orders.empty();
            }
            if (is_awaiting) {
                this->exchange_soon();
            }
        }));
    }

    void exchange(relay_link& link)
    {
        if (link.orders.empty() || link.messages_out >= most_messages_out ||
            (link.messages_out > 0 && link.waiting.empty())) {
            return;
        }
        std::vector<relayed_order> orders;
        // The first message only asks for the clock.
        auto const count =
            link.clock_ms == 0
                ? 0
                : std::min(link.waiting.size(), most_orders_in_message);
        orders.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            auto const number = link.waiting[i];
            orders.push_back({number, link.orders.at(number).order});
        }
        link.waiting.erase(
            link.waiting.begin(),
            link.waiting.begin() + static_cast<std::ptrdiff_t>(count));
        ++link.messages_out;
        this->ports.ask(
            link.host.address,
            {.kind = peer_kind::relay,
             .name = this->options.session,
             .value = encode(orders),
             .clock_ms =
                 link.clock_ms + (this->ports.now() - link.clock_told_at).ms},
            this->guarded([this, &link, epoch = link.epoch](
                              std::optional<peer_reply> const& reply) {
                if (epoch == link.epoch) {
                    --link.messages_out;
                    this->on_reply(link, reply);
                }
            }));
    }

    void on_reply(relay_link& link, std::optional<peer_reply> const& reply)
    {
        if (!reply) {
            if (++link.messages_lost >= lost_until_given_up) {
                this->give_up(link, "no answer");
            }
            return;
        }
        link.messages_lost = 0;
        if (link.nonce.empty()) {
            link.nonce = reply->nonce;
        } else if (link.nonce != reply->nonce) {
            this->give_up(link, "it has started again");
            return;
        }
        link.clock_ms = reply->clock_ms;
        link.clock_told_at = this->ports.now();
        std::vector<relayed_answer> answers;
        try {
            answers = decode_relayed_answers(reply->value);
        } catch (base::error const& failure) {
            this->give_up(link, failure.what());
            return;
        }
        for (auto const& answer : answers) {
            auto const found = link.orders.find(answer.number);
            if (found != link.orders.end()) {
                auto const entry = std::move(found->second);
                link.orders.erase(found);
                tell(entry, answer);
            }
            if (this->is_stopped) {
                return; // an answer may end the leadership
            }
        }
    }

    /// A missing report is not an empty one.
    static void tell(order_entry const& entry, relayed_answer const& answer)
    {
        bool const lacks_report =
            std::holds_alternative<look_order>(entry.order) &&
            answer.status == order_status::done && !answer.report;
        entry.callback(
            lacks_report ? order_status::unknown : answer.status,
            answer.report.value_or(worker_report{}));
    }

    /// An order that a relay may have carried out. A look is sent once more,
    /// without the relay: by now another life of the worker may answer, so it
    /// acknowledges nothing and grants no lease.
    void end_unanswered(order_entry const& entry)
    {
        auto const* const look = std::get_if<look_order>(&entry.order);
        if (look == nullptr) {
            entry.callback(order_status::unknown, {});
            return;
        }
        this->send_directly(
            look_order{
                .worker = look->worker,
                .address = look->address,
                .token = look->token,
                .is_extra = look->is_extra},
            entry.callback);
    }

    /// Nothing that the relay knows reaches this leader any more.
    void give_up(relay_link& link, std::string_view reason)
    {
        this->ports.log(base::event_line{"relay_given_up"}
                            .add("relay", link.host.address)
                            .add("reason", reason)
                            .add("orders", link.orders.size()));
        ++link.epoch;
        link.messages_out = 0;
        link.messages_lost = 0;
        link.nonce.clear();
        link.clock_ms = 0;
        link.unused_until = this->ports.now() + this->options.pause;
        this->refreshed_at = {-1'000'000};
        auto const waiting = std::exchange(link.waiting, {});
        auto const orders = std::exchange(link.orders, {});
        for (auto const& [number, entry] : orders) {
            if (this->is_stopped) {
                return;
            }
            bool const is_sent =
                !std::binary_search(waiting.begin(), waiting.end(), number);
            if (is_sent) {
                this->end_unanswered(entry);
                continue;
            }
            std::visit(
                [this, &callback = entry.callback](auto const& order) {
                    this->send_directly(order, callback);
                },
                entry.order);
        }
    }

    /// Ends orders of which the relay tells nothing: their answers were lost.
    void check_overdue(relay_link& link)
    {
        auto const now = this->time_awake();
        std::vector<order_entry> overdue;
        for (auto each = link.orders.begin(); each != link.orders.end();) {
            auto const* const look =
                std::get_if<look_order>(&each->second.order);
            auto const limit =
                overdue_slack +
                (look == nullptr ? base::duration{} : look->wait);
            bool const is_sent = !std::binary_search(
                link.waiting.begin(), link.waiting.end(), each->first);
            if (is_sent && now - each->second.sent_at >= limit) {
                overdue.push_back(std::move(each->second));
                each = link.orders.erase(each);
            } else {
                ++each;
            }
        }
        for (auto const& entry : overdue) {
            this->end_unanswered(entry);
        }
    }

    /// Does not count while this host was held up, when nobody could answer.
    [[nodiscard]] base::instant time_awake() const
    {
        return this->ports.now() - this->held_up;
    }

    Ports& ports;
    relay_options options;
    host_finder hosts;
    std::unordered_map<std::string, std::string> domains{};     ///< by worker
    std::map<std::string, std::size_t> workers_in{};            ///< domains
    std::map<std::string, std::unique_ptr<relay_link>> links{}; ///< by address
    std::map<std::string, std::vector<relay_link*>> by_domain{};
    std::uint64_t last_number = 0;
    base::instant refreshed_at{-1'000'000};
    base::instant exchanged_at{-1'000'000};
    base::instant checked_at{-1'000'000};
    base::duration held_up{}; ///< this host, in sum
    order_rate rate{this->options.busy_orders_per_second};
    bool was_busy = false;
    bool is_exchange_due = false;
    bool is_stopped = false;
};

} // namespace foxtaillift::jobs
