/// One connection of the HTTP/1.1 server, over TCP or TLS.
#pragma once

#include "asio.hpp"
#include "http_server_core.hpp"
#include "request_progress.hpp"
#include "request_reader.hpp"
#include "tls.hpp"

#include <array>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace foxtaillift::transport
{

/// Runs on the strand of its socket. One read is outstanding at most; it goes
/// on while the handler works, so that a disconnect is noticed, until one
/// header block of pipelined requests is buffered. All memory that grows with
/// what the caller sends counts in the server's budget.
template <class Stream>
class http_session : public http_session_base,
                     public std::enable_shared_from_this<http_session<Stream>>
{
public:
    /// `arguments` construct the stream.
    template <class... Arguments>
    http_session(
        std::shared_ptr<http_server_core> server,
        std::string remote_address,
        Arguments&&... arguments);
    ~http_session() override;
    http_session(http_session const&) = delete;
    http_session& operator=(http_session const&) = delete;

    void start() override;
    void refuse(int status, std::string_view reason) override;
    void drain() override
    {
        this->post([](http_session& self) {
            if (self.state == phase::reading) {
                self.arm_for_reading();
            }
        });
    }

    void abort() override
    {
        this->post([](http_session& self) { self.close(); });
    }

    void give_way(shortage reason) override
    {
        this->post([reason](http_session& self) { self.on_give_way(reason); });
    }

    void answer(
        std::uint64_t number,
        response message,
        std::shared_ptr<progress_token> token) override;
    void
    watch(std::uint64_t number, std::function<void()> on_disconnect) override;

private:
    enum class phase
    {
        handshake,
        reading,   ///< between requests, or within a header or body
        handling,  ///< the handler has the request
        writing,   ///< an answer
        lingering, ///< the sending side is closed, input is discarded
        closed,
    };

    auto& socket() { return this->stream.lowest_layer(); }
    /// Runs `action` on the strand.
    template <class Action>
    void post(Action action)
    {
        net::post(
            this->stream.get_executor(),
            [self = this->shared_from_this(),
             action = std::move(action)]() mutable { action(*self); });
    }

    void handshake();
    void read();
    void prepare_scratch();
    /// Reads on while the handler works or an answer is written.
    void read_ahead();
    void on_read(error_code failure, std::size_t bytes);
    void on_end_of_input(error_code failure);
    void advance();
    void on_header_done();
    void dispatch();
    void on_give_way(shortage reason);
    /// Answers and closes without waiting for the caller.
    void refuse_and_close(response const& message);
    void refuse_for_memory();
    void fail(response message);
    /// Bytes that count in the budget.
    [[nodiscard]] std::size_t held() const;
    /// Counts what is held by now; false if the request must be refused.
    bool try_count() { return this->core->try_hold(*this, this->held()); }
    void count() { this->core->hold(*this, this->held()); }
    void drop_request();
    void trim_input();
    /// Gives the memory back, unlike clear() or an assignment.
    static void release(std::string& text) { std::string{}.swap(text); }
    /// Tells the core whether and when this session may give way.
    void note_standing();
    void note_received(std::size_t bytes);
    [[nodiscard]] bool has_begun_request() const
    {
        return !this->input.empty() || this->reader.is_in_body();
    }
    void write(response message, bool is_last);
    void on_written(error_code failure, bool is_last);
    void arm_for_reading();
    void arm(base::duration limit);
    void on_expired();
    void linger();
    void close();
    void notify_disconnect()
    {
        if (auto const callback = std::exchange(this->on_disconnect, nullptr)) {
            callback();
        }
    }

    std::shared_ptr<http_server_core> core;
    std::string remote;
    Stream stream;
    net::steady_timer timer;
    std::uint64_t timer_number = 0; ///< ignores expiries of an earlier arming
    phase state = phase::handshake;
    bool is_reading = false;
    bool is_input_ended = false;
    bool is_header_timed = false;    ///< the header's time is running
    bool is_request_begun = false;   ///< a byte of it has arrived
    std::unique_ptr<char[]> scratch; ///< target of the outstanding read
    std::size_t scratch_size = 0;
    std::string input; ///< received and not parsed yet
    request_reader reader;
    request_progress progress;
    std::size_t handled = 0; ///< bytes of the request that the handler has
    std::uint64_t request_number = 0;
    bool keeps_alive = true;
    bool is_head = false;
    std::function<void()> on_disconnect;
    std::shared_ptr<progress_token> token; ///< of the answer being written
    std::string head_out;
    std::string body_out;
};

extern template class http_session<tcp::socket>;
extern template class http_session<tls_stream>;

} // namespace foxtaillift::transport
