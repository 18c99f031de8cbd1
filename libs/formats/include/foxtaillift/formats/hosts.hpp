/// The platform's lagging list of live and leaving workers.
#pragma once

#include "foxtaillift/base/identifier.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace foxtaillift::formats
{

/// Amounts of the three resources that tasks are declared with.
struct resources
{
    std::int64_t processors = 0; ///< thousandths of a core
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(resources const&) const = default;

    resources& operator+=(resources const& other);
    resources& operator-=(resources const& other);

    /// True if every amount is at most the one of `limit`.
    [[nodiscard]] bool fits_in(resources const& limit) const;
};

resources operator+(resources a, resources const& b);
resources operator-(resources a, resources const& b);

enum class worker_state
{
    live,
    leaving, ///< must get no new work
};

/// One worker of the platform's list.
struct worker_entry
{
    base::worker_id worker;
    std::string address; ///< IP number and port, "127.0.0.1:4000"
    base::rack_id rack;
    base::failure_domain_id failure_domain;
    worker_state state = worker_state::live;
    resources capacity;
    std::int32_t slots = 8;
    std::int32_t connections = 64;
    std::vector<base::service_id> services;
};

std::string_view to_string(worker_state state);

void to_json(nlohmann::json& out, resources const& value);
void from_json(nlohmann::json const& in, resources& value);
void to_json(nlohmann::json& out, worker_entry const& value);
void from_json(nlohmann::json const& in, worker_entry& value);

} // namespace foxtaillift::formats
