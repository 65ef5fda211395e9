// How new a host's copy of the catalog is: of what the store holds of the operators' intent
// and of the upstreams' registrations.

#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace egrettide
{

// What a copy holds: the version that operators gave their intent, which only rises, whatever
// becomes of the store; and the store's revision at which the registrations last changed.
//
// The order is for heartbeats, which say whom to ask. Of two copies neither of which covers
// the other, one is greater; whoever lacks something of it asks for it, and is greater then:
// so all end with the same. What is taken over is decided by lacks().
struct CatalogVersion {
    std::uint64_t intent = 0;
    std::uint64_t registrations = 0;

    bool operator==(const CatalogVersion &) const = default;

    bool operator<(const CatalogVersion &other) const
    {
        return std::tie(intent, registrations) < std::tie(other.intent, other.registrations);
    }

    // True when `other` is newer in either collection.
    bool lacks(const CatalogVersion &other) const
    {
        return other.intent > intent || other.registrations > registrations;
    }
};

// The revisions of the store up to which the two collections of a copy were read.
struct CatalogRevisions {
    std::uint64_t intent = 0;
    std::uint64_t registrations = 0;

    bool operator==(const CatalogRevisions &) const = default;

    CatalogRevisions joined(const CatalogRevisions &other) const
    {
        return {std::max(intent, other.intent), std::max(registrations, other.registrations)};
    }
};

} // namespace egrettide
