// Copies of a collection that exchange what changed.

#define BOOST_TEST_MODULE CollectionCopy
#include <boost/test/unit_test.hpp>

#include "egrettide/core/collectioncopy.h"
#include "egrettide/core/storeepoch.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

using Content = std::map<std::string, std::string>;

// The store's side: objects with revisions, and the changes in their order.
class Collection
{
public:
    void put(const std::string &name)
    {
        ++m_revision;
        const StoredEntry entry{name, ordered(m_revision), "\"" + name + "@" + std::to_string(m_revision) + "\""};
        m_objects[name] = entry;
        m_history.push_back(entry);
    }

    void remove(const std::string &name)
    {
        if (m_objects.erase(name) != 0) {
            ++m_revision;
            m_history.push_back({name, ordered(m_revision), {}});
        }
    }

    // Other collections of the store change too.
    void pass()
    {
        ++m_revision;
    }

    void takeCopy()
    {
        m_backup = {m_objects, m_history, m_revision};
    }

    void restore()
    {
        ++m_epoch;
        m_objects = m_backup.objects;
        m_history.clear();
        m_revision = m_backup.revision;
        m_epochBegan = ordered(m_revision);
        for (auto &[name, entry] : m_objects) {
            entry.revision = ordered(StoreRevision::fromOrdered(entry.revision).revision);
        }
    }

    void list(CollectionCopy &copy) const
    {
        if (ordered(m_revision) <= copy.through()) {
            return;
        }
        std::vector<StoredEntry> all;
        for (const auto &[name, entry] : m_objects) {
            all.push_back(entry);
        }
        copy.replace(std::move(all), ordered(m_revision));
    }

    // A watch, which continues copies of the same epoch only.
    void watch(CollectionCopy &copy) const
    {
        if (copy.through() < m_epochBegan || ordered(m_revision) <= copy.through()) {
            list(copy);
            return;
        }
        std::vector<StoredEntry> changes;
        std::ranges::copy_if(m_history, std::back_inserter(changes),
                             [&copy](const StoredEntry &change) { return change.revision > copy.through(); });
        copy.extend(std::move(changes), ordered(m_revision));
    }

    Content content() const
    {
        Content content;
        for (const auto &[name, entry] : m_objects) {
            content[name] = entry.text;
        }
        return content;
    }

private:
    struct Backup {
        std::map<std::string, StoredEntry> objects;
        std::vector<StoredEntry> history;
        std::uint64_t revision = 1;
    };

    std::uint64_t ordered(std::uint64_t revision) const
    {
        return StoreRevision{m_epoch, revision}.ordered();
    }

    std::map<std::string, StoredEntry> m_objects;
    std::vector<StoredEntry> m_history;
    std::uint64_t m_revision = 1;
    std::uint64_t m_epoch = 1;
    std::uint64_t m_epochBegan = 0;
    Backup m_backup;
};

Content contentOf(const CollectionCopy &copy)
{
    Content content;
    copy.forEach([&content](const std::string &name, const std::string &text) { content[name] = text; });
    return content;
}

std::string nameOf(std::size_t number)
{
    return "upstream-" + std::to_string(number);
}

Collection filled(std::size_t objects)
{
    Collection collection;
    for (std::size_t i = 0; i < objects; ++i) {
        collection.put(nameOf(i));
    }
    return collection;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CopiesOfACollection)

// Guards against work and messages that grow with the collection instead of with what changed.
BOOST_AUTO_TEST_CASE(ExchangeWhatChangedWhateverTheirSize)
{
    for (const std::size_t size : {30U, 3000U}) {
        Collection store = filled(size);
        CollectionCopy reader;
        store.list(reader);
        CollectionCopy other;
        BOOST_TEST(other.apply(reader.changesSince(0)).size() == size);
        store.put(nameOf(7));
        store.remove(nameOf(8));
        store.watch(reader);
        CollectionDelta delta = reader.changesSince(other.through());
        BOOST_TEST(delta.entries.size() == 2U, "two changes among " << size << " took " << delta.entries.size() << " entries");
        BOOST_TEST_REQUIRE(other.accepts(delta));
        BOOST_TEST(other.apply(std::move(delta)).size() == 2U);
        BOOST_TEST((contentOf(other) == store.content()));
    }
}

