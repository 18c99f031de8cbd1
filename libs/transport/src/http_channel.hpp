/// Connects a responder with the session of its request.
#pragma once

#include "foxtaillift/transport/responder.hpp"
#include "http_server_core.hpp"

#include <cstdint>
#include <memory>
#include <utility>

namespace foxtaillift::transport
{

class http_channel : public detail::response_channel
{
public:
    http_channel(
        std::shared_ptr<http_session_base> connection,
        std::uint64_t request_number,
        progress_counter counter)
        : session(std::move(connection))
        , number(request_number)
        , token(std::make_shared<progress_token>(std::move(counter)))
    {}

    void deliver(response answer) override
    {
        this->session->answer(
            this->number, std::move(answer), std::move(this->token));
    }
    void watch(std::function<void()> on_disconnect) override
    {
        this->session->watch(this->number, std::move(on_disconnect));
    }

private:
    std::shared_ptr<http_session_base> session;
    std::uint64_t number;
    std::shared_ptr<progress_token> token;
};

} // namespace foxtaillift::transport
