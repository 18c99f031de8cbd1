#include "foxtaillift/cluster/ownership_messages.hpp"

#include "foxtaillift/base/error.hpp"

#include <nlohmann/json.hpp>

namespace foxtaillift::cluster
{

namespace
{

nlohmann::json parse_row(std::string const& text, char const* what)
{
    auto parsed = nlohmann::json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        throw base::error(
            base::error_code::corrupt_data,
            std::string{what} + " row is no JSON object: " + text);
    }
    return parsed;
}

template <class Parse>
auto read_fields(char const* what, Parse parse)
{
    try {
        return parse();
    } catch (nlohmann::json::exception const& failure) {
        throw base::error(
            base::error_code::corrupt_data,
            std::string{what} + " row: " + failure.what());
    }
}

} // namespace

std::string to_text(host_record const& record)
{
    return nlohmann::json{
        {"host", record.host.str()},
        {"address", record.address},
        {"failure_domain", record.failure_domain.str()},
        {"capacity", record.capacity},
        {"incarnation", record.incarnation},
        {"renewals", record.renewals},
        {"fenced", record.is_fenced},
        {"stopping", record.is_stopping}}
        .dump();
}

std::string to_text(owner_record const& record)
{
    return nlohmann::json{
        {"host", record.host.str()},
        {"incarnation", record.incarnation},
        {"epoch", record.epoch},
        {"operation", record.operation}}
        .dump();
}

host_record parse_host_record(std::string const& text)
{
    auto const in = parse_row(text, "host");
    return read_fields("host", [&in] {
        host_record record;
        record.host = base::host_id{in.at("host").get<std::string>()};
        record.address = in.at("address").get<std::string>();
        record.failure_domain =
            base::failure_domain_id{in.value("failure_domain", "")};
        record.capacity = in.value("capacity", 1.0);
        record.incarnation = in.at("incarnation").get<std::uint64_t>();
        record.renewals = in.value("renewals", std::uint64_t{0});
        record.is_fenced = in.value("fenced", false);
        record.is_stopping = in.value("stopping", false);
        return record;
    });
}

owner_record parse_owner_record(std::string const& text)
{
    auto const in = parse_row(text, "owner");
    return read_fields("owner", [&in] {
        owner_record record;
        record.host = base::host_id{in.at("host").get<std::string>()};
        record.incarnation = in.at("incarnation").get<std::uint64_t>();
        record.epoch = in.at("epoch").get<std::uint64_t>();
        record.operation = in.value("operation", "");
        return record;
    });
}

std::string host_key(base::host_id const& host)
{
    return "host/" + host.str();
}

std::string owner_key(base::cell_id const& cell)
{
    return "owner/" + cell.str();
}

} // namespace foxtaillift::cluster
