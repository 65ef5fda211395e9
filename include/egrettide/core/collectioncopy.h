// A host's copy of one collection of the store, and the changes by which another host's copy is
// brought up to date.

#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

// The last change of one object.
struct StoredEntry {
    std::string name;
    // The store's revision of the change.
    std::uint64_t revision = 0;
    // The object as JSON; empty when the change removed it.
    std::string text;

    bool isRemoval() const
    {
        return text.empty();
    }

    friend bool operator==(const StoredEntry &, const StoredEntry &) = default;
};

// Between two revisions, exclusive, nobody watched: an object that was added and removed again in
// between is in neither of the lists at its ends, so its removal is unknown.
struct RevisionGap {
    std::uint64_t from = 0;
    std::uint64_t to = 0;

    bool contains(std::uint64_t revision) const
    {
        return from < revision && revision < to;
    }

    friend bool operator==(const RevisionGap &, const RevisionGap &) = default;
};

// The changes of a collection between two revisions of the store, each object once.
struct CollectionDelta {
    // The delta extends copies that are complete up to this revision or a later one. 0: it holds
    // the whole collection and replaces any older copy.
    std::uint64_t since = 0;
    // A copy is complete up to this revision afterwards.
    std::uint64_t through = 0;
    // The revision of the last change; never above `through`.
    std::uint64_t contentRevision = 0;
    std::vector<StoredEntry> entries;
    // Copies that are complete up to a revision inside of one cannot be extended.
    std::vector<RevisionGap> gaps{};
};

// Names of objects that were added, changed or removed.
using TouchedNames = std::vector<std::string>;

// Keeps the objects as text, since one host holds thousands of them and reads each once. Work and
// size of a delta follow the changes that it holds, and not the size of the collection.
class CollectionCopy
{
public:
    // False until there was a first copy.
    bool isKnown() const;
    // The revision up to which the copy is complete.
    std::uint64_t through() const;
    // The revision of the last change that the copy holds.
    std::uint64_t contentRevision() const;
    std::size_t size() const;
    // The object as JSON; null when there is none of that name. Valid until the next change.
    const std::string *text(std::string_view name) const;
    // Calls `visit` with each name and object, in order of the names.
    void forEach(const std::function<void(const std::string &name, const std::string &text)> &visit) const;

    // Takes over a list of the whole collection at a later revision.
    TouchedNames replace(std::vector<StoredEntry> listed, std::uint64_t through);
    // Takes over consecutive changes, in their order, up to a later revision. A removal may name
    // any revision up to that one.
    TouchedNames extend(std::vector<StoredEntry> changes, std::uint64_t through);
    // Whether apply() can take the delta over: it is newer, and no change is missing in between.
    bool accepts(const CollectionDelta &delta) const;
    // Takes over a delta of another copy. accepts() must hold.
    TouchedNames apply(CollectionDelta delta);
    // Notes that the copy, although complete, was last changed at this revision or later.
    void noteContent(std::uint64_t revision);

    // What a copy lacks that is complete up to `held`: a delta since then, or the whole when this
    // copy does not know all removals since then.
    CollectionDelta changesSince(std::uint64_t held) const;

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string text;
    };

    void put(StoredEntry entry);
    bool remove(const std::string &name, std::uint64_t revision);
    bool knowsRemovalsSince(std::uint64_t held) const;
    void forgetRemovalsThrough(std::uint64_t revision);
    void addGap(const RevisionGap &gap);
    void boundRemovals();

    std::map<std::string, Object, std::less<>> m_objects;
    // By name, when objects were removed that are not in m_objects.
    std::map<std::string, std::uint64_t> m_removals;
    // All removals after this revision are in m_removals, except inside of m_gaps.
    std::uint64_t m_removalsSince = 0;
    std::deque<RevisionGap> m_gaps;
    std::uint64_t m_through = 0;
    // Invariant: m_contentRevision <= m_through.
    std::uint64_t m_contentRevision = 0;
};

} // namespace egrettide
