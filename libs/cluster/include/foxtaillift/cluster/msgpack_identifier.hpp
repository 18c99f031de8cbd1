/// MessagePack codec of base::identifier, and encode/decode of whole messages.
#pragma once

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/base/identifier.hpp"

#include <msgpack.hpp>

#include <string>
#include <string_view>

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    template <class Tag>
    struct convert<foxtaillift::base::identifier<Tag>>
    {
        msgpack::object const& operator()(
            msgpack::object const& in,
            foxtaillift::base::identifier<Tag>& value) const
        {
            value = foxtaillift::base::identifier<Tag>{in.as<std::string>()};
            // The signature is that of every msgpack adaptor.
            return in; // NOLINT(bugprone-return-const-ref-from-parameter)
        }
    };

    template <class Tag>
    struct pack<foxtaillift::base::identifier<Tag>>
    {
        template <class Stream>
        msgpack::packer<Stream>& operator()(
            msgpack::packer<Stream>& out,
            foxtaillift::base::identifier<Tag> const& value) const
        {
            return out.pack(value.str());
        }
    };

    } // namespace adaptor
} // MSGPACK_API_VERSION_NAMESPACE
} // namespace msgpack

namespace foxtaillift::cluster
{

template <class Message>
std::string encode(Message const& message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// Throws base::error with `corrupt_data` if `bytes` is not a `Message`.
template <class Message>
Message decode(std::string_view bytes)
{
    try {
        // An array or a map has at most an element for each byte; a stated size
        // beyond would be allocated before its elements are missed.
        auto const handle = msgpack::unpack(
            bytes.data(), bytes.size(), nullptr, nullptr,
            msgpack::unpack_limit(bytes.size(), bytes.size()));
        return handle.get().as<Message>();
    } catch (msgpack::unpack_error const& failure) {
        throw base::error(base::error_code::corrupt_data, failure.what());
    } catch (msgpack::type_error const& failure) {
        throw base::error(
            base::error_code::corrupt_data,
            "a field of a peer's message has another type");
    }
}

} // namespace foxtaillift::cluster
