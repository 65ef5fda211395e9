// Which history of a store an answer belongs to: a store that is restored from an older
// copy of itself goes on from there, and begins a new epoch.

#pragma once

#include <cstdint>
#include <string_view>

namespace egrettide
{

// A revision of a store within one of its epochs. A store that was restored gives out
// revisions again, so they are compared by epoch first.
struct StoreRevision {
    static constexpr unsigned revisionBits = 40;
    static constexpr std::uint64_t largestRevision = (std::uint64_t{1} << revisionBits) - 1;
    static constexpr std::uint64_t largestEpoch = (std::uint64_t{1} << (64U - revisionBits)) - 1;

    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;

    bool operator==(const StoreRevision &) const = default;

    bool operator<(const StoreRevision &other) const
    {
        return ordered() < other.ordered();
    }

    // One number of the same order, which no other revision of any epoch shares. Both parts
    // must be at most their largest.
    std::uint64_t ordered() const
    {
        return (epoch << revisionBits) | revision;
    }

    static StoreRevision fromOrdered(std::uint64_t number)
    {
        return {number >> revisionBits, number & largestRevision};
    }
};

// What the epoch that came with an answer says.
enum class EpochNews {
    // The epoch that is known, or none was named.
    Current,
    // The first one, or a later one than was known.
    Advanced,
    // An earlier one than is known.
    Fallen,
    // No epoch that a revision can be told with.
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
