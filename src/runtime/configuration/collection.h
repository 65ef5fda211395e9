// Collections of named objects that others keep in a store, and how to follow one:
// list it once, then wait for changes from there on.

#pragma once

#include "egrettide/core/types.h"
#include "runtime/host/timer.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace egrettide
{

struct CollectedObject {
    std::string name;
    nlohmann::json value;
    // The store's revision of its last change.
    std::uint64_t revision = 0;
};

// A whole collection as it stood at one revision of the store.
struct CollectionPage {
    std::vector<CollectedObject> objects;
    std::uint64_t revision = 0;
    // What the answer took of the link.
    std::size_t bytes = 0;
};

struct CollectionChange {
    CollectedObject object;
    bool removed = false;
};

// Everything that changed up to `revision`, in order; empty when nothing did.
struct CollectionChanges {
    std::vector<CollectionChange> changes;
    std::uint64_t revision = 0;
    // What the answer took of the link.
    std::size_t bytes = 0;
};

enum class CollectionFailure {
    // The store has forgotten what changed since then: list it anew.
    HistoryGone,
    // No answer, or a refusal for now.
    Unavailable,
};

// Access to one collection; used from one thread only. Every handler runs exactly
// once, at the deadline at the latest.
struct CollectionSource {
    std::function<void(TimePoint deadline, std::function<void(tl::expected<CollectionPage, CollectionFailure>)>)> list;
    // Answers as soon as something changed, at the deadline at the latest.
    std::function<void(std::uint64_t since, TimePoint deadline,
                       std::function<void(tl::expected<CollectionChanges, CollectionFailure>)>)>
        changes;
};

struct CollectionFollowerHooks {
    // What is there now; called with every change, and after each new list.
    std::function<void(const std::map<std::string, nlohmann::json> &objects)> changed;
    // The store does not answer any more, or does again.
    std::function<void(bool reached)> reachability;
    // The store listed an older state than is known here, and it was not taken.
    std::function<void(std::uint64_t listed, std::uint64_t known)> olderListed = [](std::uint64_t, std::uint64_t) {};
    // How long an answer of that size should keep the next call waiting at least.
    std::function<milliseconds(std::size_t bytes)> pauseAfter = [](std::size_t) { return milliseconds{0}; };
};

// Keeps a copy of one collection current, by waiting for the store's changes or by what
// other hosts tell. Used from the thread of its io_context.
class CollectionFollower
{
public:
    CollectionFollower(boost::asio::io_context &control, CollectionSource source, CollectionFollowerHooks hooks);
    CollectionFollower(const CollectionFollower &) = delete;
    CollectionFollower &operator=(const CollectionFollower &) = delete;

    // Lists the collection, then waits for changes while it is told to.
    void start();
    void stop();
    // Whether this host waits for the store's changes itself.
    void setWaiting(bool waits);
    // Takes over another host's copy, which is complete up to `through` and came as `bytes`,
    // unless this one is as new. True when it was taken; `changed` is not called.
    bool adopt(std::map<std::string, nlohmann::json> objects, std::uint64_t contentRevision, std::uint64_t through,
               std::size_t bytes);

    // False until it has been listed once, and while the store does not answer.
    bool isReached() const;
    // True once the store, or another host, has told what is there.
    bool isKnown() const;
    const std::map<std::string, nlohmann::json> &objects() const;
    // The revision of the last change that the copy holds.
    std::uint64_t contentRevision() const;
    // The revision up to which the copy is complete; never below contentRevision().
    std::uint64_t through() const;

private:
    void list();
    bool take(const CollectionPage &page);
    void noteOlder(std::uint64_t listed);
    void pauseAfterChange();
    bool isBulky() const;
    TimePoint listDeadline() const;
    void wait();
    void goOn(milliseconds pause);
    void callAfter(milliseconds pause);
    void callNext();
    void retry();
    void listAgain();
    void apply(const CollectionChanges &changes);
    void setReached(bool reached);
    void noteContent(std::uint64_t revision);

    CollectionSource m_source;
    CollectionFollowerHooks m_hooks;
    Timer m_timer;
    std::map<std::string, nlohmann::json> m_objects;
    // Everything up to this revision is in m_objects.
    std::uint64_t m_revision = 0;
    // Invariant: m_contentRevision <= m_revision.
    std::uint64_t m_contentRevision = 0;
    // The state that the last report of an older list was about.
    std::uint64_t m_olderNotedAt = 0;
    bool m_waits = false;
    // True while changes are looked up by listing: what came in a row then comes once.
    bool m_listsNext = false;
    // True while a call, or the pause before one, is under way.
    bool m_busy = false;
    // About what the collection takes of the link.
    std::size_t m_bytes = 0;
    bool m_listed = false;
    bool m_reached = false;
    milliseconds m_backoff;
    // Before the next list after a wait that the store refused for want of history.
    milliseconds m_listBackoff;
    bool m_stopped = false;
};

} // namespace egrettide
