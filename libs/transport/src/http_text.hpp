/// Text of HTTP/1.1 message heads.
#pragma once

#include "foxtaillift/transport/message.hpp"

#include <string>
#include <string_view>

namespace foxtaillift::transport
{

/// True for fields that describe one connection or the length of a body. They
/// are never passed on from one connection to another.
bool is_connection_field(std::string_view name);

/// False if the field would break the framing of a head.
bool is_valid_field(header_field const& field);

/// Empty if the request can be sent, else the reason why not.
std::string find_fault(request const& message);

/// The answer to a request that is not handed to the handler.
response make_refusal(int status, std::string_view reason);

/// False for answers that never have a body: 1xx, 204, 304.
bool may_have_body(int status);

/// Head of an answer with its final empty line. Invalid and connection fields
/// are left out. `to_head` says that the request was HEAD: the body is not sent
/// and a given Content-Length is kept.
std::string
make_response_head(response const& answer, bool is_last, bool to_head);

std::string make_request_head(request const& message, std::string_view host);

} // namespace foxtaillift::transport
