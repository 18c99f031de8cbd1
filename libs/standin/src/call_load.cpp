#include "call_load.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace foxtaillift::standin
{

namespace asio = boost::asio;
using nlohmann::json;

void call_load::spawn(asio::io_context& context)
{
    this->started = now();
    for (auto const& step : this->work.calls) {
        asio::co_spawn(context, this->send_calls(step), asio::detached);
    }
}

// The number of calls is fixed by the step, so a slow machine sends the same
// calls later.
asio::awaitable<void> call_load::send_calls(call_step step)
{
    auto due = this->started + from_seconds(step.at_seconds);
    auto const count = static_cast<std::int64_t>(step.rate * step.seconds);
    for (std::int64_t i = 0; i < count; ++i) {
        due += this->hosts.next_distance(step.rate);
        if (due > now()) {
            co_await sleep_for(due - now());
        }
        if (this->in_flight >= this->work.max_in_flight) {
            ++this->outcomes["skipped"];
            continue;
        }
        asio::co_spawn(
            co_await asio::this_coro::executor,
            this->call(step, this->next_call++), asio::detached);
    }
}

// A keyed call without a clear answer is sent once more with the same key, as
// callers do.
asio::awaitable<void> call_load::call(call_step step, std::int64_t number)
{
    ++this->in_flight;
    bool const is_long = this->hosts.draw(step.long_share);
    bool const is_keyed = this->hosts.draw(step.keyed_share);
    bool const is_unkeyed = !is_keyed && this->hosts.draw(step.unkeyed_share);
    auto const id = this->run_id + "-" + std::to_string(number);
    http_request request;
    request.method = is_keyed || is_unkeyed ? "POST" : "GET";
    request.path = "/" + step.service + step.path + "?ms=" +
                   std::to_string(is_long ? step.long_ms : step.call_ms);
    request.headers["Foxtail-Caller"] = step.caller;
    request.headers["Foxtail-Deadline-Ms"] = std::to_string(step.deadline_ms);
    call_outcome outcome;
    outcome.is_idempotent = !is_keyed && !is_unkeyed;
    if (is_keyed) {
        outcome.key = "key-" + id;
        request.headers["Idempotency-Key"] = outcome.key;
    }
    auto const sent = now();
    std::string kind;
    for (int attempt = 1; attempt <= (is_keyed ? 2 : 1); ++attempt) {
        outcome.tag = id + "." + std::to_string(attempt);
        request.headers["Foxtail-Call-Tag"] = outcome.tag;
        kind = co_await this->call_once(step, request, outcome);
        if (kind != "unknown" && kind != "not_run") {
            break;
        }
        if (is_keyed && attempt == 1) {
            ++this->outcomes["keyed_repeats"];
        }
    }
    ++this->outcomes[kind];
    if (kind == "answered" || kind == "late") {
        this->latencies
            [is_keyed  ? "keyed"
             : is_long ? "long"
                       : "short"]
                .push_back((now() - sent).ms);
    }
    --this->in_flight;
}

asio::awaitable<std::string>
call_load::call_once(call_step step, http_request request, call_outcome outcome)
{
    constexpr base::duration margin = base::seconds(2);
    auto const deadline = base::milliseconds(step.deadline_ms);
    auto const sent = now();
    auto const result =
        co_await this->hosts.fetch_any(std::move(request), deadline + margin);
    auto const& answer = result.answer;
    auto const told = answer.headers.find("foxtail-outcome");
    auto const told_outcome =
        told == answer.headers.end() ? std::string{} : told->second;
    std::string kind = "unknown";
    if (result.status == fetch_status::not_connected) {
        kind = "not_sent";
    } else if (result.status == fetch_status::lost) {
        kind = "unknown";
    } else if (told_outcome == "not-run") {
        kind = "not_run";
        outcome.is_told_not_run = true;
    } else if (answer.status == 200) {
        auto const body = json::parse(answer.body, nullptr, false);
        auto const tag =
            body.is_object() ? body.value("tag", std::string{}) : std::string{};
        // The stored answer of a key has the tag of the try that ran.
        bool const is_own = tag.substr(0, tag.find('.')) ==
                            outcome.tag.substr(0, outcome.tag.find('.'));
        bool const is_late = now() - sent > deadline;
        kind = !is_own ? "wrong" : is_late ? "late" : "answered";
    } else if (told_outcome == "ran") {
        kind = "failed";
    }
    this->calls.push_back(std::move(outcome));
    co_return kind;
}

json call_load::count() const
{
    json out = this->outcomes;
    for (auto const* name :
         {"answered", "late", "not_run", "unknown", "wrong", "failed",
          "not_sent", "skipped", "keyed_repeats"}) {
        out.emplace(name, 0);
    }
    out["sent"] = this->next_call;
    return out;
}

json call_load::summarise_latencies() const
{
    json out = json::object();
    for (auto const& [kind, unsorted] : this->latencies) {
        auto values = unsorted;
        std::sort(values.begin(), values.end());
        auto const at = [&values](double share) {
            return values[static_cast<std::size_t>(
                share * static_cast<double>(values.size() - 1))];
        };
        out[kind] = {
            {"count", values.size()},
            {"p50_ms", at(0.5)},
            {"p90_ms", at(0.9)},
            {"p99_ms", at(0.99)},
            {"max_ms", values.back()}};
    }
    return out;
}

} // namespace foxtaillift::standin
