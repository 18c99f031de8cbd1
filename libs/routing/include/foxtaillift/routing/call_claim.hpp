/// At-most-once execution of calls with an Idempotency-Key.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace foxtaillift::routing
{

/// An answer as it is kept in the claim's row.
struct stored_answer
{
    std::uint16_t status = 0;
    std::string headers = {}; ///< opaque to this library
    std::string body = {};
    bool has_body = true; ///< false if the body was too large to keep

    bool operator==(stored_answer const&) const = default;
};

/// Content of the row `call/<caller>/<key>`. The daemon encodes it.
struct claim_row
{
    std::string operation; ///< identifies the attempt to claim
    std::optional<stored_answer> answer = std::nullopt;
    std::uint64_t version = 0;
};

// Events: results of the daemon's reads and writes of the row.
struct row_read
{
    std::optional<claim_row> row;
};
struct row_read_failed
{};
struct write_committed
{
    std::uint64_t version = 0;
};
struct write_conflict
{};
struct write_rejected ///< certainly not written, or not tried
{};
struct write_unknown ///< may be written
{};
using claim_event = std::variant<
    row_read,
    row_read_failed,
    write_committed,
    write_conflict,
    write_rejected,
    write_unknown>;

// Actions.
struct claim_create ///< write the row; condition: absent
{};
struct claim_read ///< read the row
{};
struct claim_dispatch ///< the call may be sent to a worker
{};
struct claim_reply_stored
{
    stored_answer answer;
};
struct claim_reply_conflict ///< 409: in progress or unknown
{};
struct claim_refuse ///< the call did not run and will not
{
    std::string_view reason;
};
struct claim_store ///< write the answer; condition: `version`
{
    stored_answer answer;
    std::uint64_t version = 0;
};
struct claim_delete ///< the call did not run; condition: `version`
{
    std::uint64_t version = 0;
};
using claim_action = std::variant<
    std::monostate,
    claim_create,
    claim_read,
    claim_dispatch,
    claim_reply_stored,
    claim_reply_conflict,
    claim_refuse,
    claim_store,
    claim_delete>;

/// One call's claim. A row whose write is not certain never leads to a
/// dispatch before it was read back with this call's operation id; a claim of
/// another operation never leads to a dispatch at all.
class call_claim
{
public:
    /// Bodies beyond this are not stored; a later request with the key gets
    /// the status without the body.
    static constexpr std::size_t max_stored_body = 16'384;

    explicit call_claim(std::string operation);

    claim_action start();
    claim_action handle(claim_event const& event);
    /// The call has its answer. Valid once after claim_dispatch.
    claim_action finish(stored_answer answer);
    /// No attempt of the call ran. Valid once after claim_dispatch.
    claim_action abandon();
    /// An attempt may have run: the row stays "in progress" and later requests
    /// with the key get 409. Valid once after claim_dispatch.
    void leave_unknown();

    /// claim_dispatch was returned.
    [[nodiscard]] bool is_held() const;
    /// No event is awaited any more.
    [[nodiscard]] bool is_done() const;
    /// The final write was given up; the row stays "in progress".
    [[nodiscard]] bool is_outcome_lost() const { return this->outcome_lost; }

private:
    enum class step
    {
        idle,
        creating,
        reading,
        held,
        storing,
        deleting,
        done,
    };

    claim_action on_create(claim_event const& event);
    claim_action on_read(claim_event const& event);
    claim_action on_final_write(claim_event const& event);

    std::string operation;
    std::optional<stored_answer> answer = std::nullopt;
    std::uint64_t version = 0;
    step current = step::idle;
    std::uint32_t writes_left = 3;
    bool outcome_lost = false;
};

} // namespace foxtaillift::routing
