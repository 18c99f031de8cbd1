#include "foxtaillift/base/hash.hpp"

#include <xxhash.h>

namespace foxtaillift::base
{

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t hash_pair(std::string_view first, std::string_view second)
{
    return hash64(second, hash64(first));
}

} // namespace foxtaillift::base