// Guards against hosts that all need the whole again after their reader had to list.
BOOST_AUTO_TEST_CASE(ExchangeWhatChangedAfterAList)
{
    Collection store = filled(1000);
    CollectionCopy reader;
    store.list(reader);
    CollectionCopy other;
    other.apply(reader.changesSince(0));
    store.put(nameOf(1));
    store.remove(nameOf(2));
    store.list(reader);
    CollectionDelta delta = reader.changesSince(other.through());
    BOOST_TEST(delta.entries.size() == 2U);
    other.apply(std::move(delta));
    BOOST_TEST((contentOf(other) == store.content()));
}

// Guards against an object that stays for ever at a host that heard of it between two lists of
// the host that it asks.
BOOST_AUTO_TEST_CASE(RemoveWhatTheListingCopyNeverSaw)
{
    Collection store = filled(3);
    CollectionCopy lister;
    store.list(lister);
    CollectionCopy watcher;
    watcher.apply(lister.changesSince(0));
    store.put("brief");
    store.watch(watcher);
    store.remove("brief");
    store.list(lister);
    CollectionDelta delta = lister.changesSince(watcher.through());
    BOOST_TEST_REQUIRE(watcher.accepts(delta));
    watcher.apply(std::move(delta));
    BOOST_TEST((contentOf(watcher) == store.content()));
}

BOOST_AUTO_TEST_CASE(RefuseADeltaThatDoesNotContinueThem)
{
    Collection store = filled(3);
    CollectionCopy reader;
    store.list(reader);
    CollectionCopy other;
    other.apply(reader.changesSince(0));
    store.put("missed");
    store.watch(reader);
    const std::uint64_t afterMissed = reader.through();
    store.put("told");
    store.watch(reader);
    BOOST_TEST(!other.accepts(reader.changesSince(afterMissed)));
    BOOST_TEST(!reader.accepts(reader.changesSince(0)), "it is no newer");
}

// Guards against a history of removals that grows for as long as the process runs.
BOOST_AUTO_TEST_CASE(ForgetOldRemovals)
{
    Collection store = filled(10);
    CollectionCopy reader;
    store.list(reader);
    CollectionCopy late;
    late.apply(reader.changesSince(0));
    for (std::size_t i = 0; i < 5000; ++i) {
        store.put("passing-" + std::to_string(i));
        store.watch(reader);
        store.remove("passing-" + std::to_string(i));
        store.watch(reader);
    }
    CollectionDelta delta = reader.changesSince(late.through());
    BOOST_TEST(delta.entries.size() <= 300U, "it still tells " << delta.entries.size() << " changes");
    late.apply(std::move(delta));
    BOOST_TEST((contentOf(late) == store.content()));
}

// Guards against copies that differ after any order of changes, lists, watches, restores and lost
// or repeated messages between several hosts.
BOOST_AUTO_TEST_CASE(EndWithTheContentOfTheStoreUnderAnySchedule)
{
    constexpr std::size_t hosts = 6;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&random](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
        Collection store = filled(below(8));
        store.takeCopy();
        std::vector<CollectionCopy> copies(hosts);
        std::vector<std::pair<std::size_t, CollectionDelta>> delayed;
        const auto deliver = [&](std::size_t to, CollectionDelta delta) {
            if (copies[to].accepts(delta)) {
                copies[to].apply(std::move(delta));
            }
        };
        for (int step = 0; step < 150; ++step) {
            const std::size_t host = below(hosts);
            const std::size_t other = below(hosts);
            switch (below(12)) {
            case 0:
            case 1:
            case 2:
                store.put(nameOf(below(8)));
                break;
            case 3:
            case 4:
                store.remove(nameOf(below(8)));
                break;
            case 5:
                below(4) == 0 ? store.restore() : below(3) == 0 ? store.takeCopy() : store.pass();
                break;
            case 6:
                store.list(copies[host]);
                break;
            case 7:
            case 8:
                store.watch(copies[host]);
                break;
            case 9:
                delayed.emplace_back(other, copies[host].changesSince(copies[other].through()));
                break;
            case 10:
                if (!delayed.empty()) {
                    const auto [to, delta] = delayed[below(delayed.size())];
                    deliver(to, delta);
                }
                break;
            default:
                deliver(other, copies[host].changesSince(copies[other].through()));
                break;
            }
        }
        store.pass();
        store.watch(copies.front());
        for (std::size_t host = 1; host < hosts; ++host) {
            deliver(host, copies[host - 1].changesSince(copies[host].through()));
            BOOST_TEST((contentOf(copies[host]) == store.content()), "seed " << seed << ", host " << host);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
