// The texts in which a host passes its copy of the catalog on: the present one, and earlier
// ones that others may still hold, from which they get only the difference.

#pragma once

#include "wire/hopcodec.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace egrettide
{

class CatalogTexts
{
public:
    // Takes what is passed on from now on.
    void set(std::string text, const CatalogVersion &version, const CatalogRevisions &through);
    // Notes how far the present text is complete by now.
    void setThrough(const CatalogRevisions &through);

    bool isEmpty() const;
    // 0 while there is none.
    std::uint64_t digest() const;
    // The digest of the text before this one, 0 when there is none.
    std::uint64_t digestBefore() const;
    // For whoever holds the text with that digest; the whole when this host does not.
    hop::CatalogPush pushFor(std::uint64_t heldDigest) const;
    // The text that a peer sent. InvalidInput when it is damaged, or a difference from a text
    // that this host does not hold.
    tl::expected<std::string, Error> read(const hop::CatalogPush &push) const;

private:
    struct Entry {
        std::string text;
        std::uint64_t digest = 0;
    };

    const std::string *textOf(std::uint64_t digest) const;

    // The present one first.
    std::deque<Entry> m_entries;
    CatalogVersion m_version;
    CatalogRevisions m_through;
};

} // namespace egrettide
