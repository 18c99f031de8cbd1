/// Incremental parser of HTTP/1.1 answers with limits.
#pragma once

#include "buffer_budget.hpp"
#include "foxtaillift/transport/exchange.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace foxtaillift::transport
{

struct response_limits
{
    std::size_t header = 0;
    std::size_t body = 0;
};

/// Reads one answer.
class response_reader
{
public:
    enum class progress
    {
        need_more,
        complete,
        failed, ///< `reason` and `message` say why
    };

    /// `to_head` says that the request was HEAD, so that no body follows.
    response_reader(
        response_limits message_limits, bool to_head, buffer_budget& budget);
    response_reader(response_reader const&) = delete;
    response_reader& operator=(response_reader const&) = delete;
    ~response_reader();

    /// Takes the bytes that it has parsed off the front of `input`.
    progress consume(std::string& input);

    [[nodiscard]] failure_reason reason() const { return this->fault; }
    [[nodiscard]] std::string const& message() const { return this->text; }

    /// True once a byte of the answer was read.
    [[nodiscard]] bool has_started() const { return this->is_started; }
    /// True if the connection can be used again after a complete answer.
    [[nodiscard]] bool keeps_alive() const;

    response take();

private:
    struct parser;

    void reset();
    progress check_header();
    progress fail(failure_reason reason, std::string_view text);

    response_limits limits;
    bool to_head;
    buffer_share share;
    std::unique_ptr<parser> current;
    bool is_started = false;
    bool has_header = false;
    failure_reason fault = failure_reason::none;
    std::string text;
};

} // namespace foxtaillift::transport
