// The texts of the operators' intent that a host sends to others: the current one, and earlier ones
// that other hosts may still hold and to which a difference is sent.

#pragma once

#include "egrettide/core/collectioncopy.h"
#include "wire/hopcodec.h"

#include <tl/expected.hpp>

#include <cstdint>
#include <deque>
#include <string>

namespace egrettide
{

// One JSON object of all objects of the copy by name. Equal copies give equal texts, as objects are
// kept in their compact form.
std::string catalogText(const CollectionCopy &copy);

class CatalogTexts
{
public:
    // Sets the text that is sent from now on.
    void set(std::string text);

    bool isEmpty() const;
    // 0 while there is no text.
    std::uint64_t digest() const;
    // Adds the text to a push for a host that holds the text with that digest: as a difference, or
    // whole when this host does not hold that one. There must be a text.
    void addTo(hop::CatalogPush &push, std::uint64_t heldDigest) const;
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
};

} // namespace egrettide
