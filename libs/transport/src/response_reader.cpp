#include "response_reader.hpp"

#include "asio.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace foxtaillift::transport
{

namespace http = boost::beast::http;

struct response_reader::parser
{
    http::response_parser<http::string_body> http;
};

response_reader::response_reader(
    response_limits message_limits, bool is_head, buffer_budget& budget)
    : limits(message_limits)
    , to_head(is_head)
    , share(budget)
{
    this->reset();
}

response_reader::~response_reader() = default;

void response_reader::reset()
{
    this->current = std::make_unique<parser>();
    auto& message_parser = this->current->http;
    message_parser.header_limit(
        static_cast<std::uint32_t>(this->limits.header));
    message_parser.body_limit(this->limits.body);
    message_parser.skip(this->to_head);
    this->has_header = false;
}

response_reader::progress response_reader::consume(std::string& input)
{
    auto* message_parser = &this->current->http;
    while (!input.empty()) {
        this->is_started = true;
        error_code failure;
        auto const used = message_parser->put(net::buffer(input), failure);
        input.erase(0, used);
        if (failure == http::error::header_limit ||
            failure == http::error::body_limit) {
            return this->fail(
                failure_reason::answer_too_large, failure.message());
        }
        if (failure && failure != http::error::need_more) {
            return this->fail(
                failure_reason::malformed_answer, failure.message());
        }
        if (message_parser->is_header_done() && !this->has_header) {
            this->has_header = true;
            if (message_parser->get().result_int() / 100 == 1 &&
                message_parser->get().result_int() != 101) {
                this->reset(); // an interim answer; the final one follows
                message_parser = &this->current->http;
                continue;
            }
            if (this->check_header() == progress::failed) {
                return progress::failed;
            }
            message_parser->eager(true);
        } else if (used == 0) {
            break;
        }
        if (!this->share.grow_to(message_parser->get().body().size())) {
            return this->fail(
                failure_reason::answer_too_large,
                "no memory is free for the body of the answer");
        }
        if (message_parser->is_done()) {
            return progress::complete;
        }
    }
    if (input.size() > this->limits.header) {
        return this->fail(
            failure_reason::answer_too_large,
            "the header block or a chunk header is too large");
    }
    return message_parser->is_done() ? progress::complete : progress::need_more;
}

response_reader::progress response_reader::check_header()
{
    auto const& message_parser = this->current->http;
    auto const& message = message_parser.get();
    if (message.result_int() == 101) {
        return this->fail(
            failure_reason::malformed_answer, "unexpected change of protocol");
    }
    if (message.count(http::field::transfer_encoding) > 0 &&
        !boost::beast::iequals(
            message[http::field::transfer_encoding], "chunked")) {
        return this->fail(
            failure_reason::malformed_answer, "unknown transfer coding");
    }
    if (message_parser.need_eof()) {
        return this->fail(
            failure_reason::malformed_answer,
            "the answer has neither Content-Length nor chunked coding");
    }
    if (!message_parser.is_done() &&
        message_parser.content_length().value_or(0) > this->limits.body) {
        return this->fail(
            failure_reason::answer_too_large, "the body is too large");
    }
    return progress::need_more;
}

response_reader::progress
response_reader::fail(failure_reason reason, std::string_view explanation)
{
    this->fault = reason;
    this->text = explanation;
    return progress::failed;
}

bool response_reader::keeps_alive() const
{
    return this->current->http.keep_alive();
}

response response_reader::take()
{
    auto message = this->current->http.release();
    response result{
        .status = static_cast<int>(message.result_int()),
        .headers = {},
        .body = std::move(message.body())};
    for (auto const& field : message) {
        auto const name = field.name_string();
        auto const value = field.value();
        result.headers.push_back(
            {{name.data(), name.size()}, {value.data(), value.size()}});
    }
    return result;
}

} // namespace foxtaillift::transport
