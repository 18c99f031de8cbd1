#include "foxtaillift/base/random.hpp"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <random>

namespace foxtaillift::base
{

std::uint32_t uniform_below(random_engine& engine, std::uint32_t bound)
{
    boost::random::uniform_int_distribution<std::uint32_t> pick{0, bound - 1};
    return pick(engine);
}

double uniform_unit(random_engine& engine)
{
    return boost::random::uniform_01<double>{}(engine);
}

duration jitter(random_engine& engine, duration bound)
{
    if (bound.ms <= 0) {
        return {};
    }
    boost::random::uniform_int_distribution<std::int64_t> pick{0, bound.ms};
    return {pick(engine)};
}

random_engine make_seeded_engine()
{
    return random_engine{std::random_device{}()};
}

std::string make_unique_id()
{
    constexpr char digits[] = "0123456789abcdef";
    std::random_device source;
    std::string id;
    id.reserve(32);
    for (int word = 0; word < 4; ++word) {
        std::uint32_t bits = source();
        for (int digit = 0; digit < 8; ++digit) {
            id.push_back(digits[bits & 0xF]);
            bits >>= 4;
        }
    }
    return id;
}

} // namespace foxtaillift::base
