/// Random numbers. Decisions take the engine as an argument; tests seed it and
/// print the seed.
#pragma once

#include "foxtaillift/base/clock.hpp"

#include <boost/random/taus88.hpp>

#include <cstdint>
#include <string>

namespace foxtaillift::base
{

/// Small and fast engine; not for secrets.
using random_engine = boost::random::taus88;

/// Uniform integer in [0, bound). `bound` must be positive.
std::uint32_t uniform_below(random_engine& engine, std::uint32_t bound);

/// Uniform real in [0, 1).
double uniform_unit(random_engine& engine);

/// Uniform duration in [0, bound]; the full jitter of a backoff.
duration jitter(random_engine& engine, duration bound);

/// Engine seeded from the operating system's entropy.
random_engine make_seeded_engine();

/// 128 random bits from the operating system as 32 hexadecimal digits, for
/// operation and call identifiers.
std::string make_unique_id();

} // namespace foxtaillift::base
