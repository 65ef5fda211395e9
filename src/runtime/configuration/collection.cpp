// Follows a collection of objects in a store.

#include "runtime/configuration/collection.h"

#include "egrettide/core/storeepoch.h"

#include <algorithm>

namespace egrettide
{

namespace
{

constexpr milliseconds listTimeout{2000};
// A waiting call counts as one call, so long waits are cheap. But when a store accepts a call and
// never answers while the connection stays up, the host detects it only at the end of the call,
// and a configuration must be in force 3 s after it was accepted.
constexpr milliseconds changesTimeout{2500};
// The pause before the next call after a change: without it, 24 upstreams that register one by
// one cause 24 calls from each of 73 hosts. The pause counts toward the 3 s within which a
// configuration must be in force.
constexpr milliseconds changesSpacing{500};
// Answers that occupy the link for longer than this are followed by a list. A waiting call
// returns every change whole, including superseded ones: twelve changes of a 250 KB object over a
// 2 Mbit/s link delayed a reader and its heartbeats by twelve seconds.
constexpr milliseconds bulkyAnswer{50};
// Pauses between attempts while the store does not answer; every attempt counts as a call.
constexpr milliseconds firstBackoff{100};
constexpr milliseconds lastBackoff{800};

} // namespace

CollectionFollower::CollectionFollower(boost::asio::io_context &control, CollectionSource source, CollectionFollowerHooks hooks)
    : m_source(std::move(source))
    , m_hooks(std::move(hooks))
    , m_timer(control)
    , m_backoff(firstBackoff)
    , m_listBackoff(firstBackoff)
{
}

void CollectionFollower::start()
{
    list();
}

void CollectionFollower::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

bool CollectionFollower::isReached() const
{
    return m_reached;
}

bool CollectionFollower::isKnown() const
{
    return m_revision != 0;
}

const std::map<std::string, nlohmann::json> &CollectionFollower::objects() const
{
    return m_objects;
}

std::uint64_t CollectionFollower::contentRevision() const
{
    return m_contentRevision;
}

std::uint64_t CollectionFollower::through() const
{
    return m_revision;
}

void CollectionFollower::setWaiting(bool waits)
{
    if (waits == m_waits) {
        return;
    }
    m_waits = waits;
    if (m_waits && m_listed && !m_busy) {
        // The copy came from other hosts until now and may be some changes behind.
        m_listsNext = isBulky();
        callNext();
    }
}

bool CollectionFollower::adopt(std::map<std::string, nlohmann::json> objects, std::uint64_t contentRevision,
                               std::uint64_t through, std::size_t bytes)
{
    if (through <= m_revision) {
        noteContent(std::min(contentRevision, m_revision));
        return false;
    }
    m_objects = std::move(objects);
    m_revision = through;
    m_listed = true;
    m_bytes = bytes;
    noteContent(contentRevision);
    return true;
}

bool CollectionFollower::isBulky() const
{
    return m_hooks.pauseAfter(m_bytes) >= bulkyAnswer;
}

// The time for a transfer is added because a large answer would otherwise miss its deadline and
// be requested again and again, which fills the link without any progress.
TimePoint CollectionFollower::listDeadline() const
{
    return Clock::now() + listTimeout + 2 * m_hooks.pauseAfter(m_bytes);
}

void CollectionFollower::noteContent(std::uint64_t revision)
{
    m_contentRevision = std::max(m_contentRevision, revision);
}

void CollectionFollower::list()
{
    m_busy = true;
    m_source.list(listDeadline(), [this](const tl::expected<CollectionPage, CollectionFailure> &page) {
        if (m_stopped) {
            return;
        }
        if (!page) {
            retry();
            return;
        }
        setReached(true);
        m_listed = true;
        m_bytes = page->bytes;
        if (applyPage(*page)) {
            pauseAfterChange();
        } else {
            m_listsNext = false;
            goOn(milliseconds{0});
        }
    });
}

// Returns false when the page holds nothing new.
bool CollectionFollower::applyPage(const CollectionPage &page)
{
    if (page.revision <= m_revision) {
        noteOlder(page.revision);
        return false;
    }
    std::map<std::string, nlohmann::json> objects;
    for (const CollectedObject &object : page.objects) {
        objects[object.name] = object.value;
        noteContent(object.revision);
    }
    const bool isFirst = !isKnown();
    const std::uint64_t epoch = StoreRevision::fromOrdered(page.revision).epoch;
    const bool isRestored = !isFirst && epoch > StoreRevision::fromOrdered(m_revision).epoch;
    const bool differs = isFirst || isRestored || objects != m_objects;
    m_revision = page.revision;
    if (isRestored) {
        // Other hosts must be informed of the restore, even when the collection is empty.
        noteContent(StoreRevision{epoch, 0}.ordered());
    }
    if (std::ranges::any_of(m_objects, [&objects](const auto &known) { return !objects.contains(known.first); })) {
        // A list does not contain the revision of a removal.
        noteContent(m_revision);
    }
    if (differs) {
        m_objects = std::move(objects);
        m_hooks.changed(m_objects);
    }
    return differs && !isFirst;
}

// Reports each known state once, however often the store lists an older one.
void CollectionFollower::noteOlder(std::uint64_t listed)
{
    if (listed < m_revision && m_olderNotedAt != m_revision) {
        m_olderNotedAt = m_revision;
        m_hooks.olderListed(listed, m_revision);
    }
}

void CollectionFollower::pauseAfterChange()
{
    m_listsNext = isBulky();
    goOn(std::max(changesSpacing, m_hooks.pauseAfter(m_bytes)));
}

void CollectionFollower::wait()
{
    m_busy = true;
    m_source.changes(m_revision, Clock::now() + changesTimeout,
                     [this](const tl::expected<CollectionChanges, CollectionFailure> &changes) {
                         if (m_stopped) {
                             return;
                         }
                         if (changes) {
                             setReached(true);
                             m_listBackoff = firstBackoff;
                             apply(*changes);
                             if (changes->changes.empty()) {
                                 goOn(milliseconds{0});
                             } else {
                                 m_bytes = std::max(m_bytes, changes->bytes / changes->changes.size());
                                 pauseAfterChange();
                             }
                             return;
                         }
                         if (changes.error() == CollectionFailure::HistoryGone) {
                             listAgain();
                         } else {
                             retry();
                         }
                     });
}

// The store answers, so it counts as reached. A successful list does not show that the next wait
// is accepted, so lists become less frequent until one is.
void CollectionFollower::listAgain()
{
    m_listed = false;
    const milliseconds pause = m_listBackoff;
    m_listBackoff = std::min(m_listBackoff * 2, lastBackoff);
    callAfter(pause);
}

// Waits for the next change after the pause, unless other hosts provide the changes.
void CollectionFollower::goOn(milliseconds pause)
{
    m_busy = false;
    if (!m_waits) {
        return;
    }
    if (pause == milliseconds{0}) {
        wait();
        return;
    }
    callAfter(pause);
}

void CollectionFollower::callAfter(milliseconds pause)
{
    m_busy = true;
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (cancelled || m_stopped) {
            return;
        }
        m_busy = false;
        if (!m_listed || m_waits) {
            callNext();
        }
    });
}

