#include "foxtaillift/standin/table_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace foxtaillift::standin
{

namespace asio = boost::asio;
using nlohmann::json;

namespace
{

constexpr std::string_view object_prefix = "/v1/objects/";

bool is_object(http_request const& request)
{
    return request.path.starts_with(object_prefix);
}

bool is_write(http_request const& request)
{
    return request.path == "/v1/transact" ||
           (is_object(request) && request.method != "GET");
}

http_answer make_answer(unsigned status, json const& body)
{
    http_answer answer;
    answer.status = status;
    answer.body = body.dump();
    return answer;
}

http_answer make_unanswered()
{
    http_answer answer;
    answer.sent = delivery::close;
    return answer;
}

template <class Value>
void update(json const& in, char const* key, Value& value)
{
    if (in.contains(key)) {
        in.at(key).get_to(value);
    }
}

} // namespace

table_service::table_service(
    asio::io_context& context, table_service_options service_options)
    : options(std::move(service_options))
    , random(this->options.seed)
    , server(context, this->options.server, [this](http_request request) {
        return this->handle(std::move(request));
    })
{}

std::string table_service::address() const
{
    return this->server.address();
}

asio::awaitable<http_answer> table_service::handle(http_request request)
{
    if (request.path == "/control") {
        co_return this->control(request);
    }
    if (this->faults.delay_ms > 0) {
        co_await sleep_for(base::milliseconds(this->faults.delay_ms));
    }
    if (this->faults.down) {
        ++this->counters["while_down"];
        co_return make_unanswered();
    }
    if (base::uniform_unit(this->random) < this->faults.refuse) {
        ++this->counters["refused"];
        co_return not_run_answer(503, "refused as overload");
    }
    this->counters["bytes_in"] +=
        static_cast<std::int64_t>(request.body.size());
    http_answer answer;
    if (is_write(request)) {
        answer = co_await this->write(std::move(request));
    } else {
        answer = this->query(request);
    }
    this->counters["bytes_out"] +=
        static_cast<std::int64_t>(answer.body.size());
    co_return answer;
}

asio::awaitable<http_answer> table_service::write(http_request request)
{
    constexpr base::duration max_wait = base::seconds(1);
    ++this->counters["writes"];
    base::duration const wait = this->reserve_write();
    if (wait > max_wait) {
        ++this->counters["refused"];
        co_return not_run_answer(503, "write rate exceeded");
    }
    if (wait.ms > 0) {
        co_await sleep_for(wait);
    }
    bool is_lost = base::uniform_unit(this->random) < this->faults.lose_answers;
    if (!is_lost && this->faults.lose_next > 0) {
        --this->faults.lose_next;
        is_lost = true;
    }
    if (!is_lost) {
        co_return this->apply(request);
    }
    ++this->counters["lost_answers"];
    if (this->faults.late_apply_ms > 0) {
        asio::co_spawn(
            co_await asio::this_coro::executor,
            this->apply_later(std::move(request)), asio::detached);
    } else {
        this->apply(request);
    }
    co_return make_unanswered();
}

// The conditions are checked when the write is applied, as in a service that
// queued the request.
asio::awaitable<void> table_service::apply_later(http_request request)
{
    co_await sleep_for(base::milliseconds(this->faults.late_apply_ms));
    this->apply(request);
}

base::duration table_service::reserve_write()
{
    base::instant const now = base::steady_clock{}.now();
    this->next_write = std::max(this->next_write, now);
    base::duration const wait = this->next_write - now;
    if (this->faults.writes_per_second > 0 && wait <= base::seconds(1)) {
        std::int64_t const interval =
            std::max<std::int64_t>(1000 / this->faults.writes_per_second, 1);
        this->next_write += base::milliseconds(interval);
    }
    return wait;
}

http_answer table_service::apply(http_request const& request)
{
    return is_object(request) ? this->put_object(request)
                              : this->transact(request);
}

http_answer table_service::transact(http_request const& request)
{
    auto const wanted = json::parse(request.body).get<formats::transaction>();
    json conflicts = json::array();
    for (auto const& condition : wanted.conditions) {
        auto const found = this->rows.find(condition.key);
        formats::row_condition const actual{
            condition.key,
            found == this->rows.end() ? 0 : found->second.version};
        if (actual != condition) {
            conflicts.push_back(actual);
        }
    }
    if (!conflicts.empty()) {
        ++this->counters["conflicts"];
        return make_answer(409, {{"conflicts", conflicts}});
    }
    if (this->rows.size() + wanted.writes.size() > this->options.max_rows) {
        ++this->counters["full"];
        return not_run_answer(507, "table is full");
    }
    json versions = json::object();
    for (auto const& write : wanted.writes) {
        if (!write.value) {
            this->rows.erase(write.key);
            versions[write.key] = 0;
            continue;
        }
        // One counter for all keys: versions also grow over deletion.
        auto const version = ++this->last_version;
        this->rows[write.key] = {write.key, version, *write.value};
        versions[write.key] = version;
    }
    return make_answer(200, {{"versions", versions}});
}

http_answer table_service::put_object(http_request const& request)
{
    auto const name = request.path.substr(object_prefix.size());
    auto const found = this->objects.find(name);
    std::size_t const old_bytes =
        found == this->objects.end() ? 0 : found->second.size();
    if (request.method == "DELETE") {
        this->object_bytes -= old_bytes;
        return make_answer(this->objects.erase(name) ? 200 : 404, json{});
    }
    if (request.method != "PUT") {
        return make_answer(405, {{"message", "use PUT, GET or DELETE"}});
    }
    if (found != this->objects.end() &&
        request.header("if-none-match") == "*") {
        return make_answer(412, {{"message", "object exists"}});
    }
    std::size_t const bytes =
        this->object_bytes - old_bytes + request.body.size();
    if (bytes > this->options.max_object_bytes) {
        ++this->counters["full"];
        return not_run_answer(507, "object store is full");
    }
    this->object_bytes = bytes;
    this->objects[name] = request.body;
    return make_answer(200, json::object());
}

http_answer table_service::query(http_request const& request)
{
    ++this->counters["reads"];
    if (request.path == "/v1/read" && request.method == "POST") {
        return this->read(json::parse(request.body).at("keys"));
    }
    if (request.path == "/v1/scan" && request.method == "POST") {
        return this->scan(
            json::parse(request.body).get<formats::scan_request>());
    }
    if (request.path == "/v1/hosts" && request.method == "PUT") {
        json::parse(request.body).at("hosts").get_to(this->hosts);
    }
    if (request.path == "/v1/hosts" && request.method == "POST") {
        this->add_hosts(json::parse(request.body).at("hosts"));
    }
    if (request.path == "/v1/hosts") {
        return this->list_hosts(request);
    }
    if (is_object(request)) {
        auto const name = request.path.substr(object_prefix.size());
        auto const found = this->objects.find(name);
        if (found == this->objects.end()) {
            return make_answer(404, {{"message", "no object " + name}});
        }
        http_answer answer;
        answer.headers["Content-Type"] = "application/octet-stream";
        answer.body = found->second;
        return answer;
    }
    return make_answer(404, {{"message", "no path " + request.path}});
}

http_answer table_service::list_hosts(http_request const& request) const
{
    auto shown = this->hosts;
    auto const view =
        this->faults.worker_addresses.find(request.header("host"));
    if (view != this->faults.worker_addresses.end()) {
        for (auto& entry : shown) {
            auto const found = view->second.find(entry.worker.str());
            if (found != view->second.end()) {
                entry.address = found->second;
            }
        }
    }
    return make_answer(200, {{"hosts", shown}});
}

void table_service::add_hosts(json const& added)
{
    for (auto const& in : added) {
        auto entry = in.get<formats::worker_entry>();
        auto const found = std::find_if(
            this->hosts.begin(), this->hosts.end(),
            [&](auto const& known) { return known.worker == entry.worker; });
        if (found == this->hosts.end()) {
            this->hosts.push_back(std::move(entry));
        } else {
            *found = std::move(entry);
        }
    }
}

http_answer table_service::read(json const& keys)
{
    json found = json::array();
    for (auto const& key : keys) {
        auto const name = key.get<std::string>();
        auto const at = this->rows.find(name);
        found.push_back(
            at == this->rows.end() ? formats::row{name, 0, ""} : at->second);
    }
    return make_answer(200, {{"rows", found}});
}

http_answer table_service::scan(formats::scan_request const& request)
{
    json found = json::array();
    bool has_more = false;
    auto at = request.after < request.prefix
                  ? this->rows.lower_bound(request.prefix)
                  : this->rows.upper_bound(request.after);
    for (; at != this->rows.end() && at->first.starts_with(request.prefix);
         ++at) {
        if (found.size() >= request.limit) {
            has_more = true;
            break;
        }
        found.push_back(at->second);
    }
    return make_answer(200, {{"rows", found}, {"more", has_more}});
}

http_answer table_service::control(http_request const& request)
{
    if (request.method == "POST") {
        auto const in = json::parse(request.body);
        update(in, "down", this->faults.down);
        update(in, "delay_ms", this->faults.delay_ms);
        update(in, "lose_answers", this->faults.lose_answers);
        update(in, "lose_next", this->faults.lose_next);
        update(in, "refuse", this->faults.refuse);
        update(in, "late_apply_ms", this->faults.late_apply_ms);
        update(in, "writes_per_second", this->faults.writes_per_second);
        update(in, "worker_addresses", this->faults.worker_addresses);
    }
    json out = this->counters;
    for (auto const* name : {"reads", "writes", "bytes_in", "bytes_out"}) {
        out.emplace(name, 0);
    }
    out["rows"] = this->rows.size();
    out["objects"] = this->objects.size();
    return make_answer(200, out);
}

} // namespace foxtaillift::standin
