/// State machine of the group committer.
#pragma once

#include "foxtaillift/store/group_committer.hpp"
#include "operation_row.hpp"
#include "submission_queue.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::store
{

class group_committer::state
{
public:
    explicit state(group_committer_options initial);

    /// Arguments of the call of `handle` in progress.
    struct context
    {
        base::instant now;
        base::random_engine& random;
        std::vector<committer_action>& out;
    };

    void on(committer_tick const& event, context& call);
    void on(submission const& event, context& call);
    void on(member_count_changed const& event, context& call);
    void on(transact_finished const& event, context& call);
    void on(read_finished const& event, context& call);

    /// Sends whatever may be sent now.
    void advance(context& call);

    [[nodiscard]] base::instant wake_at() const;
    [[nodiscard]] group_committer_statistics statistics() const;

private:
    /// What has to be sent next, or is in flight.
    enum class step
    {
        learn,    ///< read the operation row: its version is not known
        commit,   ///< send a group
        resolve,  ///< read the operation row: the outcome is unknown
        fence,    ///< replace the operation id, so that the group cannot apply
        versions, ///< read the versions of a group that took effect
    };
    struct flight
    {
        std::string operation;     ///< of a transaction
        std::uint64_t request = 0; ///< of a read
        base::instant sent;
    };

    void reject(
        std::vector<submission> const& items,
        std::string_view reason,
        context& call);
    void expire(context& call);
    void time_out(context& call);

    void send_group(context& call);
    void send_fence(context& call);
    void send_read(std::vector<std::string> keys, context& call);
    void send(formats::transaction content, context& call);
    formats::transaction make_transaction(std::vector<submission> const& items);

    void finish_group(formats::transact_result const& result, context& call);
    void finish_fence(formats::transact_result const& result, context& call);
    void take_version(std::vector<formats::row_condition> const& rows);
    void complete_group(
        std::vector<formats::row_condition> const& rows, context& call);
    void drop_conflicts(
        std::vector<formats::row_condition> const& rows, context& call);
    void resolve_group(formats::row const& row, context& call);
    void complete_from_read(formats::rows_result const& read, context& call);
    void requeue_group();
    void fail(std::string_view what, std::string_view message, context& call);
    void succeed(context& call);
    void log_circuit(circuit_state before, context& call);

    [[nodiscard]] base::duration interval() const;
    [[nodiscard]] bool has_work() const;

    group_committer_options options;
    std::string operation_key;
    detail::submission_queue queue;
    circuit_breaker breaker;
    group_committer_statistics counts;

    step next = step::learn;
    std::optional<flight> current;
    std::vector<submission> group; ///< sent, and not yet completed
    std::string group_operation;
    formats::row_version group_condition = 0; ///< of the operation row
    formats::row_version row_version = 0;
    detail::operation_row row;

    std::uint64_t last_number = 0;
    std::size_t members = 1;
    base::instant next_transaction{};
    base::instant next_expiry{};
    base::instant last_now{};
};

} // namespace foxtaillift::store
