/// Commits the submissions of one host in groups, and never leaves an outcome
/// open.
///
/// One transaction is in flight. Each one writes a new operation id to the row
/// `op/<host>` under the condition of its last known version. After a timeout
/// the engine reads that row: the id is there (committed), or the engine
/// replaces it under the same condition, after which the old transaction can no
/// longer take effect, and sends the content again.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/random.hpp"
#include "foxtaillift/formats/table.hpp"
#include "foxtaillift/store/circuit_breaker.hpp"
#include "foxtaillift/store/submission.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace foxtaillift::store
{

struct group_committer_options
{
    std::string host = {};
    /// Unique to this process, from base::make_unique_id(). Separates it from
    /// an earlier process of the same host whose writes may still arrive.
    std::string writer = {};
    base::duration timeout = base::milliseconds(2000);
    base::duration shortest_interval = base::milliseconds(25);
    /// The interval is at least this long for each member, so that all hosts
    /// together send at most 200 transactions/s.
    base::duration interval_per_member = base::milliseconds(5);
    std::size_t group_bytes = std::size_t{256} << 10;
    /// Bounds of the queue. When full, a new submission displaces the newest
    /// one of the lowest priority below its own, which is rejected; if there is
    /// none, the new submission is rejected.
    std::size_t queue_length = 20'000;
    std::size_t queue_bytes = std::size_t{32} << 20;
    circuit_breaker_options breaker = {};
};

/// Lets deadlines, timeouts and intervals take effect.
struct committer_tick
{};

/// Number of live entry hosts, including this one.
struct member_count_changed
{
    std::size_t members = 1;
};

struct transact_finished
{
    std::string operation = {};
    formats::transact_result result = {};
};

struct read_finished
{
    std::uint64_t request = 0;
    formats::rows_result result = {};
};

using committer_event = std::variant<
    committer_tick,
    submission,
    member_count_changed,
    transact_finished,
    read_finished>;

struct send_transaction
{
    formats::transaction content = {};
};

struct read_rows
{
    std::uint64_t request = 0;
    std::vector<std::string> keys = {};
};

using committer_action =
    std::variant<send_transaction, read_rows, completion, log_line>;

struct group_committer_statistics
{
    std::uint64_t transactions = 0; ///< sent, with fences
    std::uint64_t groups = 0;       ///< sent groups of submissions
    std::uint64_t records = 0;      ///< submissions in committed groups
    std::uint64_t reads = 0;
    std::uint64_t fences = 0; ///< transactions that only replace an id
    std::uint64_t unknown_outcomes = 0;
    std::uint64_t late_answers = 0; ///< answers after the timeout, ignored
    std::uint64_t conflicts = 0;
    std::uint64_t rejected_full = 0;
    std::uint64_t rejected_deadline = 0;
    std::uint64_t queued = 0;
    std::uint64_t queued_bytes = 0;
    circuit_state circuit = circuit_state::closed;
};

/// The engine. Used by one thread.
///
///     committer.handle(submission{...}, now, random, actions);
///     for (auto& action : actions) { ... }   // send, read, complete, log
///     timer.expire_at(committer.wake_at());  // then handle(committer_tick{})
class group_committer
{
public:
    /// Throws base::error if `host` or `writer` is empty or has white space.
    explicit group_committer(group_committer_options options);
    ~group_committer();
    group_committer(group_committer&&) noexcept;
    group_committer& operator=(group_committer&&) noexcept;

    /// Appends the resulting actions to `out`.
    void handle(
        committer_event const& event,
        base::instant now,
        base::random_engine& random,
        std::vector<committer_action>& out);

    /// When the next tick is due. May be in the past.
    [[nodiscard]] base::instant wake_at() const;
    [[nodiscard]] group_committer_statistics statistics() const;

private:
    class state;
    std::unique_ptr<state> self;
};

} // namespace foxtaillift::store
