/// Stable 64-bit hashing (xxHash). Results are the same on every host and in
/// every version, so they may be compared between processes.
#pragma once

#include <cstdint>
#include <string_view>

namespace foxtaillift::base
{

/// Hash of the bytes of `text`.
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);

/// Score of a pair for rendezvous hashing; symmetric use is not intended.
std::uint64_t hash_pair(std::string_view first, std::string_view second);

} // namespace foxtaillift::base
