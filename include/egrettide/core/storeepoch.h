// Which history of a store an answer belongs to: a store that is restored from an older
// copy of itself goes on from there, and begins a new epoch.

#pragma once

#include <cstdint>
#include <string_view>

namespace egrettide
{

// What the epoch that came with an answer says.
enum class EpochNews {
    // The epoch that is known, or none was named.
    Current,
    // The first one, or a later one than was known.
    Advanced,
    // An earlier one than is known.
    Fallen,
    // No epoch at all.
    Malformed,
};

// Follows the epoch that a store names with its answers.
class StoreEpochTracker
{
public:
    // `text` is what the answer says, empty when it names none. Only Advanced changes current().
    EpochNews onAnswer(std::string_view text);

    // 0 until the store has named one.
    std::uint64_t current() const;

private:
    // Invariant: never falls.
    std::uint64_t m_current = 0;
};

} // namespace egrettide
