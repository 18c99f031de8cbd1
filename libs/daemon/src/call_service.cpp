#include "call_service.hpp"

#include "service_settings.hpp"

#include "foxtaillift/base/error.hpp"
#include "foxtaillift/cluster/msgpack_identifier.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::daemon
{

namespace
{

/// A claim that the store has not taken by then is given up as not run.
constexpr auto claim_timeout = base::seconds(2);

transport::http_client_pool_options
pool_options(settings::call_settings const& calls)
{
    return {
        .connections_per_address = 8,
        .connect_timeout = calls.connect_timeout,
        .header_limit = static_cast<std::size_t>(calls.header_limit),
        .body_limit = static_cast<std::size_t>(calls.body_limit)};
}

transport::response refusal_of(int status, std::string reason)
{
    transport::response out;
    out.status = status;
    out.headers = {
        {"Content-Type", "text/plain"}, {"Foxtail-Outcome", "not-run"}};
    if (status == 503) {
        out.headers.push_back({"Retry-After", "1"});
    }
    out.body = std::move(reason) + "\n";
    return out;
}

} // namespace

call_service::call_service(
    context& context,
    store_driver& table,
    std::function<void(std::string)> cell_load_seen)
    : shared(context)
    , store(table)
    , pool(context.calls, pool_options(context.settings.calls))
    , services{
          .shared = context,
          .table = this->snapshots,
          .classes = this->classes,
          .health = this->monitor,
          .upstreams = this->pool,
          .claims =
              [this](auto const& work, auto key, auto deadline, auto done) {
                  this->perform_claim(
                      work, std::move(key), deadline, std::move(done));
              },
          .cell_load_seen = std::move(cell_load_seen)}
{
    for (int i = 0; i < context.settings.calls.threads; ++i) {
        this->lanes.push_back(std::make_shared<call_lane>(
            this->services, to_router_options(context.settings.calls)));
    }
}

void call_service::handle_call(
    transport::received_request received, transport::responder reply)
{
    if (!this->ready) {
        reply.send(refusal_of(503, "this entry host is not ready"));
        return;
    }
    call_refusal refusal;
    auto call = parse_call(
        std::move(received), base::make_unique_id(),
        this->shared.settings.calls.default_deadline, this->shared.now(),
        refusal);
    if (!call) {
        reply.send(refusal_of(refusal.status, refusal.reason));
        return;
    }
    this->start(std::move(*call), std::move(reply));
}

void call_service::handle_forwarded(
    transport::received_request const& received, transport::responder reply)
{
    try {
        this->start(
            from_forwarded(
                cluster::decode<forwarded_call>(received.body),
                this->shared.now()),
            std::move(reply));
    } catch (std::exception const& failure) {
        reply.send(refusal_of(400, failure.what()));
    }
}

void call_service::start(parsed_call call, transport::responder reply)
{
    auto const lane = this->next_lane++ % this->lanes.size();
    this->lanes[lane]->start(std::move(call), std::move(reply));
}

void call_service::set_addresses(address_book book)
{
    auto const shared_book =
        std::make_shared<address_book const>(std::move(book));
    for (auto const& lane : this->lanes) {
        lane->set_addresses(shared_book);
    }
}

void call_service::explain(
    std::string const& call, std::function<void(std::vector<std::string>)> done)
{
    struct gathering
    {
        std::size_t missing;
        std::vector<std::string> lines;
        std::function<void(std::vector<std::string>)> done;
    };
    auto const all = std::make_shared<gathering>(
        gathering{this->lanes.size(), {}, std::move(done)});
    for (auto const& lane : this->lanes) {
        lane->explain(call, [this, all](std::vector<std::string> lines) {
            this->shared.post_control([all, lines = std::move(lines)] {
                all->lines.insert(all->lines.end(), lines.begin(), lines.end());
                if (--all->missing == 0) {
                    all->done(std::move(all->lines));
                }
            });
        });
    }
}

std::uint32_t call_service::waiting() const
{
    std::uint32_t total = 0;
    for (auto const& lane : this->lanes) {
        total += lane->waiting();
    }
    return total;
}

routing::call_counters call_service::counters() const
{
    routing::call_counters total;
    for (auto const& lane : this->lanes) {
        auto const part = lane->counters();
        total.arrived += part.arrived;
        total.dispatched += part.dispatched;
        total.forwarded += part.forwarded;
        total.retried += part.retried;
        total.hedged += part.hedged;
        total.retries_denied += part.retries_denied;
        total.late_answers += part.late_answers;
        total.ejected += part.ejected;
        total.returned += part.returned;
        total.ran += part.ran;
        total.not_run += part.not_run;
        total.unknown += part.unknown;
        total.outcomes_lost += part.outcomes_lost;
    }
    return total;
}

void call_service::read_claim(
    std::string key, std::function<void(routing::claim_event)> done)
{
    this->store.read(
        {std::move(key)},
        [done = std::move(done)](formats::rows_result result) {
            if (!result.is_answered || result.rows.size() != 1) {
                done(routing::row_read_failed{});
                return;
            }
            auto const& row = result.rows.front();
            routing::row_read event;
            if (row.version != 0) {
                try {
                    event.row = decode_claim(row.value, row.version);
                } catch (base::error const&) {
                    done(routing::row_read_failed{});
                    return;
                }
            }
            done(std::move(event));
        });
}

void call_service::perform_claim(
    routing::claim_work const& work,
    std::string key,
    base::instant deadline,
    std::function<void(routing::claim_event)> done)
{
    this->shared.post_control([this, work, key = std::move(key), deadline,
                               done = std::move(done)]() mutable {
        if (std::holds_alternative<routing::claim_read>(work.work)) {
            this->read_claim(std::move(key), std::move(done));
            return;
        }
        store::submission content;
        content.level = store::priority::call_claim;
        routing::claim_row row{
            .operation = work.operation, .answer = {}, .version = 0};
        formats::row_write write{key, {}};
        auto const now = this->shared.now();
        if (auto const* action =
                std::get_if<routing::claim_store>(&work.work)) {
            content.conditions.push_back({key, action->version});
            row.answer = action->answer;
            write.value = encode_claim(row);
            content.deadline = now + base::seconds(30);
        } else if (
            auto const* removal =
                std::get_if<routing::claim_delete>(&work.work)) {
            content.conditions.push_back({key, removal->version});
            content.deadline = now + base::seconds(30);
        } else {
            content.conditions.push_back({key, 0});
            write.value = encode_claim(row);
            content.deadline = std::min(deadline, now + claim_timeout);
        }
        content.writes.push_back(std::move(write));
        this->store.submit_other(
            std::move(content), [key, done](store::completion const& finished) {
                switch (finished.result) {
                case store::outcome::committed:
                    done(routing::write_committed{
                        store::version_in(finished, key).value_or(0)});
                    return;
                case store::outcome::conflict:
                    done(routing::write_conflict{});
                    return;
                case store::outcome::rejected:
                    done(routing::write_rejected{});
                    return;
                }
            });
    });
}

} // namespace foxtaillift::daemon
