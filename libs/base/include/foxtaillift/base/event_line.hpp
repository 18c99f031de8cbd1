/// One log line of key=value pairs.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/identifier.hpp"

#include <concepts>
#include <string>
#include <string_view>

namespace foxtaillift::base
{

/// Builds a line such as `event=route call=c1 worker=w2 reason="least load"`.
///
///     event_line{"route"}.add("call", id).add("candidates", 2).str();
///
/// Values that are empty or contain spaces, quotes, '=' or control characters
/// are quoted and escaped, so that a line always stays one line.
class event_line
{
public:
    explicit event_line(std::string_view event);

    event_line& add(std::string_view key, std::string_view value);
    event_line& add(std::string_view key, char const* value);
    event_line& add(std::string_view key, double value);
    event_line& add(std::string_view key, bool value);
    event_line& add(std::string_view key, duration value);

    template <std::integral Integer>
    requires(!std::same_as<Integer, bool>)
        event_line& add(std::string_view key, Integer value)
    {
        return this->add_raw(key, std::to_string(value));
    }

    template <class Tag>
    event_line& add(std::string_view key, identifier<Tag> const& id)
    {
        return this->add(key, id.view());
    }

    [[nodiscard]] std::string const& str() const { return this->text; }

private:
    event_line& add_raw(std::string_view key, std::string_view value);

    std::string text;
};

} // namespace foxtaillift::base
