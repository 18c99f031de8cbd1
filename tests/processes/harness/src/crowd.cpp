#include "foxtaillift/harness/crowd.hpp"

#include "foxtaillift/base/error.hpp"

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace foxtaillift::harness
{

namespace
{

int connect_to(std::string const& address)
{
    auto const colon = address.rfind(':');
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(
        static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
    int const result = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (result < 0 || connect(
                          result, reinterpret_cast<sockaddr const*>(&target),
                          sizeof target) != 0) {
        if (result >= 0) {
            close(result);
        }
        throw base::error(
            base::error_code::unavailable, "cannot connect to " + address);
    }
    return result;
}

} // namespace

crowd::crowd(
    std::string const& address, crowd_plan const& plan, base::duration bound)
{
    std::string_view const whole{plan.request};
    for (std::size_t i = 0; i < plan.connections; ++i) {
        bool const is_whole =
            plan.whole_each > 0 && i % plan.whole_each == plan.whole_each - 1;
        this->members.push_back(
            {.socket = connect_to(address),
             .rest = whole.substr(
                 0, whole.size() - (is_whole ? 0 : plan.missing))});
    }
    this->pending_count = this->members.size();
    base::steady_clock const clock;
    auto const end = clock.now() + bound;
    while (this->pending_count > 0 && clock.now() < end) {
        if (!this->take_turns(plan.piece)) {
            this->wait_for_room();
        }
    }
    // The request belongs to the caller.
    for (auto& each : this->members) {
        each.rest = {};
    }
}

crowd::~crowd()
{
    for (auto const& each : this->members) {
        close(each.socket);
    }
}

bool crowd::take_turns(std::size_t piece)
{
    bool has_sent = false;
    for (auto& each : this->members) {
        if (each.rest.empty()) {
            continue;
        }
        auto const sent = send(
            each.socket, each.rest.data(), std::min(piece, each.rest.size()),
            MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            continue;
        }
        has_sent = true;
        if (sent < 0) { // refused, and closed by the server
            each.rest = {};
            --this->pending_count;
            continue;
        }
        each.rest.remove_prefix(static_cast<std::size_t>(sent));
        if (each.rest.empty()) {
            ++this->finished_count;
            --this->pending_count;
        }
    }
    return has_sent;
}

void crowd::wait_for_room()
{
    std::vector<pollfd> waiting;
    for (auto const& each : this->members) {
        if (!each.rest.empty()) {
            waiting.push_back(
                {.fd = each.socket, .events = POLLOUT, .revents = 0});
        }
    }
    constexpr int longest_wait_ms = 100;
    poll(waiting.data(), waiting.size(), longest_wait_ms);
}

std::string make_chunked_request(
    std::string_view head, std::size_t body_bytes, std::size_t chunk_bytes)
{
    std::string result{head};
    for (std::size_t left = body_bytes; left > 0;) {
        auto const size = std::min(left, chunk_bytes);
        std::array<char, 16> digits{};
        constexpr int hexadecimal = 16;
        auto const [end, failure] = std::to_chars(
            digits.data(), digits.data() + digits.size(), size, hexadecimal);
        result.append(digits.data(), end).append("\r\n");
        result.append(size, 'a').append("\r\n");
        left -= size;
    }
    return result.append("0\r\n\r\n");
}

} // namespace foxtaillift::harness
