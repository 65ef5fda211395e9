// Changes of a collection as they travel between hosts: serialized and compressed.

#pragma once

#include "egrettide/core/collectioncopy.h"
#include "egrettide/core/error.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace egrettide
{

struct PackedEntries {
    std::string bytes;
    // The digest of the content, which detects damaged bytes.
    std::uint64_t digest = 0;

    friend bool operator==(const PackedEntries &, const PackedEntries &) = default;
};

// Packs entries and gaps. Never returns empty bytes, also for an empty delta.
PackedEntries packEntries(const CollectionDelta &delta);

// Restores entries and gaps; the revisions of the delta travel beside them. InvalidInput when the
// bytes are damaged.
tl::expected<CollectionDelta, Error> unpackEntries(const PackedEntries &packed);

} // namespace egrettide
