#include "foxtaillift/formats/hosts.hpp"

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

namespace foxtaillift::formats
{

resources& resources::operator+=(resources const& other)
{
    this->processors += other.processors;
    this->memory_mb += other.memory_mb;
    this->accelerators += other.accelerators;
    return *this;
}

resources& resources::operator-=(resources const& other)
{
    this->processors -= other.processors;
    this->memory_mb -= other.memory_mb;
    this->accelerators -= other.accelerators;
    return *this;
}

bool resources::fits_in(resources const& limit) const
{
    return this->processors <= limit.processors &&
           this->memory_mb <= limit.memory_mb &&
           this->accelerators <= limit.accelerators;
}

resources operator+(resources a, resources const& b)
{
    a += b;
    return a;
}

resources operator-(resources a, resources const& b)
{
    a -= b;
    return a;
}

std::string_view to_string(worker_state state)
{
    return state == worker_state::live ? "live" : "leaving";
}

void to_json(nlohmann::json& out, resources const& value)
{
    out = {
        {"processors", value.processors},
        {"memory_mb", value.memory_mb},
        {"accelerators", value.accelerators}};
}

void from_json(nlohmann::json const& in, resources& value)
{
    in.at("processors").get_to(value.processors);
    in.at("memory_mb").get_to(value.memory_mb);
    value.accelerators = in.value("accelerators", std::int64_t{0});
}

void to_json(nlohmann::json& out, worker_entry const& value)
{
    out = nlohmann::json(value.capacity);
    out["worker"] = value.worker.str();
    out["address"] = value.address;
    out["rack"] = value.rack.str();
    out["failure_domain"] = value.failure_domain.str();
    out["state"] = to_string(value.state);
    out["slots"] = value.slots;
    out["connections"] = value.connections;
    auto& services = out["services"] = nlohmann::json::array();
    for (auto const& service : value.services) {
        services.push_back(service.str());
    }
}

void from_json(nlohmann::json const& in, worker_entry& value)
{
    in.get_to(value.capacity);
    value.worker = base::worker_id{in.at("worker").get<std::string>()};
    in.at("address").get_to(value.address);
    value.rack = base::rack_id{in.at("rack").get<std::string>()};
    value.failure_domain =
        base::failure_domain_id{in.at("failure_domain").get<std::string>()};
    auto const state = in.value("state", std::string{"live"});
    if (state != "live" && state != "leaving") {
        throw base::error(
            base::error_code::corrupt_data,
            "worker state is '" + state + "'; allowed: live, leaving");
    }
    value.state = state == "live" ? worker_state::live : worker_state::leaving;
    value.slots = in.value("slots", 8);
    value.connections = in.value("connections", 64);
    value.services.clear();
    for (auto const& service : in.value("services", nlohmann::json::array())) {
        value.services.emplace_back(service.get<std::string>());
    }
}

} // namespace foxtaillift::formats
