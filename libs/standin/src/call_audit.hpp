/// Audit of the calls that reached one worker.
#pragma once

#include "foxtaillift/standin/http.hpp"

#include <nlohmann/json.hpp>

#include <map>
#include <tuple>

namespace foxtaillift::standin
{

class call_audit
{
public:
    struct record
    {
        std::int64_t runs = 0;    ///< times that the call was executed
        std::int64_t not_run = 0; ///< times that it was refused
        unsigned status = 0;      ///< of the last answer
    };

    /// The record of the request's call. At the bound all further calls share
    /// one record and are counted as dropped.
    record& at(http_request const& request)
    {
        constexpr std::size_t max_records = 500'000;
        key const id{
            request.header("foxtail-call"), request.header("idempotency-key"),
            request.header("foxtail-call-tag")};
        auto const found = this->records.find(id);
        if (found != this->records.end()) {
            return found->second;
        }
        if (this->records.size() >= max_records) {
            ++this->dropped;
            return this->overflow;
        }
        return this->records[id];
    }

    [[nodiscard]] nlohmann::json list() const
    {
        auto out = nlohmann::json::array();
        for (auto const& [id, value] : this->records) {
            out.push_back(
                {{"call", std::get<0>(id)},
                 {"key", std::get<1>(id)},
                 {"tag", std::get<2>(id)},
                 {"runs", value.runs},
                 {"not_run", value.not_run},
                 {"status", value.status}});
        }
        return out;
    }

    std::int64_t dropped = 0;

private:
    using key = std::tuple<std::string, std::string, std::string>;

    std::map<key, record> records;
    record overflow;
};

} // namespace foxtaillift::standin
