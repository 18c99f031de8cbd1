/// Which entry host leads, decided by two rows of the platform's store.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace foxtaillift::jobs
{

/// The row `lead/epoch`.
struct leadership
{
    std::int64_t token = 0; ///< fencing token; grows with each takeover
    std::string host{};
    std::string address{}; ///< for peers; empty: the leader has resigned
    std::string nonce{};   ///< tells apart two processes of one host
    /// Processors of the host in thousandths of a core; of a leader that has
    /// resigned for a larger host, those of that one.
    std::int64_t size = 0;
};

std::string encode(leadership const& value);
/// Throws base::error (corrupt_data).
leadership decode_leadership(std::string_view text);

/// The row `lead/beat`.
struct leader_beat
{
    std::uint64_t sequence = 0; ///< of the leader's writes
    std::int64_t store_ms = 0;  ///< by the store's clock; 0: not known
};

std::string encode(leader_beat const& value);
/// Throws base::error (corrupt_data).
leader_beat decode_beat(std::string_view text);

/// Both rows as they were read at one moment.
struct lead_rows
{
    leadership current{};
    std::int64_t epoch_version = 0; ///< 0: nobody ever led
    std::int64_t beat_version = 0;
    /// Age of the beat by the store's clock; nothing if that is not known.
    std::optional<base::duration> beat_age{};
};

/// The store's steady clock, as far as its answers tell.
class store_clock
{
public:
    /// `store_ms` may be 0, which tells nothing.
    void on_answer(std::int64_t store_ms, base::instant now)
    {
        if (store_ms > 0) {
            this->told = store_ms;
            this->told_at = now;
        }
    }
    /// At most the time of an answer behind; 0 if not known.
    [[nodiscard]] std::int64_t at(base::instant now) const
    {
        return this->told > 0 ? this->told + (now - this->told_at).ms : 0;
    }

private:
    std::int64_t told = 0;
    base::instant told_at{};
};

struct election_options
{
    /// A leader that answers no ping is replaced when its beat has not changed
    /// for this long: a beat interval and the time of a write.
    base::duration silent_patience = base::milliseconds(600);
    /// One that answers has certainly failed to write if its last write is this
    /// old: it missed beats, or lost the answers of three copies of a write.
    base::duration stalled_after = base::milliseconds(1500);
    /// A leader that answers but cannot write is replaced when its beat has not
    /// changed for this long, if the store answers this host within
    /// `quick_read`: then only the leader is cut off.
    base::duration stalled_patience = base::milliseconds(1000);
    base::duration quick_read = base::milliseconds(150);
    /// A slow store delays the beats of every leader alike.
    base::duration slow_store_patience = base::milliseconds(2600);
    base::duration beat_interval = base::milliseconds(300);
    base::duration ping_interval = base::milliseconds(500);
    base::duration read_interval = base::milliseconds(300);
    /// Processors of this host in thousandths of a core.
    std::int64_t size = 0;
    /// Extra wait of a host that is much smaller than the last leader: there
    /// may be others of that size. They notice a gap within two pings.
    base::duration smaller_wait = base::milliseconds(1500);
    /// Own extra wait, so that hosts do not all try at the same moment.
    base::duration stagger{};
};

/// Decides for a host that does not lead. Safety does not depend on these
/// times: workers accept only the highest token, and a deposed leader stops
/// once it loses the majority of them. The times decide how long a gap lasts.
class election
{
public:
    /// True if a leader of size `own` should yield to a host of size `other`.
    static bool is_much_larger(std::int64_t other, std::int64_t own);

    enum class step
    {
        none,
        ping,      ///< ask the leader's process
        read,      ///< read both rows
        take_over, ///< write the next epoch, on condition of both rows
    };

    explicit election(election_options settings);

    /// The next step; the caller reports its end before it asks again.
    step next(base::instant now);

    /// `is_leading` is the leader's own answer, `store_age` how long ago its
    /// last acknowledged write was sent, which gave its beat this version.
    void on_ping(
        bool is_leading,
        base::duration store_age,
        std::int64_t beat_version,
        base::instant now);
    void on_ping_failed(base::instant now);
    /// `took` is the time that the store needed.
    void on_read(lead_rows const& rows, base::duration took, base::instant now);
    void on_read_failed(base::instant now);
    /// Another host names a leader. It counts if its token is higher than the
    /// known one; the rows themselves are read before any takeover.
    void on_leader_named(
        std::int64_t token, std::string const& address, base::instant now);
    /// A takeover that did not succeed, or a leadership that has ended.
    void on_not_leading(base::instant now);

    [[nodiscard]] std::optional<lead_rows> const& known() const
    {
        return this->rows;
    }
    /// Address of the leader; empty if none is known.
    [[nodiscard]] std::string leader_address() const;

private:
    [[nodiscard]] bool is_suspect() const;
    /// Since when the beat has not changed. The store's clock tells it of a
    /// beat that was written before this host has looked. A leader that answers
    /// gets the benefit of the doubt: the store may just be back.
    [[nodiscard]] base::instant beat_since() const;
    [[nodiscard]] base::duration own_wait() const;
    /// After an outage of the store, in which every beat stands still, a leader
    /// that answers gets the time to write again, and any host waits for others
    /// that suit better.
    [[nodiscard]] bool is_outage_over(base::instant now) const;
    /// How long the beat must have stood still; nothing if the leader may stay.
    [[nodiscard]] std::optional<base::duration> patience() const;

    election_options options;
    std::optional<lead_rows> rows{};
    base::instant beat_seen_at{}; ///< when the current beat was first known
    std::optional<base::instant> beat_written_at{}; ///< by the store's clock
    std::int64_t reported_beat = 0; ///< version, by the leader's last answer
    base::instant reported_at{};    ///< when the leader had sent that beat
    base::instant last_read_at{-1'000'000};
    base::instant unread_at{-1'000'000}; ///< of the last read that failed
    base::instant last_ping_at{-1'000'000};
    bool is_read_fresh = false; ///< since the last takeover attempt
    int failed_pings = 0;       ///< in a row
    bool is_resigned = false;
    bool is_stalled = false;
    bool is_store_quick = true; ///< by the last read
};

} // namespace foxtaillift::jobs
