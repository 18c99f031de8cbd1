/// All metrics of a process by name.
#pragma once

#include "foxtaillift/metrics/counter.hpp"
#include "foxtaillift/metrics/summary.hpp"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace foxtaillift::metrics
{

/// Creates metrics and writes them as text. Safe for concurrent use; returned
/// references stay valid as long as the registry. Look a metric up once and
/// keep the reference: a lookup takes a lock.
///
///     auto& answered = registry.counter_of(
///         "foxtail_calls_answered_total", "Calls with a whole answer.");
///     answered.add();
class registry
{
public:
    registry();
    ~registry();

    /// `labels` is the text between the braces, such as `reason="queue_full"`.
    /// \throws base::error (invalid_argument) if the name is in use for another
    /// type of metric.
    counter& counter_of(
        std::string_view name,
        std::string_view help,
        std::string_view labels = {});
    gauge& gauge_of(
        std::string_view name,
        std::string_view help,
        std::string_view labels = {});
    summary& summary_of(
        std::string_view name,
        std::string_view help,
        std::string_view labels = {});

    /// Text exposition, sorted by name.
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> impl;
};

} // namespace foxtaillift::metrics
