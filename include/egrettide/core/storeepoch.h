// Store epochs and the order of revisions. A store that is restored from a backup continues
// from the backup's revision and starts a new epoch, so that its answers can be told from
// those given before the restore.

#pragma once

#include <cstdint>
#include <string_view>

namespace egrettide
{

// A revision of a store within one of its epochs. A restored store reuses revision numbers,
// so revisions are compared by epoch first.
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

    // A unique number with the same order, across all epochs. `epoch` and `revision` must not
    // exceed their maximum.
    std::uint64_t ordered() const
    {
        return (epoch << revisionBits) | revision;
    }

    static StoreRevision fromOrdered(std::uint64_t number)
    {
        return {number >> revisionBits, number & largestRevision};
    }
};

// The epoch of an answer, compared with the current one.
enum class EpochChange {
    // Equal to the current epoch, or the answer states none.
    Current,
    // The first epoch, or a later one than the current.
    Advanced,
    // Earlier than the current epoch.
    Decreased,
    // Not a number, or greater than StoreRevision::largestEpoch.
    Malformed,
};

// Tracks the epoch that a store states in its answers.
class StoreEpochTracker
{
public:
    // Evaluates the epoch stated in an answer; `text` is empty if it states none. current()
    // changes only if the result is Advanced.
    EpochChange onAnswer(std::string_view text);

    // 0 until the store has stated an epoch.
    std::uint64_t current() const;

private:
    // Invariant: never decreases.
    std::uint64_t m_current = 0;
};

} // namespace egrettide
