#include "foxtaillift/routing/run_time_classes.hpp"

#include "foxtaillift/base/hash.hpp"

#include <algorithm>
#include <atomic>
#include <bit>
#include <vector>

namespace foxtaillift::routing
{

namespace
{

constexpr std::size_t max_probes = 16;
constexpr float least_step = 0.02F;
constexpr float least_ms = 0.5F;

struct entry
{
    std::atomic<std::uint64_t> key{0}; ///< 0: unused
    std::atomic<std::uint32_t> samples{0};
    std::atomic<float> median_ms{0};
};

/// Moves the estimate up or down by a share that shrinks with the samples,
/// which converges to the median. Lost concurrent updates do no harm.
void learn(entry& target, float value)
{
    auto const samples = target.samples.fetch_add(1, std::memory_order_relaxed);
    auto const old = target.median_ms.load(std::memory_order_relaxed);
    auto const step =
        std::max(least_step, 1.0F / static_cast<float>(samples + 1));
    float next = value;
    if (samples > 0) {
        next = value > old ? std::min(value, old * (1 + step))
                           : std::max(value, old * (1 - step));
    }
    target.median_ms.store(next, std::memory_order_relaxed);
}

std::string_view prefix_of(std::string_view path, std::uint32_t segments)
{
    std::size_t end = 0;
    for (std::uint32_t i = 0; i < segments && end != path.size(); ++i) {
        end = std::min(path.find('/', end + 1), path.size());
    }
    return path.substr(0, end);
}

std::uint64_t nonzero(std::uint64_t hash)
{
    return hash == 0 ? 1 : hash;
}

std::uint64_t service_key(base::service_id const& service)
{
    return nonzero(base::hash64(service.view(), 1));
}

} // namespace

struct run_time_classes::state
{
    explicit state(run_time_options from)
        : options(from)
        , entries(std::bit_ceil(std::max(from.max_entries, max_probes)))
    {}

    std::uint64_t
    path_key(base::service_id const& service, std::string_view path) const
    {
        auto const prefix = prefix_of(path, this->options.prefix_segments);
        return nonzero(base::hash64(prefix, base::hash64(service.view())));
    }

    entry const* find(std::uint64_t key) const
    {
        for (std::size_t i = 0; i < max_probes; ++i) {
            auto const& candidate = this->at(key + i);
            auto const present = candidate.key.load(std::memory_order_relaxed);
            if (present == key) {
                return &candidate;
            }
            if (present == 0) {
                return nullptr;
            }
        }
        return nullptr;
    }

    entry* find_or_add(std::uint64_t key)
    {
        for (std::size_t i = 0; i < max_probes; ++i) {
            auto& candidate = this->at(key + i);
            std::uint64_t present = 0;
            if (candidate.key.compare_exchange_strong(present, key) ||
                present == key) {
                return &candidate;
            }
        }
        this->overflowed.fetch_add(1, std::memory_order_relaxed);
        return nullptr;
    }

    entry& at(std::uint64_t position)
    {
        return this->entries[position & (this->entries.size() - 1)];
    }
    entry const& at(std::uint64_t position) const
    {
        return this->entries[position & (this->entries.size() - 1)];
    }

    float long_threshold_ms(base::service_id const& service) const
    {
        auto const* whole = this->find(service_key(service));
        auto const median = whole == nullptr ? 0 : whole->median_ms.load();
        return std::max(
            static_cast<float>(this->options.long_at_least_ms),
            static_cast<float>(this->options.long_factor) * median);
    }

    run_time_options options;
    std::vector<entry> entries;
    std::atomic<std::uint64_t> overflowed{0};
};

std::string_view to_string(run_class value)
{
    return value == run_class::short_call ? "short" : "long";
}

run_time_classes::run_time_classes(run_time_options options)
    : self(std::make_unique<state>(options))
{}

run_time_classes::~run_time_classes() = default;

void run_time_classes::record(
    base::service_id const& service, std::string_view path, base::duration ran)
{
    auto const value = std::max(least_ms, static_cast<float>(ran.ms));
    if (auto* whole = this->self->find_or_add(service_key(service))) {
        learn(*whole, value);
    }
    if (auto* prefix =
            this->self->find_or_add(this->self->path_key(service, path))) {
        learn(*prefix, value);
    }
}

run_class run_time_classes::classify(
    base::service_id const& service, std::string_view path) const
{
    auto const* prefix = this->self->find(this->self->path_key(service, path));
    if (prefix == nullptr ||
        prefix->samples.load() < this->self->options.min_samples) {
        return run_class::short_call;
    }
    return prefix->median_ms.load() >= this->self->long_threshold_ms(service)
               ? run_class::long_call
               : run_class::short_call;
}

double run_time_classes::typical_ms(
    base::service_id const& service, std::string_view path) const
{
    auto const* prefix = this->self->find(this->self->path_key(service, path));
    if (prefix == nullptr ||
        prefix->samples.load() < this->self->options.min_samples) {
        prefix = this->self->find(service_key(service));
    }
    return prefix == nullptr ? 0 : prefix->median_ms.load();
}

base::duration
run_time_classes::long_after(base::service_id const& service) const
{
    return {static_cast<std::int64_t>(this->self->long_threshold_ms(service))};
}

std::uint64_t run_time_classes::overflowed() const
{
    return this->self->overflowed.load();
}

} // namespace foxtaillift::routing
