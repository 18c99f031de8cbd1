/// A scheduler with workers that answer when a test says so.
#pragma once

#include "foxtaillift/jobs/scheduler.hpp"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace foxtaillift::jobs::testing
{

constexpr std::int64_t wall_ms = 1'000'000;

struct scheduler_fixture
{
    explicit scheduler_fixture(
        std::int64_t token = 1, bool is_recovering = false)
        : scheduler_fixture(scheduler_options{.token = token}, is_recovering)
    {}

    explicit scheduler_fixture(
        scheduler_options options, bool is_recovering = false)
        : decisions(std::move(options))
    {
        this->decisions.set_queues(
            {{.name = "q", .service = "s", .max_attempts = 2}});
        if (is_recovering) {
            this->decisions.begin_recovery(this->now);
        }
    }

    void list(std::string const& id, std::int64_t processors = 8000)
    {
        this->decisions.list_worker(
            {.id = id,
             .address = id,
             .service = "s",
             .capacity = {.processors = processors, .memory_mb = 1000}},
            this->now);
    }

    void add(std::string const& id, step wanted)
    {
        job_spec job{.id = id, .queue = "q"};
        job.steps = {std::move(wanted)};
        this->decisions.add_job(job, std::nullopt, this->now);
    }

    template <class Order>
    std::vector<Order> take(bool may_grant = true)
    {
        std::vector<Order> result;
        for (auto const& order :
             this->decisions.take_orders(this->now, wall_ms, may_grant)) {
            if (auto const* const wanted = std::get_if<Order>(&order)) {
                result.push_back(*wanted);
            }
            if (auto const* const look = std::get_if<look_order>(&order)) {
                this->last_look[look->worker] = *look;
            }
        }
        return result;
    }

    worker_report report(std::int64_t born = 1) const
    {
        return {.clock_ms = this->now.ms, .born_ms = born};
    }

    void answer(std::string const& worker, worker_report const& report)
    {
        this->decisions.on_look(
            worker, order_status::done, report, this->now, this->now);
    }

    void wait(std::int64_t ms) { this->now += base::milliseconds(ms); }

    scheduler decisions;
    base::instant now{1'000'000};
    std::map<std::string, look_order> last_look{};
};

} // namespace foxtaillift::jobs::testing
