/// Learned run times of calls by service and path prefix.
#pragma once

#include "foxtaillift/base/clock.hpp"
#include "foxtaillift/base/identifier.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace foxtaillift::routing
{

enum class run_class
{
    short_call, ///< also every call whose run time is not learned yet
    long_call,
};

std::string_view to_string(run_class value);

struct run_time_options
{
    std::size_t max_entries = 8192; ///< rounded up to a power of two
    std::uint32_t prefix_segments = 2;
    std::uint32_t min_samples = 5;
    double long_factor = 5; ///< times the service's median
    double long_at_least_ms = 20;
};

/// Medians of run times. Safe for concurrent use; readers and writers take no
/// lock. At the bound a new prefix is not learned (its calls count as short)
/// and is counted in overflowed().
class run_time_classes
{
public:
    explicit run_time_classes(run_time_options options = {});
    ~run_time_classes();
    run_time_classes(run_time_classes const&) = delete;
    run_time_classes& operator=(run_time_classes const&) = delete;

    /// A completed call; `path` is the request target without its query.
    void record(
        base::service_id const& service,
        std::string_view path,
        base::duration ran);

    [[nodiscard]] run_class
    classify(base::service_id const& service, std::string_view path) const;
    /// Median of the prefix, else of the service, else 0.
    [[nodiscard]] double
    typical_ms(base::service_id const& service, std::string_view path) const;
    /// A call that runs longer than this is a long one whatever its class.
    [[nodiscard]] base::duration
    long_after(base::service_id const& service) const;
    [[nodiscard]] std::uint64_t overflowed() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace foxtaillift::routing
