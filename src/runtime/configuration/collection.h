// Collections of named objects in a store, and a follower that lists a collection once and then
// waits for changes.

#pragma once

#include "egrettide/core/collectioncopy.h"
#include "egrettide/core/types.h"
#include "runtime/host/timer.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

struct CollectedObject {
    CollectedObject(std::string name, const nlohmann::json &value, std::uint64_t revision = 0);

    std::string name;
    // The object as compact JSON. Kept as text, since the answer to one call may hold hundreds of
    // objects.
    std::string text;
    // The store's revision of the object's last change.
    std::uint64_t revision = 0;
};

enum class CollectionFailure {
    // The store no longer has the changes since that revision; the collection must be listed
    // again.
    HistoryGone,
    // No answer, or a temporary refusal.
    Unavailable,
};

// A collection at one revision of the store, or the next part of a long one.
struct CollectionPage {
    using Handler = std::function<void(tl::expected<CollectionPage, CollectionFailure>)>;

    std::vector<CollectedObject> objects;
    // The same for all parts. Later parts may hold later changes as well.
    std::uint64_t revision = 0;
    // The size of the answer on the link.
    std::size_t bytes = 0;
    // Reads the next part; empty after the last one.
    std::function<void(TimePoint deadline, Handler handler)> more{};
};

struct CollectionChange {
    CollectedObject object;
    bool removed = false;
};

// All changes up to `revision`, in order; empty when nothing changed.
struct CollectionChanges {
    std::vector<CollectionChange> changes;
    std::uint64_t revision = 0;
    // The size of the answer on the link.
    std::size_t bytes = 0;
};

// Access to one collection; used from one thread only. Every handler runs exactly once, no later
// than the deadline.
struct CollectionSource {
    std::function<void(TimePoint deadline, CollectionPage::Handler)> list;
    // Answers as soon as something changed, no later than the deadline.
    std::function<void(std::uint64_t since, TimePoint deadline,
                       std::function<void(tl::expected<CollectionChanges, CollectionFailure>)>)>
        changes;
};

struct CollectionFollowerHooks {
    // Receives the copy and the names of the objects that changed, which are none when only the
    // store's epoch changed; called on every change and after the first list.
    std::function<void(const CollectionCopy &copy, const TouchedNames &touched)> changed;
    // Called when the store stops answering, and when it answers again.
    std::function<void(bool reached)> reachability;
    // Called after each complete answer of the store, once its content is in the copy.
    std::function<void()> answered = [] {};
    // True while another collection of the same store is called to see whether the store answers
    // again. This one then makes no calls, until resume().
    std::function<bool()> defersCalls = [] { return false; };
    // Decides when a call ends that waits for changes and may last until `latest`.
    std::function<TimePoint(TimePoint latest)> waitEnd = [](TimePoint latest) { return latest; };
    // Called when the store listed an older state than the known one; the list was discarded.
    std::function<void(std::uint64_t listed, std::uint64_t known)> olderListed = [](std::uint64_t, std::uint64_t) {};
    // The minimum pause before the next call after an answer of that size.
    std::function<milliseconds(std::size_t bytes)> pauseAfter = [](std::size_t) { return milliseconds{0}; };
    // How long a first list of more than one part waits after its first part for other hosts to
    // provide the collection. Otherwise, the calls of hosts that start grow with the collection.
    std::function<milliseconds()> peerWait = [] { return milliseconds{0}; };
};

// Keeps a copy of one collection current, from the store's changes or from the copies of other
// hosts. Used from the thread of its io_context.
class CollectionFollower
{
public:
    CollectionFollower(boost::asio::io_context &control, CollectionSource source, CollectionFollowerHooks hooks);
    CollectionFollower(const CollectionFollower &) = delete;
    CollectionFollower &operator=(const CollectionFollower &) = delete;

    // Lists the collection, then waits for changes while setWaiting() is on.
    void start();
    void stop();
    // Sets whether this host itself waits for the store's changes.
    void setWaiting(bool waits);
    // Makes the call that was deferred, if there is one.
    void resume();
    // Takes over changes from another host, which took `bytes` on the link. Returns the names of
    // the objects that changed; nothing when the delta is not newer or does not continue this
    // copy. Does not call `changed`.
    std::optional<TouchedNames> adopt(CollectionDelta delta, std::size_t bytes);
    // See CollectionCopy::noteContent().
    void noteContent(std::uint64_t revision);

    // The deadline of the call that waits for changes; nothing while there is none.
    std::optional<TimePoint> waitsUntil() const;
    // True while calls are repeated because the store does not answer.
    bool isProbing() const;
    // False until the collection has been listed once, and while the store does not answer.
    bool isReached() const;
    // True once the store or another host has provided the objects.
    bool isKnown() const;
    const CollectionCopy &copy() const;
    // The revision of the last change that the copy holds.
    std::uint64_t contentRevision() const;
    // The revision up to which the copy is complete; never below contentRevision().
    std::uint64_t through() const;

private:
    void list();
    void onPage(tl::expected<CollectionPage, CollectionFailure> page);
    void listMore();
    bool applyListed();
    void noteOlder(std::uint64_t listed);
    void pauseAfterChange(std::size_t bytes);
    void noteSize(std::size_t bytes);
    bool isBulky() const;
    TimePoint listDeadline() const;
    void wait();
    void onChanges(tl::expected<CollectionChanges, CollectionFailure> changes);
    void goOn(milliseconds pause);
    void callAfter(milliseconds pause);
    void callNext();
    void retry();
    void listAgain();
    void apply(CollectionChanges changes);
    void setReached(bool reached);

    CollectionSource m_source;
    CollectionFollowerHooks m_hooks;
    Timer m_timer;
    CollectionCopy m_copy;
    // The known revision for which an older list was last reported.
    std::uint64_t m_olderNotedAt = 0;
    bool m_waits = false;
    // True when the next waiting call has to show soon whether the store answers.
    bool m_checksPath = false;
    // Calls that failed since the store last answered.
    int m_failedCalls = 0;
    // True while a call is deferred, with its timer running.
    bool m_defers = false;
    std::optional<TimePoint> m_waitsUntil;
    // True while changes are read by listing, so that a series of changes to an object is
    // transferred once.
    bool m_listsNext = false;
    // True while a call, or the pause before it, is in progress.
    bool m_busy = false;
    // The approximate size of the collection on the link, and that of one of its objects.
    std::size_t m_bytes = 0;
    std::size_t m_objectBytes = 0;
    // The parts of the list that is being read; its `more` reads the next part.
    CollectionPage m_parts;
    // Since the last successful one.
    int m_failedLists = 0;
    bool m_listed = false;
    bool m_reached = false;
    milliseconds m_backoff;
    // The pause before the next list after the store refused a wait because its history is gone.
    milliseconds m_listBackoff;
    bool m_stopped = false;
};

} // namespace egrettide
