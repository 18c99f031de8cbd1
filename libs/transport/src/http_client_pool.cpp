#include "foxtaillift/transport/http_client_pool.hpp"

#include "address.hpp"
#include "http_text.hpp"
#include "pool_group.hpp"

namespace foxtaillift::transport
{

namespace
{

void fail_later(
    net::io_context& io,
    exchange_callback callback,
    failure_reason reason,
    std::string message)
{
    net::post(
        io, [callback = std::move(callback),
             result = make_failure(
                 delivery::not_sent, reason, std::move(message))]() mutable {
            callback(std::move(result));
        });
}

} // namespace

class http_client_pool::implementation
{
public:
    implementation(net::io_context& io, http_client_pool_options options)
        : core(std::make_shared<pool_core>(io, options))
    {}

    exchange_handle send(
        std::string_view address,
        request message,
        base::duration timeout,
        exchange_callback callback)
    {
        auto const deadline =
            std::chrono::steady_clock::now() + timeout.to_chrono();
        ++this->core->counters.requests;
        if (auto fault = find_fault(message); !fault.empty()) {
            fail_later(
                this->core->io, std::move(callback),
                failure_reason::invalid_request, std::move(fault));
            return {};
        }
        auto const group = this->find_group(address);
        if (!group) {
            fail_later(
                this->core->io, std::move(callback),
                failure_reason::invalid_request,
                "malformed address '" + std::string{address} + "'");
            return {};
        }
        auto exchange = std::make_shared<pool_exchange>(
            group->strand, std::move(message), std::move(callback));
        exchange_handle handle{exchange};
        net::post(group->strand, [group, exchange, deadline] {
            exchange->start_deadline(deadline);
            group->submit(exchange);
        });
        return handle;
    }

    void stop()
    {
        this->core->is_stopped = true;
        for (auto const& group : this->all_groups()) {
            net::post(group->strand, [group] { group->stop(); });
        }
    }

    std::shared_ptr<pool_core> core;

private:
    std::vector<std::shared_ptr<pool_group>> all_groups()
    {
        std::vector<std::shared_ptr<pool_group>> result;
        std::scoped_lock const lock{this->core->mutex};
        for (auto const& [address, weak] : this->core->groups) {
            if (auto group = weak.lock()) {
                result.push_back(std::move(group));
            }
        }
        return result;
    }

    std::shared_ptr<pool_group> find_group(std::string_view address)
    {
        {
            std::scoped_lock const lock{this->core->mutex};
            auto const found = this->core->groups.find(address);
            if (found != this->core->groups.end()) {
                if (auto group = found->second.lock()) {
                    return group;
                }
            }
        }
        auto const endpoint = parse_address(address);
        if (!endpoint) {
            return nullptr;
        }
        auto created = std::make_shared<pool_group>(
            this->core, std::string{address}, *endpoint);
        std::shared_ptr<pool_group> existing;
        std::scoped_lock const lock{this->core->mutex};
        auto& entry = this->core->groups[created->address];
        existing = entry.lock();
        if (!existing) {
            entry = created;
        }
        return existing ? existing : created;
    }
};

http_client_pool::http_client_pool(
    net::io_context& io, http_client_pool_options options)
    : impl(std::make_shared<implementation>(io, options))
{}

http_client_pool::~http_client_pool()
{
    this->stop();
}

exchange_handle http_client_pool::send(
    std::string_view address,
    request message,
    base::duration timeout,
    exchange_callback callback)
{
    return this->impl->send(
        address, std::move(message), timeout, std::move(callback));
}

void http_client_pool::stop()
{
    this->impl->stop();
}

http_client_pool_statistics http_client_pool::statistics() const
{
    auto const& counters = this->impl->core->counters;
    return {
        .requests = counters.requests,
        .connections_opened = counters.opened,
        .connections_reused = counters.reused,
        .stale_connections = counters.stale,
        .queue_refusals = counters.queue_refusals,
        .late_or_cancelled = counters.late_or_cancelled,
        .broken_answers = counters.broken_answers,
        .connections_open = counters.open,
        .queued = counters.queued};
}

} // namespace foxtaillift::transport
