#include "foxtaillift/transport/responder.hpp"

#include <utility>

namespace foxtaillift::transport
{

responder::responder(std::shared_ptr<detail::response_channel> channel)
    : target(std::move(channel))
{}

responder& responder::operator=(responder&& other) noexcept
{
    if (this != &other) {
        responder const replaced{std::move(*this)};
        this->target = std::move(other.target);
    }
    return *this;
}

responder::~responder()
{
    if (this->target) {
        this->target->deliver(
            {.status = 500,
             .headers = {},
             .body = "the handler gave no answer\n"});
    }
}

void responder::send(response answer)
{
    if (auto const channel = std::exchange(this->target, nullptr)) {
        channel->deliver(std::move(answer));
    }
}

void responder::on_disconnect(std::function<void()> callback)
{
    if (this->target) {
        this->target->watch(std::move(callback));
    }
}

} // namespace foxtaillift::transport
