#include "foxtaillift/standin/worker_service.hpp"

#include "call_audit.hpp"
#include "interference.hpp"
#include "run_table.hpp"
#include "usage_meter.hpp"
#include "worker_faults.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <thread>

namespace foxtaillift::standin
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

http_answer make_answer(json const& body)
{
    http_answer answer;
    answer.body = body.dump();
    return answer;
}

bool take_one(std::int64_t& count)
{
    bool const is_left = count > 0;
    count -= is_left ? 1 : 0;
    return is_left;
}

base::instant now()
{
    return base::steady_clock{}.now();
}

} // namespace

class worker_service::implementation
{
public:
    implementation(
        asio::io_context& context, worker_service_options service_options)
        : options(std::move(service_options))
        , random(this->options.seed)
        , runs(this->options.capacity, this->options.is_capacity_checked)
        , meter(
              this->options.worker,
              base::milliseconds(this->options.report_lag_ms))
        , server(context, this->options.server, [this](http_request request) {
            return this->handle(std::move(request));
        })
    {
        asio::co_spawn(context, this->advance_runs(), asio::detached);
        asio::co_spawn(context, this->measure(), asio::detached);
    }

    [[nodiscard]] std::string address() const { return this->server.address(); }

private:
    asio::awaitable<http_answer> handle(http_request request);
    asio::awaitable<http_answer> call(http_request request);
    http_answer start(json const& body);
    http_answer change_runs(std::string const& verb, json const& body);
    http_answer audit(bool has_history) const;
    http_answer control(http_request const& request);
    asio::awaitable<void> write_checkpoint(run_key key, std::string object);
    asio::awaitable<void> load_checkpoint(run_key key, std::string object);
    asio::awaitable<void> freeze(base::duration time);
    asio::awaitable<void> advance_runs();
    asio::awaitable<void> measure();
    void update_speed();

    /// Refuses epochs lower than the highest seen.
    bool is_stale(formats::epoch_number wanted)
    {
        this->epoch = std::max(this->epoch, wanted);
        this->stale_refusals += wanted < this->epoch ? 1 : 0;
        return wanted < this->epoch;
    }

    http_answer stale_answer() const
    {
        auto answer = not_run_answer(412, "stale epoch");
        answer.body = json{{"epoch", this->epoch}}.dump();
        return answer;
    }

    worker_service_options options;
    worker_faults faults;
    base::random_engine random;
    run_table runs;
    call_audit calls;
    formats::epoch_number epoch = 0;
    std::int32_t calls_in_progress = 0;
    std::int32_t peak_calls = 0;
    std::int64_t slot_refusals = 0;
    std::int64_t capacity_refusals = 0;
    std::int64_t stale_refusals = 0;
    usage_meter meter;
    http_server server;
};

