#include "foxtaillift/jobs/relay_message.hpp"

#include "foxtaillift/base/error.hpp"

#include <msgpack.hpp>

#include <limits>

namespace foxtaillift::jobs
{

namespace
{

using packer = msgpack::packer<msgpack::sbuffer>;

/// Nests three lists deep, and has some levels to spare.
msgpack::unpack_limit const limits{
    100'000, // entries of a list
    0,       // of a map
    100'000, // bytes of a text
    0,       // of binary data
    0,       // of an extension
    8};      // levels

enum class order_kind
{
    look,
    start,
    stop,
    pace,
};

void pack(packer& to, run_name const& run)
{
    to.pack(run.task.job);
    to.pack(run.task.occurrence);
    to.pack(run.task.step);
    to.pack(run.task.index);
    to.pack(run.attempt);
}

/// Reads the entries of a list in order.
class list_reader
{
public:
    explicit list_reader(msgpack::object const& list)
    {
        if (list.type != msgpack::type::ARRAY) {
            throw msgpack::type_error{};
        }
        this->next = list.via.array.ptr;
        this->end = this->next + list.via.array.size;
    }

    msgpack::object const& take()
    {
        if (this->next == this->end) {
            throw msgpack::type_error{};
        }
        return *this->next++;
    }

    template <class Value>
    void read(Value& value)
    {
        this->take().convert(value);
    }

    void read(run_name& run)
    {
        this->read(run.task.job);
        this->read(run.task.occurrence);
        this->read(run.task.step);
        this->read(run.task.index);
        this->read(run.attempt);
    }

    template <class Enumeration>
    Enumeration read_enumeration(Enumeration last)
    {
        int value = 0;
        this->read(value);
        if (value < 0 || value > static_cast<int>(last)) {
            throw msgpack::type_error{};
        }
        return static_cast<Enumeration>(value);
    }

