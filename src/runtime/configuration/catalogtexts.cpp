// Catalog texts and the differences between them.

#include "runtime/configuration/catalogtexts.h"

#include "wire/difference.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

// Under load, changes come twice a second and reach every host within a second; a host that is
// further behind gets the whole text. Each text takes up to 250 KB with 1,900 routes.
constexpr std::size_t keptTexts = 3;

} // namespace

std::string catalogText(const CollectionCopy &copy)
{
    std::string whole = "{";
    copy.forEach([&whole](const std::string &name, const std::string &text) {
        whole += (whole.size() > 1 ? "," : "") + nlohmann::json(name).dump() + ":" + text;
    });
    return whole + "}";
}

void CatalogTexts::set(std::string text)
{
    const std::uint64_t digest = digestOf(text);
    if (digest == this->digest()) {
        return;
    }
    std::erase_if(m_entries, [digest](const Entry &entry) { return entry.digest == digest; });
    m_entries.push_front({std::move(text), digest});
    if (m_entries.size() > keptTexts) {
        m_entries.pop_back();
    }
}

bool CatalogTexts::isEmpty() const
{
    return m_entries.empty();
}

std::uint64_t CatalogTexts::digest() const
{
    return m_entries.empty() ? 0 : m_entries.front().digest;
}

const std::string *CatalogTexts::textOf(std::uint64_t digest) const
{
    const auto found = std::ranges::find(m_entries, digest, &Entry::digest);
    return found == m_entries.end() ? nullptr : &found->text;
}

void CatalogTexts::addTo(hop::CatalogPush &push, std::uint64_t heldDigest) const
{
    const std::string *base = textOf(heldDigest);
    push.baseDigest = base != nullptr ? heldDigest : 0;
    push.difference = makeDifference(base != nullptr ? *base : std::string_view(), m_entries.front().text);
}

tl::expected<std::string, Error> CatalogTexts::read(const hop::CatalogPush &push) const
{
    const std::string *base = textOf(push.baseDigest);
    if (push.baseDigest != 0 && base == nullptr) {
        return tl::unexpected(Error{ErrorKind::InvalidInput,
                                    "The difference is based on a text that this host does not hold; request the whole.",
                                    milliseconds{0}});
    }
    return applyDifference(base != nullptr ? *base : std::string_view(), push.difference, push.digest);
}

} // namespace egrettide
