// Versions of a host's copy of the catalog. The catalog is what the store holds of the
// operators' intent and of the upstreams' registrations.

#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace egrettide
{

// The version of a copy: that of the operators' intent, which never decreases, even if the
// store is restored; and the store revision at which the registrations last changed.
//
// The total order is used for heartbeats, to decide which host to ask. Of two copies of
// which neither covers the other, one is still greater; the other host asks for it and then
// holds a greater version, so that all hosts converge. lacks() decides what is adopted.
struct CatalogVersion {
    std::uint64_t intent = 0;
    std::uint64_t registrations = 0;

    bool operator==(const CatalogVersion &) const = default;

    bool operator<(const CatalogVersion &other) const
    {
        return std::tie(intent, registrations) < std::tie(other.intent, other.registrations);
    }

    // True if `other` is newer in at least one of the two collections.
    bool lacks(const CatalogVersion &other) const
    {
        return other.intent > intent || other.registrations > registrations;
    }
};

// The store revisions up to which the two collections of a copy were read.
struct CatalogRevisions {
    std::uint64_t intent = 0;
    std::uint64_t registrations = 0;

    bool operator==(const CatalogRevisions &) const = default;

    // The greater revision of each collection.
    CatalogRevisions joined(const CatalogRevisions &other) const
    {
        return {std::max(intent, other.intent), std::max(registrations, other.registrations)};
    }
};

} // namespace egrettide