    [[nodiscard]] bool is_over() const { return this->next == this->end; }

private:
    msgpack::object const* next = nullptr;
    msgpack::object const* end = nullptr;
};

constexpr std::uint32_t head_entries = 3; // kind, worker, address
constexpr std::uint32_t run_entries = 5;

void pack_head(
    packer& to,
    order_kind kind,
    std::uint32_t more,
    std::string const& worker,
    std::string const& address)
{
    to.pack_array(head_entries + more);
    to.pack(static_cast<int>(kind));
    to.pack(worker);
    to.pack(address);
}

void pack(packer& to, look_order const& order)
{
    pack_head(to, order_kind::look, 5, order.worker, order.address);
    to.pack(order.token);
    to.pack(order.acknowledged);
    // A worker's clock is never negative.
    to.pack(order.lease_until_ms.value_or(-1));
    to.pack(order.wait.ms);
    to.pack(order.is_extra);
}

void pack(packer& to, start_order const& order)
{
    pack_head(
        to, order_kind::start, run_entries + 5, order.worker, order.address);
    pack(to, order.run);
    to.pack(order.payload);
    to.pack(order.lease_until_ms);
    to.pack(order.token);
    to.pack(order.checkpoint);
    to.pack(order.ticket);
}

void pack(packer& to, stop_order const& order)
{
    pack_head(
        to, order_kind::stop, run_entries + 1, order.worker, order.address);
    pack(to, order.run);
    to.pack(order.token);
}

void pack(packer& to, pace_order const& order)
{
    pack_head(
        to, order_kind::pace, run_entries + 2, order.worker, order.address);
    pack(to, order.run);
    to.pack(order.percent);
    to.pack(order.token);
}

template <class Order>
Order read_head(list_reader& from)
{
    Order order;
    from.read(order.worker);
    from.read(order.address);
    return order;
}

look_order read_look(list_reader& from)
{
    auto order = read_head<look_order>(from);
    from.read(order.token);
    from.read(order.acknowledged);
    std::int64_t until = 0;
    from.read(until);
    if (until >= 0) {
        order.lease_until_ms = until;
    }
    from.read(order.wait.ms);
    from.read(order.is_extra);
    return order;
}

start_order read_start(list_reader& from)
{
    auto order = read_head<start_order>(from);
    from.read(order.run);
    from.read(order.payload);
    from.read(order.lease_until_ms);
    from.read(order.token);
    from.read(order.checkpoint);
    from.read(order.ticket);
    return order;
}

stop_order read_stop(list_reader& from)
{
    auto order = read_head<stop_order>(from);
    from.read(order.run);
    from.read(order.token);
    return order;
}

pace_order read_pace(list_reader& from)
{
    auto order = read_head<pace_order>(from);
    from.read(order.run);
    from.read(order.percent);
    from.read(order.token);
    return order;
}

relayable_order read_order(msgpack::object const& list)
{
    list_reader from{list};
    switch (from.read_enumeration(order_kind::pace)) {
    case order_kind::look:
        return read_look(from);
    case order_kind::start:
        return read_start(from);
    case order_kind::stop:
        return read_stop(from);
    case order_kind::pace:
        break;
    }
    return read_pace(from);
}

void pack(packer& to, worker_report const& report)
{
    to.pack_array(4);
    to.pack(report.clock_ms);
    to.pack(report.born_ms);
    constexpr std::uint32_t running_entries = run_entries + 3;
    constexpr std::uint32_t ended_entries = run_entries + 3;
    to.pack_array(
        static_cast<std::uint32_t>(report.running.size()) * running_entries);
    for (auto const& each : report.running) {
        pack(to, each.run);
        to.pack(each.checkpoint);
        to.pack(each.percent);
        to.pack(each.recent);
    }
    to.pack_array(
        static_cast<std::uint32_t>(report.ended.size()) * ended_entries);
    for (auto const& each : report.ended) {
        to.pack(each.number);
        pack(to, each.run);
        to.pack(static_cast<int>(each.outcome));
        to.pack(each.checkpoint);
    }
}

worker_report read_report(msgpack::object const& list)
{
    list_reader from{list};
    worker_report report;
    from.read(report.clock_ms);
    from.read(report.born_ms);
    for (list_reader running{from.take()}; !running.is_over();) {
        auto& each = report.running.emplace_back();
        running.read(each.run);
        running.read(each.checkpoint);
        running.read(each.percent);
        running.read(each.recent);
    }
    for (list_reader ended{from.take()}; !ended.is_over();) {
        auto& each = report.ended.emplace_back();
        ended.read(each.number);
        ended.read(each.run);
        each.outcome = ended.read_enumeration(run_outcome::alone);
        ended.read(each.checkpoint);
    }
    return report;
}

template <class Each>
std::string pack_list(std::size_t size, Each pack_each)
{
    msgpack::sbuffer buffer;
    packer to{buffer};
    to.pack_array(static_cast<std::uint32_t>(size));
    pack_each(to);
    return {buffer.data(), buffer.size()};
}

/// Calls `read_each` with each entry of the list.
template <class Each>
void read_list(std::string_view text, char const* what, Each read_each)
{
    try {
        auto const whole = msgpack::unpack(
            text.data(), text.size(),
            [](msgpack::type::object_type, std::size_t, void*) {
                return true; // texts stay in the message
            },
            nullptr, limits);
        for (list_reader list{whole.get()}; !list.is_over();) {
            read_each(list_reader{list.take()});
        }
    } catch (std::exception const& failure) {
        throw base::error{
            base::error_code::corrupt_data,
            std::string{what} + " cannot be decoded: " + failure.what()};
    }
}

} // namespace

std::string encode(std::span<relayed_order const> orders)
{
    return pack_list(orders.size(), [&](packer& to) {
        for (auto const& each : orders) {
            to.pack_array(2);
            to.pack(each.number);
            std::visit(
                [&to](auto const& order) { pack(to, order); }, each.order);
        }
    });
}

std::vector<relayed_order> decode_relayed_orders(std::string_view text)
{
    std::vector<relayed_order> orders;
    read_list(text, "a list of orders", [&](list_reader from) {
        auto& each = orders.emplace_back();
        from.read(each.number);
        each.order = read_order(from.take());
    });
    return orders;
}

std::string encode(std::span<relayed_answer const> answers)
{
    return pack_list(answers.size(), [&](packer& to) {
        for (auto const& each : answers) {
            to.pack_array(each.report ? 3 : 2);
            to.pack(each.number);
            to.pack(static_cast<int>(each.status));
            if (each.report) {
                pack(to, *each.report);
            }
        }
    });
}

std::vector<relayed_answer> decode_relayed_answers(std::string_view text)
{
    std::vector<relayed_answer> answers;
    read_list(text, "a list of answers", [&](list_reader from) {
        auto& each = answers.emplace_back();
        from.read(each.number);
        each.status = from.read_enumeration(order_status::unknown);
        if (!from.is_over()) {
            each.report = read_report(from.take());
        }
    });
    return answers;
}

} // namespace foxtaillift::jobs
