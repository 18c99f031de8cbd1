/// Many plain connections that send parts of requests and stay open.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace foxtaillift::harness
{

struct crowd_plan
{
    std::size_t connections = 0;
    std::string request{}; ///< the whole one
    /// Bytes at the end of the request that most connections never send.
    std::size_t missing = 1;
    /// Each n-th connection sends the whole request; 0: none does.
    std::size_t whole_each = 10;
    /// Bytes that a connection sends before it is the next one's turn.
    std::size_t piece = 0;
};

/// Connects and sends from the calling thread. Never reads. Keeps all
/// connections open until it is destroyed.
class crowd
{
public:
    /// Returns when each connection has sent its part, or was reset by the
    /// server, or after the bound. Throws base::error if it cannot connect.
    crowd(
        std::string const& address,
        crowd_plan const& plan,
        base::duration bound = base::seconds(120));
    ~crowd();
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;

    /// Connections that sent all of their part.
    [[nodiscard]] std::size_t finished() const { return this->finished_count; }
    /// Whether none was left with something to send.
    [[nodiscard]] bool is_done() const { return this->pending_count == 0; }

private:
    struct member
    {
        int socket = -1;
        std::string_view rest{};
    };

    /// Sends one piece of each connection; returns whether any byte left.
    bool take_turns(std::size_t piece);
    void wait_for_room();

    std::vector<member> members{};
    std::size_t finished_count = 0;
    std::size_t pending_count = 0;
};

/// A request with one body of chunks of this many bytes each.
std::string make_chunked_request(
    std::string_view head, std::size_t body_bytes, std::size_t chunk_bytes);

} // namespace foxtaillift::harness
