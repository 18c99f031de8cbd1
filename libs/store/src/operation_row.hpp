/// The row `op/<host>`: the last operation id of each process that wrote it.
#pragma once

#include <deque>
#include <string>
#include <string_view>

namespace foxtaillift::store::detail
{

/// Ids have the form "<writer>-<number>" and are separated by spaces, newest
/// last. Earlier processes of the same host keep their entries, so that each
/// process can find its own last write.
class operation_row
{
public:
    static operation_row parse(std::string_view text);

    /// Last operation id of a writer, or empty.
    [[nodiscard]] std::string last_of(std::string_view writer) const;
    /// Replaces the id of the writer. The oldest of more than 8 writers is
    /// dropped: 8 processes of one host cannot start within one timeout.
    void record(std::string_view writer, std::string operation);
    [[nodiscard]] std::string to_text() const;

private:
    std::deque<std::string> operations;
};

} // namespace foxtaillift::store::detail
