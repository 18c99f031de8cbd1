/// Passes the callbacks of an nghttp2 session to its link.
#pragma once

#include "http2_link.hpp"

namespace foxtaillift::transport
{

/// The caller deletes the session. Throws base::error if memory is short.
nghttp2_session* make_session(tls_role role, http2_link& link);

} // namespace foxtaillift::transport
