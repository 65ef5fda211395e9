// Follows a collection of objects in a store.

#include "runtime/configuration/collection.h"

#include "egrettide/core/storeepoch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace egrettide
{

namespace
{

constexpr milliseconds listTimeout{2000};
// How often the time for a list doubles while lists fail.
constexpr int maxListDoublings = 2;
// A waiting call counts as one call, so long waits are cheap. But when a store accepts a call and
// never answers while the connection stays up, the host detects it only at the end of the call,
// and a configuration must be in force 3 s after it was accepted.
constexpr milliseconds changesTimeout{2500};
// The time for a waiting call that has to show whether the store answers. It leaves a slow store
// some tenths of a second, and doubles while calls fail.
constexpr milliseconds pathCheckTimeout{450};
constexpr int maxPathCheckDoublings = 2;
// The pause before the next call after a change: without it, 24 upstreams that register one by
// one cause 24 calls from each of 73 hosts. The pause counts toward the 3 s within which a
// configuration must be in force.
constexpr milliseconds changesSpacing{500};
// While single objects occupy the link for longer than this, changes are read by listing. A
// waiting call returns every change whole, including superseded ones: twelve changes of a 250 KB
// object over a 2 Mbit/s link delayed a reader and its heartbeats by twelve seconds. For many small
// objects a list is the larger answer, however many there are.
constexpr milliseconds bulkyObject{50};
// Pauses between attempts while the store does not answer; every attempt counts as a call.
constexpr milliseconds firstBackoff{100};
constexpr milliseconds lastBackoff{800};

std::vector<StoredEntry> entriesOf(CollectionPage page)
{
    std::vector<StoredEntry> entries;
    entries.reserve(page.objects.size());
    for (CollectedObject &object : page.objects) {
        entries.push_back({std::move(object.name), object.revision, std::move(object.text)});
    }
    return entries;
}

} // namespace

CollectedObject::CollectedObject(std::string objectName, const nlohmann::json &value, std::uint64_t objectRevision)
    : name(std::move(objectName))
    , text(value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace))
    , revision(objectRevision)
{
}

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
    return m_copy.isKnown();
}

bool CollectionFollower::isProbing() const
{
    return m_failedCalls > 0 && (m_waits || !m_listed);
}

std::optional<TimePoint> CollectionFollower::waitsUntil() const
{
    return m_waitsUntil;
}

const CollectionCopy &CollectionFollower::copy() const
{
    return m_copy;
}

std::uint64_t CollectionFollower::contentRevision() const
{
    return m_copy.contentRevision();
}

std::uint64_t CollectionFollower::through() const
{
    return m_copy.through();
}

void CollectionFollower::setWaiting(bool waits)
{
    if (waits == m_waits) {
        return;
    }
    m_waits = waits;
    if (m_waits && !m_listed && m_parts.more && m_timer.cancel() != 0) {
        listMore();
        return;
    }
    if (m_waits && m_listed && !m_busy) {
        // The copy came from other hosts until now and may be some changes behind.
        m_listsNext = isBulky();
        m_checksPath = true;
        callNext();
    }
}

void CollectionFollower::resume()
{
    if (m_defers && m_timer.cancel() != 0) {
        m_busy = false;
        callNext();
    }
}

std::optional<TouchedNames> CollectionFollower::adopt(CollectionDelta delta, std::size_t bytes)
{
    if (!m_copy.accepts(delta)) {
        return std::nullopt;
    }
    TouchedNames touched = m_copy.apply(std::move(delta));
    m_listed = true;
    noteSize(bytes);
    return touched;
}

void CollectionFollower::noteContent(std::uint64_t revision)
{
    m_copy.noteContent(revision);
}

void CollectionFollower::noteSize(std::size_t bytes)
{
    m_bytes = bytes;
    m_objectBytes = bytes / std::max<std::size_t>(1, m_copy.size());
}

bool CollectionFollower::isBulky() const
{
    return m_hooks.pauseAfter(m_objectBytes) >= bulkyObject;
}

// The time for a transfer is added because a large answer would otherwise miss its deadline and
// be requested again and again, which fills the link without any progress. A store that many hosts
// list at once may need longer for all of them; other hosts provide the collection meanwhile, so
// only a host that reads for others needs to notice soon that it gets no answer.
TimePoint CollectionFollower::listDeadline() const
{
    const int factor = m_waits ? 1 : 1 << std::min(m_failedLists, maxListDoublings);
    return Clock::now() + listTimeout * factor + 2 * m_hooks.pauseAfter(m_bytes);
}

void CollectionFollower::list()
{
    m_busy = true;
    m_parts = CollectionPage{};
    m_source.list(listDeadline(), [this](tl::expected<CollectionPage, CollectionFailure> page) { onPage(std::move(page)); });
}

