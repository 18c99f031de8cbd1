#include "foxtaillift/base/event_line.hpp"

#include <algorithm>
#include <cstdio>

namespace foxtaillift::base
{

namespace
{

bool is_plain(char c)
{
    return c > ' ' && c != '"' && c != '=' && c != '\\' && c != '\x7f';
}

void append_escaped(std::string& text, char c)
{
    if (c == '"' || c == '\\') {
        text.push_back('\\');
        text.push_back(c);
    } else if (c == '\n') {
        text.append("\\n");
    } else if (static_cast<unsigned char>(c) < ' ' || c == '\x7f') {
        char buffer[8];
        std::snprintf(
            buffer, sizeof buffer, "\\x%02x", static_cast<unsigned char>(c));
        text.append(buffer);
    } else {
        text.push_back(c);
    }
}

} // namespace

event_line::event_line(std::string_view event)
{
    this->add("event", event);
}

event_line& event_line::add(std::string_view key, std::string_view value)
{
    if (!value.empty() && std::all_of(value.begin(), value.end(), is_plain)) {
        return this->add_raw(key, value);
    }
    std::string quoted{"\""};
    for (char c : value) {
        append_escaped(quoted, c);
    }
    quoted.push_back('"');
    return this->add_raw(key, quoted);
}

event_line& event_line::add(std::string_view key, char const* value)
{
    return this->add(key, std::string_view{value});
}

event_line& event_line::add(std::string_view key, double value)
{
    char buffer[32];
    std::snprintf(buffer, sizeof buffer, "%.3f", value);
    return this->add_raw(key, buffer);
}

event_line& event_line::add(std::string_view key, bool value)
{
    return this->add_raw(key, value ? "true" : "false");
}

event_line& event_line::add(std::string_view key, duration value)
{
    return this->add_raw(key, std::to_string(value.ms));
}

event_line& event_line::add_raw(std::string_view key, std::string_view value)
{
    if (!this->text.empty()) {
        this->text.push_back(' ');
    }
    this->text.append(key);
    this->text.push_back('=');
    this->text.append(value);
    return *this;
}

} // namespace foxtaillift::base
