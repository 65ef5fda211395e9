// The catalog texts that a host sends to others: the current one, and earlier ones that other
// hosts may still hold and to which a difference is sent.

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
    // Sets the text that is sent from now on.
    void set(std::string text, const CatalogVersion &version, const CatalogRevisions &through);
    // Sets the revisions up to which the current text is complete.
    void setThrough(const CatalogRevisions &through);

    bool isEmpty() const;
    // 0 while there is no text.
    std::uint64_t digest() const;
    // The digest of the previous text; 0 when there is none.
    std::uint64_t digestBefore() const;
    // A push for a host that holds the text with that digest: a difference, or the whole text
    // when this host does not hold that one.
    hop::CatalogPush pushFor(std::uint64_t heldDigest) const;
    // Restores the text that a peer sent. Fails with InvalidInput when it is damaged, or is a
    // difference to a text that this host does not hold.
    tl::expected<std::string, Error> read(const hop::CatalogPush &push) const;

private:
    struct Entry {
        std::string text;
        std::uint64_t digest = 0;
    };

    const std::string *textOf(std::uint64_t digest) const;

    // The current text comes first.
    std::deque<Entry> m_entries;
    CatalogVersion m_version;
    CatalogRevisions m_through;
};

} // namespace egrettide
