// Follows a collection of objects in a store.

#include "runtime/configuration/collection.h"

#include <algorithm>

namespace egrettide
{

namespace
{

constexpr milliseconds listTimeout{2000};
// A waiting call counts as one, so long ones are cheap. But a store that takes a call and
// never answers it, while its connection stays up, is noticed only at the call's end: at
// 5 s a host that such a store has left behind follows again before a configuration
// that is accepted 4 s after the store's return has to be in force, 3 s later.
constexpr milliseconds changesTimeout{5000};
// After a change the next call waits this long: when 24 upstreams register one by one,
// each of 73 hosts would else call 24 times. It delays a change that follows closely on
// another one, of the 3 s in which a configuration has to be in force.
constexpr milliseconds changesSpacing{500};
// Between two attempts while the store does not answer: each is counted.
constexpr milliseconds firstBackoff{100};
constexpr milliseconds lastBackoff{800};

} // namespace

CollectionFollower::CollectionFollower(boost::asio::io_context &control, CollectionSource source, CollectionFollowerHooks hooks)
    : m_source(std::move(source)), m_hooks(std::move(hooks)), m_timer(control), m_backoff(firstBackoff)
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

void CollectionFollower::list()
{
    m_source.list(Clock::now() + listTimeout, [this](const tl::expected<CollectionPage, CollectionFailure> &page) {
        if (m_stopped) {
            return;
        }
        if (!page) {
            retry();
            return;
        }
        m_objects.clear();
        for (const CollectedObject &object : page->objects) {
            m_objects[object.name] = object.value;
        }
        m_revision = page->revision;
        m_listed = true;
        setReached(true);
        m_hooks.changed(m_objects);
        wait();
    });
}

void CollectionFollower::wait()
{
    m_source.changes(m_revision, Clock::now() + changesTimeout,
                     [this](const tl::expected<CollectionChanges, CollectionFailure> &changes) {
                         if (m_stopped) {
                             return;
                         }
                         if (changes) {
                             setReached(true);
                             apply(*changes);
                             waitAfter(changes->changes.empty() ? milliseconds{0} : changesSpacing);
                             return;
                         }
                         m_listed = m_listed && changes.error() != CollectionFailure::HistoryGone;
                         retry();
                     });
}

void CollectionFollower::waitAfter(milliseconds pause)
{
    if (pause == milliseconds{0}) {
        wait();
        return;
    }
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !m_stopped) {
            wait();
        }
    });
}

void CollectionFollower::apply(const CollectionChanges &changes)
{
    m_revision = std::max(m_revision, changes.revision);
    for (const CollectionChange &change : changes.changes) {
        if (change.removed) {
            m_objects.erase(change.object.name);
        } else {
            m_objects[change.object.name] = change.object.value;
        }
    }
    if (!changes.changes.empty()) {
        m_hooks.changed(m_objects);
    }
}

void CollectionFollower::retry()
{
    setReached(false);
    m_timer.expires_after(m_backoff);
    m_backoff = std::min(m_backoff * 2, lastBackoff);
    m_timer.async_wait([this](const boost::system::error_code &cancelled) {
        if (cancelled || m_stopped) {
            return;
        }
        if (m_listed) {
            wait();
        } else {
            list();
        }
    });
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
