#include "http2_callbacks.hpp"

#include "foxtaillift/base/error.hpp"

namespace foxtaillift::transport
{

namespace
{

std::string_view view(std::uint8_t const* bytes, std::size_t size)
{
    return {reinterpret_cast<char const*>(bytes), size};
}

} // namespace

struct http2_callbacks
{
    static http2_link& link(void* pointer)
    {
        return *static_cast<http2_link*>(pointer);
    }

    static int begin_headers(
        nghttp2_session* /*session*/, nghttp2_frame const* frame, void* user)
    {
        link(user).on_begin_headers(*frame);
        return 0;
    }

    static int header(
        nghttp2_session* /*session*/,
        nghttp2_frame const* frame,
        std::uint8_t const* name,
        std::size_t name_size,
        std::uint8_t const* value,
        std::size_t value_size,
        std::uint8_t /*flags*/,
        void* user)
    {
        link(user).on_header(
            *frame, view(name, name_size), view(value, value_size));
        return 0;
    }

    static int data(
        nghttp2_session* /*session*/,
        std::uint8_t /*flags*/,
        std::int32_t stream,
        std::uint8_t const* bytes,
        std::size_t size,
        void* user)
    {
        link(user).on_data(stream, view(bytes, size));
        return 0;
    }

    static int frame_received(
        nghttp2_session* /*session*/, nghttp2_frame const* frame, void* user)
    {
        link(user).on_frame(*frame);
        return 0;
    }

    static int stream_close(
        nghttp2_session* /*session*/,
        std::int32_t stream,
        std::uint32_t error,
        void* user)
    {
        link(user).on_stream_close(stream, error);
        return 0;
    }

    static int before_frame(
        nghttp2_session* /*session*/, nghttp2_frame const* frame, void* user)
    {
        link(user).on_sending(*frame);
        return 0;
    }

    static int frame_sent(
        nghttp2_session* /*session*/, nghttp2_frame const* frame, void* user)
    {
        link(user).on_sent(*frame);
        return 0;
    }

    static int frame_not_sent(
        nghttp2_session* /*session*/,
        nghttp2_frame const* frame,
        int /*error*/,
        void* user)
    {
        link(user).on_not_sent(*frame);
        return 0;
    }
};

namespace
{

nghttp2_session_callbacks* make_callbacks()
{
    nghttp2_session_callbacks* out = nullptr;
    if (nghttp2_session_callbacks_new(&out) != 0) {
        return nullptr;
    }
    using callbacks = http2_callbacks;
    nghttp2_session_callbacks_set_on_begin_headers_callback(
        out, &callbacks::begin_headers);
    nghttp2_session_callbacks_set_on_header_callback(out, &callbacks::header);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        out, &callbacks::data);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        out, &callbacks::frame_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        out, &callbacks::stream_close);
    nghttp2_session_callbacks_set_before_frame_send_callback(
        out, &callbacks::before_frame);
    nghttp2_session_callbacks_set_on_frame_send_callback(
        out, &callbacks::frame_sent);
    nghttp2_session_callbacks_set_on_frame_not_send_callback(
        out, &callbacks::frame_not_sent);
    return out;
}

} // namespace

nghttp2_session* make_session(tls_role role, http2_link& link)
{
    auto* const callbacks = make_callbacks();
    nghttp2_session* session = nullptr;
    int const failure =
        role == tls_role::server
            ? nghttp2_session_server_new(&session, callbacks, &link)
            : nghttp2_session_client_new(&session, callbacks, &link);
    nghttp2_session_callbacks_del(callbacks);
    if (failure != 0) {
        throw base::error(
            base::error_code::unavailable,
            std::string{"cannot make an HTTP/2 session: "} +
                nghttp2_strerror(failure));
    }
    return session;
}

} // namespace foxtaillift::transport
