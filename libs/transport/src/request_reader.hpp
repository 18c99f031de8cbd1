/// Incremental parser of HTTP/1.1 requests with limits.
#pragma once

#include "foxtaillift/transport/message.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace foxtaillift::transport
{

enum class read_progress
{
    need_more,   ///< the message goes on after the input
    header_done, ///< returned once, before the body is read
    complete,
    failed, ///< `error` has the answer; nothing further can be read
};

struct request_limits
{
    std::size_t header = 0;
    std::size_t body = 0;
};

class request_reader
{
public:
    explicit request_reader(request_limits message_limits);
    request_reader(request_reader const&) = delete;
    request_reader& operator=(request_reader const&) = delete;
    ~request_reader();

    /// Takes the bytes that it has parsed off the front of `input`.
    read_progress consume(std::string& input);

    /// The 4xx answer after `failed`.
    [[nodiscard]] response const& error() const;

    [[nodiscard]] bool is_in_body() const;
    [[nodiscard]] bool expects_continue() const;
    [[nodiscard]] bool keeps_alive() const;
    /// Memory of the header fields and of the body, in bytes.
    [[nodiscard]] std::size_t held() const;

    /// Returns the complete request and prepares for the next one.
    received_request take();

    /// Drops what has been read of a request.
    void reset();

private:
    struct parser;

    read_progress consume_header(std::string& input);
    read_progress consume_body(std::string& input);
    read_progress fail(int status, std::string_view text);

    request_limits limits;
    std::unique_ptr<parser> current;
    bool has_header = false;
    std::size_t header_size = 0; ///< memory of the fields
    std::size_t searched = 0;    ///< bytes without the end of the header block
    response refusal;
};

} // namespace foxtaillift::transport