void CollectionFollower::onPage(tl::expected<CollectionPage, CollectionFailure> page)
{
    if (m_stopped) {
        return;
    }
    if (!page) {
        m_parts = CollectionPage{};
        ++m_failedLists;
        retry();
        return;
    }
    m_failedLists = 0;
    setReached(true);
    m_parts.objects.insert(m_parts.objects.end(), std::make_move_iterator(page->objects.begin()),
                           std::make_move_iterator(page->objects.end()));
    m_parts.bytes += page->bytes;
    m_parts.revision = page->revision;
    const bool isFirstPart = !m_parts.more;
    m_parts.more = std::move(page->more);
    if (m_parts.more) {
        const milliseconds wait = isFirstPart && !isKnown() && !m_waits ? m_hooks.peerWait() : milliseconds{0};
        if (wait == milliseconds{0}) {
            listMore();
        } else {
            callAfter(wait);
        }
        return;
    }
    m_listed = true;
    const std::size_t bytes = m_parts.bytes;
    const bool changed = applyListed();
    noteSize(bytes);
    m_hooks.answered();
    if (changed) {
        pauseAfterChange(bytes);
    } else {
        m_listsNext = false;
        goOn(milliseconds{0});
    }
}

void CollectionFollower::listMore()
{
    m_busy = true;
    m_parts.more(listDeadline(), [this](tl::expected<CollectionPage, CollectionFailure> page) { onPage(std::move(page)); });
}

// Returns false when the list holds nothing new.
bool CollectionFollower::applyListed()
{
    CollectionPage page = std::exchange(m_parts, CollectionPage{});
    if (page.revision <= through()) {
        noteOlder(page.revision);
        return false;
    }
    const bool isFirst = !isKnown();
    const std::uint64_t epoch = StoreRevision::fromOrdered(page.revision).epoch;
    const bool isRestored = !isFirst && epoch > StoreRevision::fromOrdered(through()).epoch;
    const std::uint64_t revision = page.revision;
    const TouchedNames touched = m_copy.replace(entriesOf(std::move(page)), revision);
    if (isRestored) {
        // Other hosts must be informed of the restore, even when the collection is empty.
        m_copy.noteContent(StoreRevision{epoch, 0}.ordered());
    }
    const bool differs = isFirst || isRestored || !touched.empty();
    if (differs) {
        m_hooks.changed(m_copy, touched);
    }
    return differs && !isFirst;
}

// Reports each known state once, however often the store lists an older one.
void CollectionFollower::noteOlder(std::uint64_t listed)
{
    if (listed < through() && m_olderNotedAt != through()) {
        m_olderNotedAt = through();
        m_hooks.olderListed(listed, through());
    }
}

void CollectionFollower::pauseAfterChange(std::size_t bytes)
{
    m_listsNext = isBulky();
    goOn(std::max(changesSpacing, m_hooks.pauseAfter(bytes)));
}

void CollectionFollower::wait()
{
    m_busy = true;
    const TimePoint now = Clock::now();
    const bool checksPath = std::exchange(m_checksPath, false);
    m_waitsUntil = checksPath
        ? now + pathCheckTimeout * (1 << std::min(m_failedCalls, maxPathCheckDoublings)) + m_hooks.pauseAfter(m_objectBytes)
        : m_hooks.waitEnd(now + changesTimeout);
    m_source.changes(through(), *m_waitsUntil,
                     [this](tl::expected<CollectionChanges, CollectionFailure> changes) { onChanges(std::move(changes)); });
}

void CollectionFollower::onChanges(tl::expected<CollectionChanges, CollectionFailure> changes)
{
    if (m_stopped) {
        return;
    }
    m_waitsUntil.reset();
    if (!changes) {
        if (changes.error() == CollectionFailure::HistoryGone) {
            listAgain();
        } else {
            retry();
        }
        return;
    }
    setReached(true);
    m_listBackoff = firstBackoff;
    const std::size_t count = changes->changes.size();
    const std::size_t bytes = changes->bytes;
    apply(std::move(*changes));
    m_hooks.answered();
    if (count == 0) {
        goOn(milliseconds{0});
        return;
    }
    m_objectBytes = std::max(m_objectBytes, bytes / count);
    m_bytes = std::max(m_bytes, m_objectBytes);
    pauseAfterChange(bytes);
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
        if (m_listed && m_parts.more) {
            // Another host has provided the collection meanwhile.
            m_parts = CollectionPage{};
        }
        if (m_parts.more) {
            listMore();
        } else if (!m_listed || m_waits) {
            callNext();
        }
    });
}

void CollectionFollower::callNext()
{
    m_defers = m_hooks.defersCalls();
    if (m_defers) {
        callAfter(lastBackoff);
    } else if (!m_listed || m_listsNext) {
        list();
    } else {
        wait();
    }
}

// Another host's copy may have been adopted during the call: changes that end before it are
// already known, and later ones hold whole objects.
void CollectionFollower::apply(CollectionChanges changes)
{
    if (changes.revision <= through()) {
        return;
    }
    std::vector<StoredEntry> entries;
    entries.reserve(changes.changes.size());
    for (CollectionChange &change : changes.changes) {
        entries.push_back({std::move(change.object.name), change.object.revision,
                           change.removed ? std::string() : std::move(change.object.text)});
    }
    const TouchedNames touched = m_copy.extend(std::move(entries), changes.revision);
    if (!touched.empty()) {
        m_hooks.changed(m_copy, touched);
    }
}

void CollectionFollower::retry()
{
    setReached(false);
    ++m_failedCalls;
    m_checksPath = true;
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
        m_failedCalls = 0;
    }
    if (reached != m_reached) {
        m_reached = reached;
        m_hooks.reachability(reached);
    }
}

} // namespace egrettide
