/// Names of things as distinct types, so that a worker name cannot be passed
/// where a task name is expected.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace foxtaillift::base
{

/// A string that names one kind of thing.
///
///     worker_id id{"w-17"};
///     out << id.view();
template <class Tag>
class identifier
{
public:
    identifier() = default;
    explicit identifier(std::string text)
        : value(std::move(text))
    {}

    [[nodiscard]] std::string const& str() const { return this->value; }
    [[nodiscard]] std::string_view view() const { return this->value; }
    [[nodiscard]] bool empty() const { return this->value.empty(); }

    auto operator<=>(identifier const&) const = default;

    friend std::ostream& operator<<(std::ostream& out, identifier const& id)
    {
        return out << id.value;
    }

private:
    std::string value;
};

using host_id = identifier<struct host_tag>; ///< an entry host
using worker_id = identifier<struct worker_tag>;
using cell_id = identifier<struct cell_tag>;
using task_id = identifier<struct task_tag>;
using call_id = identifier<struct call_tag>;
using service_id = identifier<struct service_tag>;
using caller_id = identifier<struct caller_tag>;
using team_id = identifier<struct team_tag>;
using rack_id = identifier<struct rack_tag>;
using failure_domain_id = identifier<struct failure_domain_tag>;

} // namespace foxtaillift::base

template <class Tag>
struct std::hash<foxtaillift::base::identifier<Tag>>
{
    std::size_t
    operator()(foxtaillift::base::identifier<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
