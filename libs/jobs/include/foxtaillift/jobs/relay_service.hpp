/// Carries out orders to workers for the leader on another entry host.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/relay_message.hpp"
#include "foxtaillift/jobs/worker.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace foxtaillift::jobs
{

/// Sends each order once, and keeps the answers until the leader asks. Whether
/// an order still holds is for the worker to say, by its token. Not
/// thread-safe.
template <host_ports Ports>
class relay_service : public std::enable_shared_from_this<relay_service<Ports>>
{
public:
    explicit relay_service(Ports& ports_to_use)
        : ports(ports_to_use)
    {}

    /// Takes a message that was sent when the clock of this host showed
    /// `sent_at` or later, with orders of the leader with this session. Returns
    /// the answers that have come. Orders of a message that is late, since this
    /// host was frozen or cut off, are dropped: the leader has given them up.
    /// Throws base::error (corrupt_data).
    std::string exchange(
        std::string const& session,
        base::instant sent_at,
        std::string_view orders)
    {
        auto const now = this->ports.now();
        bool const is_late = now - sent_at > message_age_limit;
        auto& entry = this->sessions[session];
        if (!entry) {
            entry = std::make_shared<session_entry>();
        }
        entry->asked_at = now;
        for (auto const& each : decode_relayed_orders(orders)) {
            if (!is_late) {
                std::visit(
                    [&](auto const& order) {
                        this->carry_out(order, each.number, entry);
                    },
                    each.order);
            }
        }
        auto const count =
            std::min(entry->answers.size(), most_answers_in_message);
        std::vector<relayed_answer> told(
            std::make_move_iterator(entry->answers.begin()),
            std::make_move_iterator(
                entry->answers.begin() + static_cast<std::ptrdiff_t>(count)));
        entry->answers.erase(
            entry->answers.begin(),
            entry->answers.begin() + static_cast<std::ptrdiff_t>(count));
        return encode(told);
    }

    /// Drops what leaders that have gone left. Call often.
    void forget_idle()
    {
        auto const now = this->ports.now();
        std::erase_if(this->sessions, [&](auto const& each) {
            bool const is_idle = now - each.second->asked_at > idle_limit;
            if (is_idle) {
                each.second->answers.clear();
            }
            return is_idle;
        });
    }

private:
    struct session_entry
    {
        std::deque<relayed_answer> answers{};
        base::instant asked_at{};
    };
    using session_pointer = std::shared_ptr<session_entry>;

    /// A leader waits no longer for the answer to a message.
    static constexpr base::duration message_age_limit = base::milliseconds(400);
    static constexpr std::size_t most_answers_in_message = 400;
    /// A leader asks every few milliseconds; one that has not for this long has
    /// given this relay up.
    static constexpr base::duration idle_limit = base::seconds(3);
    /// Answers that are kept for one leader.
    static constexpr std::size_t most_answers = 20'000;

    static void keep(session_pointer const& entry, relayed_answer answer)
    {
        if (entry->answers.size() < most_answers) {
            entry->answers.push_back(std::move(answer));
        }
    }

    void carry_out(
        look_order const& order,
        std::uint64_t number,
        session_pointer const& entry)
    {
        this->ports.look(
            order,
            [entry, number](order_status status, worker_report const& report) {
                relayed_answer answer{.number = number, .status = status};
                if (status == order_status::done) {
                    answer.report = report;
                }
                keep(entry, std::move(answer));
            });
    }

    void carry_out(
        start_order const& order,
        std::uint64_t number,
        session_pointer const& entry)
    {
        this->ports.start(order, keep_status(entry, number));
    }

    void carry_out(
        stop_order const& order,
        std::uint64_t number,
        session_pointer const& entry)
    {
        this->ports.stop(order, keep_status(entry, number));
    }

    void carry_out(
        pace_order const& order,
        std::uint64_t number,
        session_pointer const& entry)
    {
        this->ports.pace(order, keep_status(entry, number));
    }

    static std::function<void(order_status)>
    keep_status(session_pointer const& entry, std::uint64_t number)
    {
        return [entry, number](order_status status) {
            keep(entry, {.number = number, .status = status});
        };
    }

    Ports& ports;
    std::map<std::string, session_pointer> sessions{};
};

} // namespace foxtaillift::jobs
