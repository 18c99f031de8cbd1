/// One connection of the HTTP/1.1 client pool.
#pragma once

#include "asio.hpp"
#include "foxtaillift/base/clock.hpp"
#include "pool_exchange.hpp"
#include "response_reader.hpp"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace foxtaillift::transport
{

class pool_group;

/// Runs on the strand of its group. Kept alive by its outstanding operations.
class pool_connection : public std::enable_shared_from_this<pool_connection>
{
public:
    explicit pool_connection(std::shared_ptr<pool_group> owner);
    ~pool_connection();
    pool_connection(pool_connection const&) = delete;
    pool_connection& operator=(pool_connection const&) = delete;

    /// Connects if necessary, sends the request and reads its answer.
    void run(std::shared_ptr<pool_exchange> exchange);

    /// True if the idle connection was neither closed nor written to by the
    /// server, as far as the kernel knows at this moment.
    [[nodiscard]] bool is_usable();

    /// When its server accepted it.
    [[nodiscard]] std::chrono::steady_clock::time_point opened_at() const
    {
        return this->opened;
    }
    /// When its server last accepted it or sent anything.
    [[nodiscard]] std::chrono::steady_clock::time_point heard_at() const
    {
        return this->heard;
    }

    /// A connection that was heard before then may have gone silent since.
    static std::chrono::steady_clock::time_point recent();

    /// Ends the request in progress, if any, and closes.
    void fail(failure_reason reason, std::string message);

    void close();

private:
    void connect();
    void on_connected(error_code failure);
    void write();
    void on_written(error_code failure, std::size_t bytes);
    void read();
    void on_read(error_code failure, std::size_t bytes);
    void on_answer();
    void conclude();
    /// The request in progress failed: tells the group if nothing came for it
    /// lately, so that its path may be dead.
    void report_silence();
    void wait_idle();
    void arm(base::duration limit, void (pool_connection::*action)());
    void on_connect_timeout();

    /// A server that answered early has this long to take the rest of the
    /// request; after that the connection is closed.
    static constexpr base::duration early_answer_wait = base::seconds(1);

    std::shared_ptr<pool_group> group;
    tcp::socket socket;
    net::steady_timer timer;
    std::uint64_t timer_number = 0;
    std::uint64_t idle_number = 0; ///< ignores waits of an earlier idle period
    bool is_connected = false;
    bool is_closed = false;
    bool is_reused = false;
    std::shared_ptr<pool_exchange> current;
    std::optional<response_reader> reader;
    bool is_writing = false;
    bool is_answered = false;       ///< the answer came before the write's end
    std::size_t accepted_bytes = 0; ///< of the request, by the kernel
    std::chrono::steady_clock::time_point opened{};
    std::chrono::steady_clock::time_point heard{};
    std::chrono::steady_clock::time_point written{}; ///< last request's start
    failure_reason fault = failure_reason::none;
    std::string fault_message;
    std::string head;
    std::string scratch;
    std::string input;
};

} // namespace foxtaillift::transport
