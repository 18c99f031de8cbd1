/// Orders to workers, and their answers, as entry hosts pass them on for a
/// leader.
#pragma once

#include "foxtaillift/jobs/worker.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtaillift::jobs
{

using relayable_order =
    std::variant<look_order, start_order, stop_order, pace_order>;

struct relayed_order
{
    std::uint64_t number = 0; ///< by which its answer is told
    relayable_order order{};
};

struct relayed_answer
{
    std::uint64_t number = 0;
    order_status status = order_status::unknown;
    std::optional<worker_report> report{}; ///< of a look carried out
};

/// MessagePack. Decoding throws base::error (corrupt_data).
std::string encode(std::span<relayed_order const> orders);
std::vector<relayed_order> decode_relayed_orders(std::string_view text);
std::string encode(std::span<relayed_answer const> answers);
std::vector<relayed_answer> decode_relayed_answers(std::string_view text);

} // namespace foxtaillift::jobs
