#include "http_text.hpp"

// Beast's status.hpp uses std::ostream without including it.
#include <ostream>

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace foxtaillift::transport
{

namespace
{

bool equals_ignoring_case(std::string_view a, std::string_view b)
{
    auto const lower = [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
    };
    return std::ranges::equal(a, b, {}, lower, lower);
}

bool is_token_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') ||
           std::string_view{"!#$%&'*+-.^_`|~"}.find(c) !=
               std::string_view::npos;
}

bool is_token(std::string_view text)
{
    return !text.empty() && std::ranges::all_of(text, is_token_character);
}

bool is_visible(char c)
{
    auto const code = static_cast<unsigned char>(c);
    return code > 0x20 && code != 0x7f;
}

void append_field(
    std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void append_fields(std::string& out, header_list const& headers)
{
    for (auto const& field : headers) {
        if (!is_connection_field(field.name) && is_valid_field(field)) {
            append_field(out, field.name, field.value);
        }
    }
}

std::string content_length(response const& answer, bool to_head)
{
    auto const given = find_header(answer.headers, "Content-Length");
    bool const is_number =
        !given.empty() && given.size() < 16 &&
        given.find_first_not_of("0123456789") == std::string_view::npos;
    if (to_head && answer.body.empty() && is_number) {
        return std::string{given};
    }
    return std::to_string(answer.body.size());
}

} // namespace

bool is_connection_field(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names{
        "connection", "content-length",    "keep-alive",
        "te",         "proxy-connection",  "trailer",
        "upgrade",    "transfer-encoding", "expect"};
    return std::ranges::any_of(names, [name](std::string_view known) {
        return equals_ignoring_case(name, known);
    });
}

bool is_valid_field(header_field const& field)
{
    return is_token(field.name) && std::ranges::all_of(field.value, [](char c) {
               return is_visible(c) || c == ' ' || c == '\t';
           });
}

std::string find_fault(request const& message)
{
    if (!is_token(message.method)) {
        return "the method is not a token";
    }
    if (message.target.empty() ||
        !std::ranges::all_of(message.target, is_visible)) {
        return "the target is empty or has spaces or control characters";
    }
    for (auto const& field : message.headers) {
        if (!is_valid_field(field)) {
            return "header field '" + field.name + "' is malformed";
        }
    }
    return {};
}

response make_refusal(int status, std::string_view reason)
{
    return {
        .status = status,
        .headers = {{"Foxtail-Outcome", "not-run"}},
        .body = std::string{reason} + "\n"};
}

bool may_have_body(int status)
{
    return status >= 200 && status != 204 && status != 304;
}

std::string
make_response_head(response const& answer, bool is_last, bool to_head)
{
    namespace http = boost::beast::http;
    auto const reason =
        http::obsolete_reason(static_cast<http::status>(answer.status));
    std::string out = "HTTP/1.1 " + std::to_string(answer.status) + " ";
    out.append(reason.data(), reason.size()).append("\r\n");
    append_fields(out, answer.headers);
    if (may_have_body(answer.status)) {
        append_field(out, "Content-Length", content_length(answer, to_head));
    }
    if (is_last) {
        append_field(out, "Connection", "close");
    }
    return out.append("\r\n");
}

std::string make_request_head(request const& message, std::string_view host)
{
    std::string out = message.method + " " + message.target + " HTTP/1.1\r\n";
    if (find_header(message.headers, "Host").empty()) {
        append_field(out, "Host", host);
    }
    append_fields(out, message.headers);
    bool const has_length = !message.body.empty() || message.method == "POST" ||
                            message.method == "PUT";
    if (has_length) {
        append_field(
            out, "Content-Length", std::to_string(message.body.size()));
    }
    return out.append("\r\n");
}

} // namespace foxtaillift::transport
