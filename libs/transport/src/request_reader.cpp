#include "request_reader.hpp"

#include "asio.hpp"
#include "growing_body.hpp"
#include "http_text.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>

namespace foxtaillift::transport
{

namespace http = boost::beast::http;

struct request_reader::parser
{
    http::request_parser<growing_body> http;
};

namespace
{

/// Obsolete line folding continues a field on a line that starts with a space.
/// Servers disagree on its meaning, which allows request smuggling.
bool has_line_folding(std::string_view head)
{
    return head.find("\r\n ") != std::string_view::npos ||
           head.find("\r\n\t") != std::string_view::npos;
}

/// Memory of a field beside its text, in the parser or in a header_list.
constexpr std::size_t field_size = 128;

template <class Message>
std::size_t count_fields(Message const& message, http::field name)
{
    return message.count(name);
}

std::string to_string(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

request_reader::request_reader(request_limits message_limits)
    : limits(message_limits)
{
    this->reset();
}

request_reader::~request_reader() = default;

read_progress request_reader::consume(std::string& input)
{
    return this->has_header ? this->consume_body(input)
                            : this->consume_header(input);
}

read_progress request_reader::consume_header(std::string& input)
{
    if (this->searched == 0) {
        // Empty lines before a request are ignored (RFC 9112, 2.2).
        input.erase(0, std::min(input.find_first_not_of("\r\n"), input.size()));
    }
    auto const from = this->searched < 3 ? 0 : this->searched - 3;
    auto const end = input.find("\r\n\r\n", from);
    if (end == std::string::npos ? input.size() > this->limits.header
                                 : end + 4 > this->limits.header) {
        return this->fail(431, "the header block is too large");
    }
    this->searched = input.size();
    if (end == std::string::npos) {
        return read_progress::need_more;
    }
    if (has_line_folding(std::string_view{input}.substr(0, end))) {
        return this->fail(400, "obsolete line folding is not accepted");
    }
    auto& message_parser = this->current->http;
    error_code failure;
    input.erase(0, message_parser.put(net::buffer(input), failure));
    if (failure == http::error::body_limit) {
        return this->fail(413, "the body is too large");
    }
    if (failure || !message_parser.is_header_done()) {
        return this->fail(400, "malformed header block: " + failure.message());
    }
    auto const& message = message_parser.get();
    if (count_fields(message, http::field::transfer_encoding) > 0 &&
        !boost::beast::iequals(
            message[http::field::transfer_encoding], "chunked")) {
        return this->fail(400, "only the transfer coding chunked is accepted");
    }
    if (message_parser.content_length().value_or(0) > this->limits.body) {
        return this->fail(413, "the body is too large");
    }
    this->header_size =
        end + field_size * static_cast<std::size_t>(
                               std::distance(message.begin(), message.end()));
    this->has_header = true;
    message_parser.eager(true);
    return read_progress::header_done;
}

read_progress request_reader::consume_body(std::string& input)
{
    auto& message_parser = this->current->http;
    if (message_parser.is_done()) {
        return read_progress::complete;
    }
    if (input.empty()) {
        return read_progress::need_more;
    }
    error_code failure;
    input.erase(0, message_parser.put(net::buffer(input), failure));
    if (failure == http::error::body_limit) {
        return this->fail(413, "the body is too large");
    }
    if (failure && failure != http::error::need_more) {
        return this->fail(400, "malformed body: " + failure.message());
    }
    if (message_parser.is_done()) {
        return read_progress::complete;
    }
    // Only an incomplete chunk header or trailer is left unparsed.
    if (input.size() > this->limits.header) {
        return this->fail(400, "a chunk header or trailer is too large");
    }
    return read_progress::need_more;
}

read_progress request_reader::fail(int status, std::string_view text)
{
    this->refusal = make_refusal(status, text);
    return read_progress::failed;
}

response const& request_reader::error() const
{
    return this->refusal;
}

bool request_reader::is_in_body() const
{
    return this->has_header;
}

bool request_reader::expects_continue() const
{
    return boost::beast::iequals(
        this->current->http.get()[http::field::expect], "100-continue");
}

bool request_reader::keeps_alive() const
{
    return this->current->http.get().keep_alive();
}

std::size_t request_reader::held() const
{
    return this->header_size + this->current->http.get().body().text.capacity();
}

received_request request_reader::take()
{
    auto message = this->current->http.release();
    received_request result;
    result.method = to_string(message.method_string());
    result.target = to_string(message.target());
    for (auto const& field : message) {
        result.headers.push_back(
            {to_string(field.name_string()), to_string(field.value())});
    }
    result.body = std::move(message.body().text);
    this->reset();
    return result;
}

void request_reader::reset()
{
    this->current = std::make_unique<parser>();
    this->current->http.header_limit(
        static_cast<std::uint32_t>(this->limits.header));
    this->current->http.body_limit(this->limits.body);
    this->current->http.get().body().limit = this->limits.body;
    this->has_header = false;
    this->header_size = 0;
    this->searched = 0;
}

} // namespace foxtaillift::transport