asio::awaitable<http_answer>
worker_service::implementation::handle(http_request request)
{
    constexpr std::string_view task_prefix = "/v1/tasks/";
    this->runs.advance(now());
    if (request.path == "/control") {
        http_answer answer = this->control(request);
        if (this->faults.freeze_ms > 0) {
            auto const time = base::milliseconds(
                std::min<std::int64_t>(this->faults.freeze_ms, 60'000));
            this->faults.freeze_ms = 0;
            asio::co_spawn(
                co_await asio::this_coro::executor, this->freeze(time),
                asio::detached);
        }
        co_return answer;
    }
    if (request.path == "/v1/adopt") {
        auto const wanted =
            json::parse(request.body).get<formats::adopt_request>();
        co_return this->is_stale(wanted.epoch) ? this->stale_answer()
                                               : this->audit(false);
    }
    if (request.path == "/v1/report") {
        co_return make_answer(this->meter.report(now()));
    }
    if (request.path == "/v1/audit") {
        co_return this->audit(request.query_number("history", 0) == 1);
    }
    if (request.path.starts_with(task_prefix)) {
        auto const body = json::parse(request.body);
        if (this->is_stale(body.at("epoch").get<formats::epoch_number>())) {
            co_return this->stale_answer();
        }
        auto const verb = request.path.substr(task_prefix.size());
        co_return verb == "start" ? this->start(body)
                                  : this->change_runs(verb, body);
    }
    co_return co_await this->call(std::move(request));
}

asio::awaitable<http_answer>
worker_service::implementation::call(http_request request)
{
    auto& record = this->calls.at(request);
    auto const epoch_header = request.header("foxtail-epoch");
    if (!epoch_header.empty() && this->is_stale(std::stoull(epoch_header))) {
        ++record.not_run;
        record.status = 412;
        co_return this->stale_answer();
    }
    if (this->calls_in_progress >= this->options.slots) {
        ++this->slot_refusals;
        ++record.not_run;
        record.status = 503;
        co_return not_run_answer(503, "all slots are in use");
    }
    ++record.runs;
    ++this->calls_in_progress;
    this->peak_calls = std::max(this->peak_calls, this->calls_in_progress);
    this->update_speed();
    bool const is_failed =
        base::uniform_unit(this->random) < this->faults.fail_calls;
    if (!is_failed || !this->faults.answer_errors_fast) {
        auto const path = request.path.substr(1);
        auto const service = path.substr(0, path.find('/'));
        auto const asked = std::clamp<std::int64_t>(
            request.query_number("ms", this->options.call_ms), 0, 600'000);
        auto const time = base::milliseconds(static_cast<std::int64_t>(
            static_cast<double>(asked) *
            slowdown(this->options, this->runs, service)));
        co_await sleep_for(time);
    }
    --this->calls_in_progress;
    this->update_speed();
    json body = {
        {"tag", request.header("foxtail-call-tag")},
        {"path", request.path},
        {"worker", this->options.worker.str()}};
    auto const padding =
        std::clamp<std::int64_t>(request.query_number("bytes", 0), 0, 1 << 23);
    body["padding"] = std::string(static_cast<std::size_t>(padding), 'x');
    http_answer answer = make_answer(body);
    answer.status = is_failed ? 500 : 200;
    answer.headers["Foxtail-Call-Tag"] = request.header("foxtail-call-tag");
    record.status = answer.status;
    if (take_one(this->faults.leave_answers_unsent)) {
        answer.sent = delivery::keep_silent;
    } else if (take_one(this->faults.cut_bodies)) {
        answer.sent = delivery::cut_body;
    }
    co_return answer;
}

void worker_service::implementation::update_speed()
{
    double const load = static_cast<double>(this->calls_in_progress) /
                        static_cast<double>(this->options.slots);
    this->runs.set_speed(1.0 / (1.0 + this->options.call_harm * load), now());
}

http_answer worker_service::implementation::start(json const& body)
{
    auto const request = body.get<formats::start_request>();
    run_key const key{request.task.str(), request.attempt};
    bool const will_fail =
        base::uniform_unit(this->random) < this->faults.fail_tasks;
    using status = run_table::start_status;
    switch (this->runs.start(request, will_fail, now())) {
    case status::started:
        if (!request.checkpoint.empty()) {
            asio::co_spawn(
                this->server.executor(),
                this->load_checkpoint(key, request.checkpoint), asio::detached);
        }
        break;
    case status::known:
        break;
    case status::older:
        return not_run_answer(409, "a newer attempt is known");
    case status::no_capacity:
        ++this->capacity_refusals;
        return not_run_answer(507, "not enough free resources");
    case status::too_many_records:
        return not_run_answer(503, "the audit is full");
    }
    return make_answer(this->runs.entry_of(*this->runs.find(key)));
}

http_answer worker_service::implementation::change_runs(
    std::string const& verb, json const& body)
{
    auto const request = body.get<formats::runs_request>();
    auto const at = now();
    formats::runs_answer answer;
    for (auto const& reference : request.tasks) {
        run_key const key{reference.task.str(), reference.attempt};
        if (verb == "renew") {
            this->runs.renew(key, request.lease_ms, at);
        } else if (verb == "throttle") {
            this->runs.throttle(key, reference.throttle, at);
        } else if (verb == "stop") {
            this->runs.stop(key, "stop requested", at);
        } else if (verb == "acknowledge") {
            this->runs.acknowledge(key);
        } else if (verb != "checkpoint") {
            return not_run_answer(404, "unknown request " + verb);
        } else if (this->runs.begin_checkpoint(key, at)) {
            asio::co_spawn(
                this->server.executor(),
                this->write_checkpoint(key, reference.checkpoint),
                asio::detached);
        }
        auto const* run = this->runs.find(key);
        if (run != nullptr && !run->is_acknowledged) {
            answer.runs.push_back(this->runs.entry_of(*run));
        }
    }
    return make_answer(answer);
}

// Repeats the write while the store is down. Without a store the checkpoint is
// dropped and the resumed task starts from the beginning.
asio::awaitable<void> worker_service::implementation::write_checkpoint(
    run_key key, std::string object)
{
    constexpr base::duration retry_delay = base::milliseconds(200);
    co_await sleep_for(base::milliseconds(this->options.checkpoint_ms));
    while (!this->options.objects.empty() && this->runs.find(key)->is_open()) {
        http_request request;
        request.method = "PUT";
        request.path = "/v1/objects/" + object;
        request.body =
            json{{"progress_ms", this->runs.find(key)->progress_ms}}.dump();
        auto const result = co_await fetch(
            this->options.objects, std::move(request), base::seconds(2));
        if (result.status == fetch_status::answered &&
            result.answer.status == 200) {
            break;
        }
        co_await sleep_for(retry_delay);
    }
    this->runs.end_checkpoint(key, object, now());
}

asio::awaitable<void>
worker_service::implementation::load_checkpoint(run_key key, std::string object)
{
    constexpr base::duration retry_delay = base::milliseconds(200);
    double progress = 0;
    while (!this->options.objects.empty() && this->runs.find(key)->is_open()) {
        http_request request;
        request.path = "/v1/objects/" + object;
        auto const result = co_await fetch(
            this->options.objects, std::move(request), base::seconds(2));
        bool const is_answered = result.status == fetch_status::answered;
        if (is_answered && result.answer.status == 404) {
            this->runs.fail(key, "no checkpoint object " + object, now());
            co_return;
        }
        if (is_answered && result.answer.status == 200) {
            progress =
                json::parse(result.answer.body).value("progress_ms", 0.0);
            break;
        }
        co_await sleep_for(retry_delay);
    }
    this->runs.resume(key, progress, now());
}

asio::awaitable<void>
worker_service::implementation::freeze(base::duration time)
{
    co_await sleep_for(base::milliseconds(20)); // lets the answer leave
    std::this_thread::sleep_for(time.to_chrono());
}

asio::awaitable<void> worker_service::implementation::advance_runs()
{
    for (;;) {
        co_await sleep_for(base::milliseconds(10));
        this->runs.advance(now());
    }
}

asio::awaitable<void> worker_service::implementation::measure()
{
    for (;;) {
        this->meter.measure(this->runs, this->calls_in_progress, now());
        co_await sleep_for(base::milliseconds(this->options.report_every_ms));
    }
}

http_answer worker_service::implementation::audit(bool has_history) const
{
    json out = formats::adopt_answer{
        this->options.worker, this->epoch, this->options.capacity,
        this->calls_in_progress, this->runs.kept_entries()};
    if (has_history) {
        out["now"] = now().ms;
        out["history"] = this->runs.history();
        out["calls"] = this->calls.list();
        out["dropped_calls"] = this->calls.dropped;
        out["slots"] = this->options.slots;
        out["peak"] = {
            {"calls", this->peak_calls},
            {"connections", this->server.peak_connections},
            {"committed", this->runs.peak()}};
        out["refused"] = {
            {"slots", this->slot_refusals},
            {"connections", this->server.refused_connections},
            {"capacity", this->capacity_refusals},
            {"stale_epoch", this->stale_refusals}};
    }
    return make_answer(out);
}

http_answer worker_service::implementation::control(http_request const& request)
{
    if (request.method == "POST") {
        json::parse(request.body).get_to(this->faults);
    }
    return make_answer(json::object());
}

worker_service::worker_service(
    asio::io_context& context, worker_service_options options)
    : impl(std::make_unique<implementation>(context, std::move(options)))
{}

worker_service::~worker_service() = default;

std::string worker_service::address() const
{
    return this->impl->address();
}

} // namespace foxtaillift::standin
