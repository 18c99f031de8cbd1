/// What the parts of the job service of one entry host share.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/jobs/contact.hpp"
#include "foxtaillift/jobs/election.hpp"
#include "foxtaillift/jobs/fleet.hpp"
#include "foxtaillift/jobs/host_ports.hpp"
#include "foxtaillift/jobs/leader.hpp"
#include "foxtaillift/jobs/peer_message.hpp"
#include "foxtaillift/jobs/rows.hpp"
#include "foxtaillift/jobs/store_health.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace foxtaillift::jobs
{

struct cancel_options
{
    /// Tombstones that a host writes while the leader keeps the older ones;
    /// beyond them, cancelling an unknown job is refused.
    std::size_t tombstone_limit = 500;
};

struct coordinator_options
{
    std::string host{};
    std::string failure_domain{};
    std::string peer_address{}; ///< where peers reach this process
    std::string nonce{};        ///< unique for this process
    election_options electing{};
    leader_options leading{};
    cancel_options cancelling{};
};

using outcome_callback = std::function<void(request_outcome)>;

/// What a caller is told of a submission.
struct submission_outcome
{
    request_outcome outcome = request_outcome::unknown;
    base::duration retry_after{}; ///< if rejected; if refused, 0: any time
};
using submission_callback = std::function<void(submission_outcome const&)>;

template <host_ports Ports>
struct host_state
{
    host_state(Ports& ports_to_use, coordinator_options settings)
        : ports(ports_to_use)
        , options(std::move(settings))
        , voting(this->options.electing)
    {}

    /// A leader answers each ping, every 500 ms. One that has said nothing for
    /// longer may be dead: hosts write submissions by themselves.
    static constexpr base::duration leader_answer_age = base::milliseconds(900);

    struct pinging_host
    {
        std::string failure_domain{};
        std::int64_t size = 0;
        base::instant at{};
    };
    /// Two pings that a host misses.
    static constexpr base::duration ping_age_limit = base::milliseconds(1500);

    [[nodiscard]] bool has_peer_leader() const
    {
        return !this->led && !this->voting.leader_address().empty() &&
               this->voting.leader_address() != this->options.peer_address;
    }

    [[nodiscard]] bool is_leader_doubtful() const
    {
        return this->ports.now() - this->leader_answered_at > leader_answer_age;
    }

    /// This host leads and knows what lasts.
    [[nodiscard]] bool is_leading() const
    {
        return this->led && this->led->is_loaded();
    }

    /// Call with each ping of another host.
    void note_ping(peer_request const& ping)
    {
        auto const now = this->ports.now();
        this->reach.on_pinged(ping.address, now);
        if (!ping.knows_rejections) {
            this->earlier_version_at = now;
        }
        if (!ping.address.empty()) {
            this->pinging[ping.address] = {
                .failure_domain = ping.failure_domain,
                .size = ping.relay_size,
                .at = now};
        }
        std::erase_if(this->pinging, [now](auto const& each) {
            return now - each.second.at > ping_age_limit;
        });
    }

    /// What a submission of a host may end as. A host of an earlier version
    /// takes a rejection row for a job that was accepted, so that no row is
    /// written while such a host may get a caller who comes again.
    [[nodiscard]] rejection_use use_of_rejections(bool knows_rejections) const
    {
        bool const is_mixed = this->ports.now() - this->earlier_version_at <=
                              this->options.leading.recording.ended_kept;
        return !knows_rejections ? rejection_use::none
               : is_mixed        ? rejection_use::known
                                 : rejection_use::allowed;
    }

    /// Hosts that have the processors to relay this leader's orders and have
    /// pinged it lately, in the order of their addresses.
    [[nodiscard]] std::vector<relay_host> relay_hosts() const
    {
        std::vector<relay_host> found;
        for (auto const& [address, host] : this->pinging) {
            bool const is_small = election::is_much_larger(
                this->options.electing.size, host.size);
            if (!is_small && host.size > 0 &&
                this->ports.now() - host.at <= ping_age_limit) {
                found.push_back({address, host.failure_domain});
            }
        }
        return found;
    }

    /// Call with the result of each call to the store.
    void note_store(store_status status, base::instant sent_at)
    {
        auto const now = this->ports.now();
        this->store.note(status, now - sent_at, now);
        if (store_health::is_answer(status)) {
            this->reach.on_contact(now);
        }
    }

    Ports& ports;
    coordinator_options options;
    election voting;
    contact reach{};
    store_health store{};
    fleet_configuration configuration{};
    std::set<std::string, std::less<>> evacuated{}; ///< failure domains
    std::shared_ptr<leader<Ports>> led{};
    base::instant leader_answered_at{-1'000'000};
    /// The last ping of a host that does not know rejections.
    base::instant earlier_version_at{-1'000'000};

    std::map<std::string, pinging_host> pinging{}; ///< by address
};

} // namespace foxtaillift::jobs
