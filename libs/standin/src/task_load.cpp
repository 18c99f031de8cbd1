#include "task_load.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace foxtaillift::standin
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

json make_body(
    task_step const& step, std::string const& key, std::int64_t real_run_ms)
{
    json const payload{
        {"tag", key},
        {"run_ms", real_run_ms},
        {"processors",
         step.real_processors > 0 ? step.real_processors : step.processors}};
    return {
        {"team", step.team},
        {"key", key},
        {"class", step.task_class},
        {"priority", step.priority},
        {"processors", step.processors},
        {"memory_mb", step.memory_mb},
        {"accelerators", step.accelerators},
        {"run_ms", step.run_ms},
        {"payload", payload.dump()}};
}

bool is_ended(std::string const& state)
{
    return state == "finished" || state == "failed" || state == "cancelled" ||
           state == "impossible";
}

} // namespace

void task_load::spawn(asio::io_context& context)
{
    constexpr int watcher_count = 8;
    this->started = now();
    double length = 0;
    for (auto const& step : this->work.tasks) {
        auto const count = static_cast<double>(step.count);
        length = std::max(length, step.at_seconds + count / step.rate);
    }
    this->end = this->started + from_seconds(length) +
                base::seconds(this->work.wait_seconds);
    for (std::size_t i = 0; i < this->work.tasks.size(); ++i) {
        ++this->submitters;
        asio::co_spawn(
            context, this->submit_tasks(this->work.tasks[i], i),
            asio::detached);
    }
    for (int i = 0; i < watcher_count; ++i) {
        asio::co_spawn(context, this->watch_tasks(), asio::detached);
    }
}

asio::awaitable<void>
task_load::submit_tasks(task_step step, std::size_t number)
{
    auto const start = this->started + from_seconds(step.at_seconds);
    co_await sleep_for(start - now());
    for (std::int64_t i = 0; i < step.count; ++i) {
        auto const key = this->run_id + "-" + std::to_string(number) + "-" +
                         std::to_string(i);
        auto run_ms = step.real_run_ms > 0 ? step.real_run_ms : step.run_ms;
        if (this->hosts.draw(step.straggler_share)) {
            run_ms = static_cast<std::int64_t>(
                static_cast<double>(run_ms) * step.straggler_factor);
        }
        auto& task = this->tasks.emplace_back();
        task.outcome.tag = key;
        task.path = "/v1/tasks/" + step.team + "/" + key;
        ++this->submitters;
        asio::co_spawn(
            co_await asio::this_coro::executor,
            this->submit(
                make_body(step, key, run_ms).dump(), this->tasks.size() - 1),
            asio::detached);
        co_await sleep_for(this->hosts.next_distance(step.rate));
    }
    --this->submitters;
}

// Submitting again under the same key is safe, so it is done until there is a
// clear answer.
asio::awaitable<void> task_load::submit(std::string body, std::size_t index)
{
    constexpr base::duration retry_delay = base::milliseconds(300);
    http_request request;
    request.method = "POST";
    request.path = "/v1/tasks";
    request.body = std::move(body);
    while (now() < this->end) {
        auto const result =
            co_await this->hosts.fetch_any(request, base::seconds(5));
        auto const status = result.answer.status;
        if (result.status == fetch_status::answered && status < 300) {
            this->tasks[index].outcome.is_accepted = true;
            this->watched.push_back(index);
            break;
        }
        if (result.status == fetch_status::answered && status < 500 &&
            status != 429) {
            this->tasks[index].outcome.state = "refused";
            break;
        }
        ++this->resubmissions;
        co_await sleep_for(retry_delay);
    }
    --this->submitters;
}

asio::awaitable<void> task_load::watch_tasks()
{
    constexpr base::duration interval = base::milliseconds(20);
    while (now() < this->end) {
        if (this->watched.empty()) {
            if (this->submitters == 0) {
                break;
            }
            co_await sleep_for(interval);
            continue;
        }
        auto const index = this->watched.front();
        this->watched.pop_front();
        http_request request;
        request.path = this->tasks[index].path;
        auto const result = co_await this->hosts.fetch_any(
            std::move(request), base::seconds(5));
        auto& state = this->tasks[index].outcome.state;
        if (result.status == fetch_status::answered &&
            result.answer.status == 200) {
            auto const body = json::parse(result.answer.body, nullptr, false);
            if (body.is_object()) {
                state = body.value("state", std::string{});
                this->tasks[index].outcome.explanation =
                    body.value("explanation", std::string{});
            }
        }
        if (!is_ended(state)) {
            this->watched.push_back(index);
        }
        co_await sleep_for(interval);
    }
}

std::vector<task_outcome> task_load::outcomes() const
{
    std::vector<task_outcome> out;
    out.reserve(this->tasks.size());
    for (auto const& task : this->tasks) {
        out.push_back(task.outcome);
    }
    return out;
}

json task_load::count() const
{
    json out{
        {"submitted", this->tasks.size()},
        {"accepted", 0},
        {"finished", 0},
        {"failed", 0},
        {"unfinished", 0},
        {"resubmissions", this->resubmissions}};
    auto const increment = [&out](std::string const& name) {
        out[name] = out.value(name, 0) + 1;
    };
    for (auto const& task : this->tasks) {
        auto const& state = task.outcome.state;
        if (task.outcome.is_accepted) {
            increment("accepted");
        }
        bool const has_end = is_ended(state) || state == "refused";
        increment(has_end ? state : "unfinished");
    }
    return out;
}

} // namespace foxtaillift::standin
