/// TLS 1.3 with an external pre-shared key and no certificates.
#pragma once

#include "asio.hpp"

#include <boost/asio/ssl.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace foxtaillift::transport
{

enum class tls_role
{
    client,
    server,
};

/// A context whose handshakes succeed only with a peer that has the same key
/// and the same `purpose`, so that a peer key can never open an operator
/// listener. Throws base::error if the key has less than 16 bytes.
///
/// The key is hashed to the 32 bytes that a SHA-256 cipher suite uses.
std::shared_ptr<net::ssl::context>
make_tls_context(tls_role role, std::string_view purpose, std::string_view key);

using tls_stream = net::ssl::stream<tcp::socket>;

/// True if the handshake was authenticated by the key. A client checks this in
/// addition to the result of the handshake.
bool is_authenticated(tls_stream& stream);

} // namespace foxtaillift::transport
