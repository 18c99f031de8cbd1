#include "foxtaillift/settings/describe.hpp"

namespace foxtaillift::settings
{

namespace
{

struct text_of_rule
{
    std::string operator()(name_rule const&) const
    {
        return "a name of letters, digits, '.', '_' and '-'";
    }
    std::string operator()(address_rule const& allowed) const
    {
        std::string text = "an address \"IP:port\"";
        return allowed.may_be_empty ? text + " or \"\"" : text;
    }
    std::string operator()(route_rule const&) const
    {
        return "\"host=IP:port\"";
    }
    std::string operator()(key_rule const&) const
    {
        return "at least 32 hexadecimal digits, an even number of them";
    }
    std::string operator()(choice_rule const& allowed) const
    {
        std::string text = "one of";
        for (auto const word : allowed.words) {
            text += text == "one of" ? " " : ", ";
            text += "\"" + std::string{word} + "\"";
        }
        return text;
    }
    std::string operator()(integer_rule const& allowed) const
    {
        return "a whole number from " + std::to_string(allowed.least) + " to " +
               std::to_string(allowed.most);
    }
    std::string operator()(duration_rule const& allowed) const
    {
        return "whole milliseconds from " + std::to_string(allowed.least_ms) +
               " to " + std::to_string(allowed.most_ms);
    }
    std::string operator()(share_rule const& allowed) const
    {
        auto const trim = [](double value) {
            auto text = std::to_string(value);
            text.erase(text.find_last_not_of('0') + 1);
            return text.back() == '.' ? text + "0" : text;
        };
        return "a number from " + trim(allowed.least) + " to " +
               trim(allowed.most);
    }
};

using keys = std::vector<key_description>;

void describe_identity(daemon_settings& s, keys& out)
{
    out.push_back(
        {"host.id", &s.host.id, name_rule{}, true,
         "Name of this entry host, unique among the entry hosts."});
    out.push_back(
        {"host.failure_domain", &s.host.failure_domain, name_rule{}, true,
         "Failure domain that this entry host is in."});
    out.push_back(
        {"listen.callers", &s.listen.callers, address_rule{}, false,
         "Listener for callers: calls and /v1/tasks over HTTP/1.1."});
    out.push_back(
        {"listen.peers", &s.listen.peers, address_rule{}, false,
         "Listener for other entry hosts: HTTP/2 over TLS. Its IP number is "
         "the one that peers connect to."});
    out.push_back(
        {"listen.operators", &s.listen.operators, address_rule{}, false,
         "Listener for foxtailctl: HTTP/1.1 over TLS."});
    out.push_back(
        {"listen.monitors", &s.listen.monitors, address_rule{}, false,
         "Listener for /metrics, /healthz and /readyz over plain HTTP/1.1."});
}

void describe_platform(daemon_settings& s, keys& out)
{
    out.push_back(
        {"platform.table", &s.platform.table, address_rule{}, true,
         "Table service and host list of the platform."});
    out.push_back(
        {"platform.objects", &s.platform.objects, address_rule{true}, false,
         "Object store; empty means the same server as platform.table."});
    out.push_back(
        {"platform.request_timeout_ms", &s.platform.request_timeout,
         duration_rule{100, 60000}, false,
         "A request to the platform without an answer after this time has an "
         "unknown outcome."});
    out.push_back(
        {"platform.host_list_interval_ms", &s.platform.host_list_interval,
         duration_rule{100, 60000}, false,
         "How often the platform's host list is read."});
}

void describe_peers(daemon_settings& s, keys& out)
{
    out.push_back(
        {"peer.key", &s.peer.key, key_rule{}, true,
         "Pre-shared key of all entry hosts."});
    out.push_back(
        {"peer.seeds", &s.peer.seeds, address_rule{}, false,
         "Peer listeners to ask when the store is down at start."});
    out.push_back(
        {"peer.routes", &s.peer.routes, route_rule{}, false,
         "Addresses that this host uses for peers instead of the ones that "
         "they state, for networks that translate addresses."});
    out.push_back(
        {"peer.ping_interval_ms", &s.peer.ping_interval,
         duration_rule{50, 60000}, false,
         "Interval of HTTP/2 PING on a peer connection."});
    out.push_back(
        {"peer.ping_timeout_ms", &s.peer.ping_timeout,
         duration_rule{100, 120000}, false,
         "A peer connection without any answer for this long is dead."});
    out.push_back(
        {"operator.key", &s.operators.key, key_rule{}, true,
         "Pre-shared key of the operator listener; must differ from "
         "peer.key."});
}

void describe_lease(daemon_settings& s, keys& out)
{
    out.push_back(
        {"lease.length_ms", &s.lease.length, duration_rule{500, 60000}, false,
         "A cell may be taken once its owner's row is unchanged this long. "
         "Must be the same on all entry hosts."});
    out.push_back(
        {"lease.renewal_interval_ms", &s.lease.renewal_interval,
         duration_rule{100, 20000}, false,
         "How often the host row is renewed; at most a third of the lease."});
    out.push_back(
        {"lease.margin_ms", &s.lease.margin, duration_rule{50, 20000}, false,
         "The holder treats its lease as unconfirmed this long before it "
         "ends; covers clock drift and scheduling delays."});
    out.push_back(
        {"lease.scan_interval_ms", &s.lease.scan_interval,
         duration_rule{100, 20000}, false,
         "How often the host and owner rows are read."});
}

void describe_calls(daemon_settings& s, keys& out)
{
    auto& c = s.calls;
    out.push_back(
        {"calls.threads", &c.threads, integer_rule{1, 64}, false,
         "Threads that serve calls."});
    out.push_back(
        {"calls.policy", &c.policy,
         choice_rule{{"adaptive", "two_choices", "round_robin", "random"}},
         false,
         "How a worker is chosen. Holds where the fleet configuration has no "
         "routing.policy."});
    out.push_back(
        {"calls.queue_order", &c.queue_order,
         choice_rule{{"earliest_deadline", "fifo", "newest_first"}}, false,
         "Order in which waiting calls of a service are served. Holds where "
         "the fleet configuration has no routing.order."});
    out.push_back(
        {"calls.queue_limit", &c.queue_limit, integer_rule{1, 1000000}, false,
         "Waiting calls per service; more are refused as not run."});
    out.push_back(
        {"calls.queue_limit_per_caller", &c.queue_limit_per_caller,
         integer_rule{1, 1000000}, false,
         "Waiting calls per service and caller; more are refused as not "
         "run."});
    out.push_back(
        {"calls.default_deadline_ms", &c.default_deadline,
         duration_rule{10, 3600 * 1000}, false,
         "Deadline of a call without Foxtail-Deadline-Ms."});
    out.push_back(
        {"calls.retry_budget", &c.retry_budget, share_rule{0, 1}, false,
         "Retries and hedges as a share of a service's calls. Holds where the "
         "fleet configuration has no routing.retry_budget."});
    out.push_back(
        {"calls.connect_timeout_ms", &c.connect_timeout,
         duration_rule{10, 60000}, false,
         "Time to connect to a worker before the call certainly did not "
         "run."});
    out.push_back(
        {"calls.header_limit", &c.header_limit, integer_rule{512, 1 << 20},
         false, "Bytes of a request's header block."});
    out.push_back(
        {"calls.body_limit", &c.body_limit, integer_rule{0, 1 << 30}, false,
         "Bytes of a request's or an answer's body."});
    out.push_back(
        {"calls.header_timeout_ms", &c.header_timeout,
         duration_rule{100, 600000}, false,
         "Time that a caller has to send a whole header."});
    out.push_back(
        {"calls.connections_per_address", &c.connections_per_address,
         integer_rule{1, 65535}, false,
         "Connections from one caller address."});
    constexpr std::int64_t least_buffer = 1 << 20;
    constexpr std::int64_t most_buffer = std::int64_t{1} << 40;
    out.push_back(
        {"calls.connections", &c.connections, integer_rule{1, 1000000}, false,
         "Connections from all callers. At the limit one without a whole "
         "request is closed for a new one."});
    out.push_back(
        {"calls.buffer_limit", &c.buffer_limit,
         integer_rule{least_buffer, most_buffer}, false,
         "Bytes that connections and requests of all callers hold. At the "
         "limit requests that have not arrived whole are dropped."});
}

void describe_batch(daemon_settings& s, keys& out)
{
    auto& b = s.batch;
    out.push_back(
        {"batch.task_lease_ms", &b.task_lease, duration_rule{1000, 600000},
         false, "Lease of a running task at its worker."});
    out.push_back(
        {"batch.task_renewal_interval_ms", &b.task_renewal_interval,
         duration_rule{100, 200000}, false,
         "How often task leases are renewed; at most half of the lease."});
    out.push_back(
        {"batch.task_lease_margin_ms", &b.task_lease_margin,
         duration_rule{100, 60000}, false,
         "Added to the task lease before a task of an unreachable worker "
         "starts elsewhere."});
    out.push_back(
        {"batch.report_interval_ms", &b.report_interval,
         duration_rule{100, 60000}, false,
         "How often the usage report of a worker is read."});
    out.push_back(
        {"batch.queue_limit", &b.queue_limit, integer_rule{1, 10000000}, false,
         "Unfinished tasks per cell; more are not accepted."});
}

} // namespace

std::vector<key_description> describe(daemon_settings& settings)
{
    std::vector<key_description> out;
    describe_identity(settings, out);
    describe_platform(settings, out);
    describe_peers(settings, out);
    describe_lease(settings, out);
    describe_calls(settings, out);
    describe_batch(settings, out);
    out.push_back(
        {"shutdown.drain_delay_ms", &settings.shutdown.drain_delay,
         duration_rule{0, 600000}, false,
         "After a stop signal calls are still accepted this long, so that the "
         "balancer sees /readyz turn false first."});
    out.push_back(
        {"shutdown.grace_ms", &settings.shutdown.grace,
         duration_rule{0, 3600 * 1000}, false,
         "Bound of a graceful shutdown."});
    out.push_back(
        {"log.queue_lines", &settings.log.queue_lines,
         integer_rule{100, 10000000}, false,
         "Log lines that wait for a slow reader; more are dropped and "
         "counted."});
    return out;
}

std::string allowed_text(rule const& allowed)
{
    return std::visit(text_of_rule{}, allowed);
}

} // namespace foxtaillift::settings
