/// Body type of request parsers whose memory follows what has arrived.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

namespace foxtaillift::transport
{

/// A stated length reserves nothing, since the body may never come. The
/// capacity at most doubles what has arrived and never exceeds the stated
/// length or the limit.
struct growing_body
{
    struct value_type
    {
        std::string text{};
        std::size_t limit = std::numeric_limits<std::size_t>::max();
    };

    static std::uint64_t size(value_type const& body)
    {
        return body.text.size();
    }

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(
            boost::beast::http::header<IsRequest, Fields>&, value_type& target)
            : body(target)
        {}

        void init(
            boost::optional<std::uint64_t> const& length,
            boost::beast::error_code& failure)
        {
            this->most = static_cast<std::size_t>(std::min<std::uint64_t>(
                length.value_or(this->body.limit), this->body.limit));
            failure = {};
        }

        template <class Buffers>
        std::size_t
        put(Buffers const& buffers, boost::beast::error_code& failure)
        {
            auto const count = boost::beast::buffer_bytes(buffers);
            this->reserve(this->body.text.size() + count);
            for (auto const part : boost::beast::buffers_range_ref(buffers)) {
                this->body.text.append(
                    static_cast<char const*>(part.data()), part.size());
            }
            failure = {};
            return count;
        }

        void finish(boost::beast::error_code& failure) { failure = {}; }

    private:
        void reserve(std::size_t size)
        {
            auto& text = this->body.text;
            if (size <= text.capacity()) {
                return;
            }
            // std::string::reserve may take twice the present capacity.
            std::string larger;
            larger.reserve(
                std::max(size, std::min(this->most, text.capacity() * 2)));
            larger.append(text);
            text.swap(larger);
        }

        value_type& body;
        std::size_t most = 0;
    };
};

} // namespace foxtaillift::transport