void CollectionFollower::callNext()
{
    if (!m_listed || m_listsNext) {
        list();
    } else {
        wait();
    }
}

// Another host's copy may have been adopted during the call: changes that end before it are
// already known, and later ones hold whole objects.
void CollectionFollower::apply(const CollectionChanges &changes)
{
    if (changes.revision <= m_revision) {
        return;
    }
    m_revision = changes.revision;
    for (const CollectionChange &change : changes.changes) {
        if (change.removed) {
            m_objects.erase(change.object.name);
            // Only this answer contains the revision of a removal.
            noteContent(changes.revision);
        } else {
            m_objects[change.object.name] = change.object.value;
            noteContent(std::min(change.object.revision, m_revision));
        }
    }
    if (!changes.changes.empty()) {
        m_hooks.changed(m_objects);
    }
}

void CollectionFollower::retry()
{
    setReached(false);
    // The changes since then may be more than the link carries within the time of a call.
    m_listsNext = isBulky();
    const milliseconds pause = m_backoff;
    m_backoff = std::min(m_backoff * 2, lastBackoff);
    callAfter(pause);
}

void CollectionFollower::setReached(bool reached)
{
    if (reached) {
        m_backoff = firstBackoff;
    }
    if (reached != m_reached) {
        m_reached = reached;
        m_hooks.reachability(reached);
    }
}

} // namespace egrettide
