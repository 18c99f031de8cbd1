/// State machine of the fleet configuration.
#pragma once

#include "foxtaillift/cluster/configuration.hpp"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::cluster
{

class configuration::state
{
public:
    explicit state(configuration_options initial);

    struct context
    {
        base::instant now;
        std::int64_t wall_ms;
        base::random_engine& random;
        std::vector<configuration_action>& out;
    };

    void on(configuration_tick const& event, context& call);
    void on(peers_changed const& event, context& call);
    void on(peer_version_seen const& event, context& call);
    void on(fleet_changed const& event, context& call);
    void on(change_requested const& event, context& call);
    void on(rollback_requested const& event, context& call);
    void on(configuration_rows_read const& event, context& call);
    void on(configuration_object_finished const& event, context& call);
    void on(store::completion const& event, context& call);
    void on(configuration_push const& event, context& call);
    void on(configuration_pull const& event, context& call);
    void on(configuration_acknowledge const& event, context& call);

    /// Does whatever is due.
    void advance(context& call);

    [[nodiscard]] base::instant wake_at() const;

    configuration_options options;
    configuration_document document;
    std::deque<configuration_delta> deltas; ///< the last ones, oldest first
    std::map<base::host_id, configuration_version> known_versions;
    configuration_statistics counts;
    bool ready = false;

private:
    struct pending_change
    {
        change_requested content = {};
        std::optional<configuration_version> rollback_to = {};
        base::instant arrived = {};
        configuration_delta delta = {}; ///< while submitted
        std::uint64_t submission = 0;
        bool has_read_store = false;
        bool is_answered = false; ///< as undecided
    };
    struct pending_answer
    {
        change_answer content = {};
        base::instant due = {};
    };
    struct peer_answer
    {
        base::instant at;
        bool is_ready = false;
        std::vector<base::host_id> members;
    };
    struct store_request
    {
        enum class kind
        {
            rows,
            snapshot,
        };
        kind what = kind::rows;
        std::uint64_t number = 0;
        base::instant sent = {};
        configuration_version snapshot = 0;
    };

    // Versions (configuration.cpp).
    void take_delta(configuration_delta const& delta, context& call);
    void take_snapshot(configuration_document snapshot, context& call);
    void announce_version(context& call);
    void take_turn(context& call);
    void remove_expired(context& call);
    [[nodiscard]] std::optional<configuration_document>
    document_at(configuration_version version) const;

    // The store (configuration_store.cpp).
    void want_read(context& call);
    void start_read(context& call);
    void finish_read(formats::rows_result const& result, context& call);
    void take_rows(
        std::vector<formats::row> const& rows,
        configuration_version head,
        context& call);
    void get_snapshot(configuration_version version, context& call);
    void finish_catch_up(context& call);
    void fail_read(std::string_view reason, context& call);
    void put_snapshot(context& call);
    void trim_rows(configuration_version snapshot, context& call);
    void submit(store::submission item, context& call);

    // Changes (configuration_change.cpp).
    void process_changes(context& call);
    bool decide(pending_change& change, context& call);
    bool prepare_rollback(pending_change& change, context& call);
    bool check(pending_change& change, context& call);
    void submit_change(pending_change& change, context& call);
    void finish_change(store::completion const& done, context& call);
    void accept(pending_change const& change, context& call);
    void answer(
        pending_change const& change,
        change_result result,
        std::vector<std::string> messages,
        context& call);
    void answer_outdated(pending_change const& change, context& call);
    void send_answers(context& call);
    void time_out_change(context& call);

    // Peers (configuration_spread.cpp).
    void push_to(
        std::vector<base::host_id> const& targets,
        configuration_version above,
        context& call);
    void repeat_push(context& call);
    void pull_from(base::host_id const& peer, context& call);
    void take_messages(configuration_push const& event, context& call);
    void note_version(base::host_id const& peer, configuration_version version);
    void ask_peers(context& call);
    void judge_answers(context& call);
    [[nodiscard]] std::vector<base::host_id> choose_peers(
        std::size_t count, base::host_id const& except, context& call) const;

    void log(std::string text, context& call);

    configuration_document history_base; ///< before the first delta
    std::vector<base::host_id> peers;
    fleet_view fleet;

    std::optional<formats::row_version> head_row;
    std::optional<store_request> reading;
    bool is_read_wanted = true;
    bool must_announce = false; ///< tell all peers what the store had
    base::instant next_read{};
    std::uint32_t failed_reads = 0;
    std::int64_t last_turn = -1;
    base::instant next_expiry_check{};

    std::optional<configuration_document> snapshot_due;
    std::uint64_t snapshot_request = 0;
    configuration_version snapshot_version = 0;
    base::instant snapshot_sent{};

    std::deque<pending_change> changes; ///< the first one is in progress
    std::map<configuration_version, pending_answer> answers;

    configuration_version pushed = 0; ///< last version accepted here
    std::size_t repeats_left = 0;
    base::instant next_repeat{};

    base::host_id pulling_from;
    base::instant pull_sent{};
    std::map<base::host_id, peer_answer> bootstrap_answers;
    base::instant next_ask{};

    std::uint64_t last_number = 0;
    base::instant last_now{};
};

/// Keys of rows and objects.
std::string change_key(configuration_version version);
std::string snapshot_name(configuration_version version);
inline constexpr auto head_key = "config/head";

} // namespace foxtaillift::cluster
