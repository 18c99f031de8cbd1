#include "operation_row.hpp"

#include <algorithm>
#include <utility>

namespace foxtaillift::store::detail
{

namespace
{

constexpr std::size_t max_writers = 8;

bool is_written_by(std::string_view operation, std::string_view writer)
{
    return operation.size() > writer.size() + 1 &&
           operation.starts_with(writer) &&
           operation.rfind('-') == writer.size();
}

} // namespace

operation_row operation_row::parse(std::string_view text)
{
    operation_row row;
    while (!text.empty()) {
        auto const end = std::min(text.find(' '), text.size());
        if (end > 0) {
            row.operations.emplace_back(text.substr(0, end));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return row;
}

std::string operation_row::last_of(std::string_view writer) const
{
    auto const found = std::find_if(
        this->operations.begin(), this->operations.end(),
        [writer](auto const& id) { return is_written_by(id, writer); });
    return found == this->operations.end() ? std::string{} : *found;
}

void operation_row::record(std::string_view writer, std::string operation)
{
    std::erase_if(this->operations, [writer](auto const& id) {
        return is_written_by(id, writer);
    });
    this->operations.push_back(std::move(operation));
    if (this->operations.size() > max_writers) {
        this->operations.pop_front();
    }
}

std::string operation_row::to_text() const
{
    std::string text;
    for (auto const& id : this->operations) {
        text += text.empty() ? "" : " ";
        text += id;
    }
    return text;
}

} // namespace foxtaillift::store::detail
