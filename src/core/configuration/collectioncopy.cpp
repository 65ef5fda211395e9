// Copies of collections and the deltas between them.

#include "egrettide/core/collectioncopy.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace egrettide
{

namespace
{

// A copy remembers as many removals as it holds objects, and at least this number.
constexpr std::size_t minRemembered = 256;
// Lists follow each other only when the store has lost its history.
constexpr std::size_t maxGaps = 8;

} // namespace

bool CollectionCopy::isKnown() const
{
    return m_through != 0;
}

std::uint64_t CollectionCopy::through() const
{
    return m_through;
}

std::uint64_t CollectionCopy::contentRevision() const
{
    return m_contentRevision;
}

std::size_t CollectionCopy::size() const
{
    return m_objects.size();
}

const std::string *CollectionCopy::text(std::string_view name) const
{
    const auto found = m_objects.find(name);
    return found == m_objects.end() ? nullptr : &found->second.text;
}

void CollectionCopy::forEach(const std::function<void(const std::string &name, const std::string &text)> &visit) const
{
    for (const auto &[name, object] : m_objects) {
        visit(name, object.text);
    }
}

void CollectionCopy::noteContent(std::uint64_t revision)
{
    m_contentRevision = std::max(m_contentRevision, std::min(revision, m_through));
}

void CollectionCopy::put(StoredEntry entry)
{
    m_removals.erase(entry.name);
    m_objects.insert_or_assign(std::move(entry.name), Object{entry.revision, std::move(entry.text)});
}

bool CollectionCopy::remove(const std::string &name, std::uint64_t revision)
{
    m_removals[name] = revision;
    return m_objects.erase(name) != 0;
}

TouchedNames CollectionCopy::replace(std::vector<StoredEntry> listed, std::uint64_t through)
{
    const bool isFirst = !isKnown();
    const std::uint64_t before = std::exchange(m_through, through);
    TouchedNames touched;
    std::set<std::string, std::less<>> names;
    for (StoredEntry &entry : listed) {
        entry.revision = entry.revision == 0 ? through : std::min(entry.revision, through);
        names.insert(entry.name);
        noteContent(entry.revision);
        const auto known = m_objects.find(entry.name);
        if (known == m_objects.end() || known->second.revision != entry.revision) {
            touched.push_back(entry.name);
        }
        put(std::move(entry));
    }
    TouchedNames gone;
    for (const auto &[name, object] : m_objects) {
        if (!names.contains(name)) {
            gone.push_back(name);
        }
    }
    for (const std::string &name : gone) {
        // A list does not contain the revision of a removal.
        remove(name, through);
        noteContent(through);
    }
    touched.insert(touched.end(), gone.begin(), gone.end());
    if (isFirst) {
        forgetRemovalsThrough(through);
    } else {
        addGap({before, through});
    }
    boundRemovals();
    return touched;
}

TouchedNames CollectionCopy::extend(std::vector<StoredEntry> changes, std::uint64_t through)
{
    m_through = through;
    std::set<std::string> touched;
    for (StoredEntry &change : changes) {
        touched.insert(change.name);
        if (change.isRemoval()) {
            remove(change.name, through);
            noteContent(through);
            continue;
        }
        change.revision = change.revision == 0 ? through : std::min(change.revision, through);
        noteContent(change.revision);
        put(std::move(change));
    }
    boundRemovals();
    return {touched.begin(), touched.end()};
}

bool CollectionCopy::accepts(const CollectionDelta &delta) const
{
    const auto isInside = [this](const RevisionGap &gap) { return gap.contains(m_through); };
    return delta.through > m_through && delta.since <= m_through
        && (delta.since == 0 || std::ranges::none_of(delta.gaps, isInside));
}

TouchedNames CollectionCopy::apply(CollectionDelta delta)
{
    TouchedNames touched;
    if (delta.since == 0) {
        touched = replace(std::move(delta.entries), delta.through);
        noteContent(delta.contentRevision);
        return touched;
    }
    for (const RevisionGap &gap : delta.gaps) {
        if (gap.to > m_through) {
            addGap(gap);
        }
    }
    m_through = delta.through;
    for (StoredEntry &entry : delta.entries) {
        const auto known = m_objects.find(entry.name);
        const bool isNewer = known == m_objects.end() || known->second.revision < entry.revision;
        if (entry.isRemoval()) {
            if (isNewer && remove(entry.name, entry.revision)) {
                touched.push_back(entry.name);
            }
        } else if (isNewer) {
            touched.push_back(entry.name);
            put(std::move(entry));
        }
    }
    noteContent(delta.contentRevision);
    boundRemovals();
    return touched;
}

CollectionDelta CollectionCopy::changesSince(std::uint64_t held) const
{
    CollectionDelta delta;
    delta.since = knowsRemovalsSince(held) ? held : 0;
    delta.through = m_through;
    delta.contentRevision = m_contentRevision;
    for (const auto &[name, object] : m_objects) {
        if (object.revision > delta.since) {
            delta.entries.push_back({name, object.revision, object.text});
        }
    }
    if (delta.since == 0) {
        return delta;
    }
    for (const auto &[name, revision] : m_removals) {
        if (revision > delta.since) {
            delta.entries.push_back({name, revision, {}});
        }
    }
    std::ranges::copy_if(m_gaps, std::back_inserter(delta.gaps), [held](const RevisionGap &gap) { return gap.to > held; });
    return delta;
}

bool CollectionCopy::knowsRemovalsSince(std::uint64_t held) const
{
    const auto isInside = [held](const RevisionGap &gap) { return gap.contains(held); };
    return held >= m_removalsSince && std::ranges::none_of(m_gaps, isInside);
}

void CollectionCopy::forgetRemovalsThrough(std::uint64_t revision)
{
    m_removalsSince = std::max(m_removalsSince, revision);
    std::erase_if(m_removals, [this](const auto &removal) { return removal.second <= m_removalsSince; });
    std::erase_if(m_gaps, [this](const RevisionGap &gap) { return gap.to <= m_removalsSince; });
}

void CollectionCopy::addGap(const RevisionGap &gap)
{
    if (std::ranges::find(m_gaps, gap) == m_gaps.end()) {
        m_gaps.push_back(gap);
    }
    if (m_gaps.size() > maxGaps) {
        forgetRemovalsThrough(std::ranges::min_element(m_gaps, {}, &RevisionGap::to)->to);
    }
}

void CollectionCopy::boundRemovals()
{
    const std::size_t most = std::max(minRemembered, m_objects.size());
    if (m_removals.size() <= most) {
        return;
    }
    std::vector<std::uint64_t> revisions;
    for (const auto &[name, revision] : m_removals) {
        revisions.push_back(revision);
    }
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::ranges::nth_element(revisions, middle);
    forgetRemovalsThrough(*middle);
}

} // namespace egrettide
