/// What this entry host knows of one service, kept over snapshot changes.
#pragma once

#include <atomic>
#include <cstdint>

namespace foxtaillift::routing
{

/// Tokens for retries and hedges of one service: each call deposits a share of
/// a token, each retry takes a whole one. Safe for concurrent use.
class retry_budget
{
public:
    /// Adds `share` of a token (0.1: retries are at most 10% of the calls), up
    /// to `capacity` tokens.
    void deposit(double share, double capacity);
    /// Takes one token; false if there is none.
    bool try_take();
    [[nodiscard]] double tokens() const;

private:
    std::atomic<std::int64_t> micro_tokens{0};
};

/// Shared by all threads.
struct alignas(64) service_load
{
    std::atomic<float> latency_ms{0}; ///< moving average of good answers
    std::atomic<float> error_rate{0};
    retry_budget retries;
};

} // namespace foxtaillift::routing
