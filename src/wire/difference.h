// Transfers a text as its difference from a base text that the receiver already has.

#pragma once

#include "egrettide/core/error.h"

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace egrettide
{

// Larger texts are refused. A value in the store has at most 1 MB, and a catalog holds a
// few of them.
constexpr std::size_t maxDifferenceText = std::size_t{8} * 1024 * 1024;

// A 64-bit hash that detects differences between texts; not collision-resistant against
// an attacker.
std::uint64_t digestOf(std::string_view text);

// Compresses `text` with `base` as the dictionary. With an empty base the result holds the
// whole text.
std::string makeDifference(std::string_view base, std::string_view text);

// Restores the text from its difference and the same base. InvalidInput when the bytes are
// damaged or belong to another base, or when the digest of the result is not `digest`.
tl::expected<std::string, Error> applyDifference(std::string_view base, std::string_view difference, std::uint64_t digest);

} // namespace egrettide
