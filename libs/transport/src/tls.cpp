#include "tls.hpp"

#include "foxtaillift/base/error.hpp"

#include <openssl/sha.h>
#include <openssl/ssl.h>

#include <algorithm>
#include <array>
#include <cstring>

namespace foxtaillift::transport
{

namespace
{

constexpr std::size_t shortest_key = 16;
/// TLS_AES_128_GCM_SHA256.
constexpr std::array<unsigned char, 2> cipher_number{0x13, 0x01};

struct psk_material
{
    std::string identity;
    std::array<unsigned char, SHA256_DIGEST_LENGTH> secret{};
};

void free_material(
    void* /*parent*/,
    void* pointer,
    CRYPTO_EX_DATA* /*data*/,
    int /*index*/,
    long /*argument*/,
    void* /*argument pointer*/)
{
    delete static_cast<psk_material*>(pointer);
}

int material_index()
{
    static int const index =
        SSL_CTX_get_ex_new_index(0, nullptr, nullptr, nullptr, &free_material);
    return index;
}

psk_material const& material_of(SSL* ssl)
{
    return *static_cast<psk_material const*>(
        SSL_CTX_get_ex_data(SSL_get_SSL_CTX(ssl), material_index()));
}

/// Describes the key to OpenSSL as if it were a session to resume.
SSL_SESSION* make_session(SSL* ssl, psk_material const& material)
{
    auto const* cipher = SSL_CIPHER_find(ssl, cipher_number.data());
    SSL_SESSION* session = SSL_SESSION_new();
    if (session == nullptr || cipher == nullptr ||
        SSL_SESSION_set1_master_key(
            session, material.secret.data(), material.secret.size()) != 1 ||
        SSL_SESSION_set_cipher(session, cipher) != 1 ||
        SSL_SESSION_set_protocol_version(session, TLS1_3_VERSION) != 1) {
        SSL_SESSION_free(session);
        return nullptr;
    }
    return session;
}

int offer_key(
    SSL* ssl,
    EVP_MD const* digest,
    unsigned char const** identity,
    std::size_t* identity_size,
    SSL_SESSION** session)
{
    *session = nullptr;
    *identity = nullptr;
    *identity_size = 0;
    // Asked again after a HelloRetryRequest for the hash of the chosen cipher.
    if (digest != nullptr && EVP_MD_get_type(digest) != NID_sha256) {
        return 1;
    }
    auto const& material = material_of(ssl);
    *session = make_session(ssl, material);
    *identity =
        reinterpret_cast<unsigned char const*>(material.identity.data());
    *identity_size = material.identity.size();
    return *session != nullptr ? 1 : 0;
}

int find_key(
    SSL* ssl,
    unsigned char const* identity,
    std::size_t identity_size,
    SSL_SESSION** session)
{
    *session = nullptr;
    auto const& material = material_of(ssl);
    if (identity_size != material.identity.size() ||
        std::memcmp(identity, material.identity.data(), identity_size) != 0) {
        return 1;
    }
    *session = make_session(ssl, material);
    return *session != nullptr ? 1 : 0;
}

std::unique_ptr<psk_material>
derive(std::string_view purpose, std::string_view key)
{
    auto material = std::make_unique<psk_material>();
    material->identity = "foxtaillift " + std::string{purpose};
    std::string input = material->identity + '\0';
    input += key;
    SHA256(
        reinterpret_cast<unsigned char const*>(input.data()), input.size(),
        material->secret.data());
    return material;
}

} // namespace

std::shared_ptr<net::ssl::context>
make_tls_context(tls_role role, std::string_view purpose, std::string_view key)
{
    if (key.size() < shortest_key) {
        throw base::error(
            base::error_code::invalid_argument,
            "the " + std::string{purpose} + " key must have at least 16 bytes");
    }
    auto context = std::make_shared<net::ssl::context>(net::ssl::context::tls);
    SSL_CTX* const native = context->native_handle();
    if (SSL_CTX_set_min_proto_version(native, TLS1_3_VERSION) != 1 ||
        SSL_CTX_set_ciphersuites(native, "TLS_AES_128_GCM_SHA256") != 1 ||
        SSL_CTX_set_num_tickets(native, 0) != 1) {
        throw base::error(
            base::error_code::invalid_state,
            "OpenSSL refuses TLS 1.3 with a pre-shared key");
    }
    auto material = derive(purpose, key);
    if (SSL_CTX_set_ex_data(native, material_index(), material.get()) != 1) {
        throw base::error(
            base::error_code::invalid_state, "OpenSSL cannot keep the key");
    }
    // The context frees it.
    [[maybe_unused]] auto const* const kept = material.release();
    SSL_CTX_set_session_cache_mode(native, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_mode(native, SSL_MODE_RELEASE_BUFFERS);
    if (role == tls_role::client) {
        // No certificate is trusted, so a server without the key is refused.
        SSL_CTX_set_verify(native, SSL_VERIFY_PEER, nullptr);
        SSL_CTX_set_psk_use_session_callback(native, &offer_key);
    } else {
        SSL_CTX_set_psk_find_session_callback(native, &find_key);
    }
    return context;
}

bool is_authenticated(tls_stream& stream)
{
    SSL* const native = stream.native_handle();
    return SSL_version(native) == TLS1_3_VERSION &&
           SSL_session_reused(native) == 1;
}

} // namespace foxtaillift::transport
