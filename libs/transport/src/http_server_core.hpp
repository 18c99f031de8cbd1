/// What the sessions of one HTTP/1.1 server share.
#pragma once

#include "buffer_budget.hpp"
#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/transport/http_server.hpp"
#include "give_way.hpp"
#include "progress_token.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::transport
{

/// What a session tells its server about itself. Written by the session, read
/// from any thread.
struct session_standing
{
    std::atomic<std::size_t> held{0}; ///< bytes of the budget
    /// Whether it may be closed, since no whole request has arrived.
    std::atomic<bool> may_give_way{false};
    std::atomic<std::int64_t> progress_ms{0}; ///< when it last made progress
};

enum class shortage
{
    memory,
    connections,
};

/// One connection as its server sees it. Functions are safe from any thread.
class http_session_base
{
public:
    http_session_base() = default;
    http_session_base(http_session_base const&) = delete;
    http_session_base& operator=(http_session_base const&) = delete;
    virtual ~http_session_base() = default;

    virtual void start() = 0;
    /// Answers the first request with this status and closes.
    virtual void refuse(int status, std::string_view reason) = 0;
    virtual void drain() = 0;
    virtual void abort() = 0;
    /// Drops a request that has not arrived whole; its memory or the whole
    /// connection becomes free. Has no effect once the request is whole.
    virtual void give_way(shortage reason) = 0;
    /// Sends the answer to the request of that number.
    virtual void answer(
        std::uint64_t number,
        response message,
        std::shared_ptr<progress_token> token) = 0;
    virtual void
    watch(std::uint64_t number, std::function<void()> on_disconnect) = 0;

    session_standing standing;
};

enum class admission
{
    accepted,
    address_limit,
    server_limit,
    closed, ///< too many refusals are being written already
};

class http_server_core
{
public:
    http_server_core(
        http_server_options server_options, request_handler on_request);

    http_server_options const options;
    request_handler const handler;
    base::steady_clock const clock{};
    buffer_budget budget;
    progress_counter in_progress;

    struct
    {
        std::atomic<std::uint64_t> accepted{0};
        std::atomic<std::uint64_t> refused{0};
        std::atomic<std::uint64_t> requests{0};
        std::atomic<std::uint64_t> bad_requests{0};
        std::atomic<std::uint64_t> disconnects{0};
        std::atomic<std::uint64_t> handshakes_failed{0};
        std::atomic<std::uint64_t> dropped_for_memory{0};
        std::atomic<std::uint64_t> dropped_for_connections{0};
        std::atomic<std::uint64_t> refused_for_memory{0};
    } counters;

    /// Makes the session's part of the budget `bytes`. Without room, sessions
    /// without a whole request give way, those without progress for longest
    /// first. Returns false and changes nothing if that is not enough, or if
    /// the session itself is the next one to give way.
    bool try_hold(http_session_base& session, std::size_t bytes);
    /// The same, also beyond the budget.
    void hold(http_session_base& session, std::size_t bytes);
    /// Called by a session that was told to give way, when it has done so or
    /// when its request has become whole meanwhile.
    void settle(http_session_base const* session, shortage reason);

    /// Registers a connection unless the result is `closed`. At a limit of
    /// connections, one without a whole request gives way.
    admission
    add(std::string const& remote,
        std::shared_ptr<http_session_base> const& session);
    /// Called once by each registered session when its socket is closed.
    void remove(http_session_base const* session);

    /// Drains present and future sessions.
    void drain_all();
    /// Allows `on_stopped` as soon as no session is left.
    void finish(std::function<void()> on_stopped);
    void abort_all();

    /// Changes the limit from now on; connections without a whole request that
    /// are above it are closed.
    void limit_connections(std::size_t most);

    [[nodiscard]] bool is_draining() const { return this->draining; }
    [[nodiscard]] std::size_t connections() const;

private:
    struct entry
    {
        std::weak_ptr<http_session_base> session;
        std::string remote{};
        bool is_refused = false;
        bool is_leaving = false;  ///< told to close its connection
        std::size_t promised = 0; ///< bytes that it was told to give up
    };

    using session_list = std::vector<std::shared_ptr<http_session_base>>;

    [[nodiscard]] session_list open_sessions() const;

    admission
    add(std::string const& remote,
        std::shared_ptr<http_session_base> const& session,
        session_list& told);

    // The functions below expect the mutex to be locked.

    /// Chooses the sessions that give way, into `told`. Nobody is told under
    /// the mutex, which the destructor of a session locks.
    bool make_room(
        http_session_base const& wanting,
        std::size_t bytes,
        session_list& told);
    /// The same for connections; those of one address if it is not empty.
    bool free_connections(
        std::size_t count, std::string const& remote, session_list& told);
    /// Sessions that may give way and hold `amount` together of what
    /// `amount_of` counts; empty if there are not enough. None of them has made
    /// progress later than `wanting`, if that may give way itself.
    template <class AmountOf>
    [[nodiscard]] std::vector<entry*> choose(
        std::size_t amount,
        http_session_base const* wanting,
        AmountOf const& amount_of);
    [[nodiscard]] std::size_t accepted_open() const
    {
        return this->sessions.size() - this->refused_open - this->leaving_open;
    }
    void discount_remote(std::string const& remote);

    std::atomic<bool> draining{false};
    mutable std::mutex mutex;
    std::map<http_session_base const*, entry> sessions;
    std::map<std::string, std::size_t> by_remote; ///< accepted ones that stay
    std::size_t connection_limit;
    std::size_t refused_open = 0;
    std::size_t leaving_open = 0;
    std::size_t promised = 0; ///< bytes that sessions were told to give up
    std::function<void()> on_stopped;
};

} // namespace foxtaillift::transport
