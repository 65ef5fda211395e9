// The homes and observers of a host.

#include "runtime/upstreams/homeservice.h"

#include "runtime/host/log.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>

namespace egrettide
{

namespace asio = boost::asio;

namespace
{

struct HomeKey {
    std::string database;
    std::string upstream;

    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the 0 of a rewritten comparison for a pointer.
    friend auto operator<=>(const HomeKey &, const HomeKey &) = default;
};

struct HomeEntry {
    std::shared_ptr<UpstreamHome> home;
    asio::io_context *context = nullptr;
    // The address of its upstream.
    std::string address;
    // True when this host is no longer the home and only finishes work in progress.
    bool draining = false;
};

// For the time until this host has seen that an upstream is leaving, and for requests under way.
constexpr milliseconds leavingNewsMargin{1000};

Error movedError(const std::string &upstream)
{
    return Error{ErrorKind::Moved, "This host is not the home of '" + upstream + "'; ask the host that is.", milliseconds{0}};
}

// Calls `done` when down() is called for the `count`th time.
class Countdown
{
public:
    Countdown(std::size_t count, std::function<void()> done) : m_left(count), m_done(std::move(done))
    {
    }

    void down()
    {
        if (--m_left == 0) {
            m_done();
        }
    }

private:
    std::atomic<std::size_t> m_left;
    const std::function<void()> m_done;
};

} // namespace

class HomeService::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(asio::io_context &control, std::vector<asio::io_context *> traffic, HomeServiceSettings settings, HomeServiceHooks hooks)
        : m_control(control), m_traffic(std::move(traffic)), m_settings(std::move(settings)), m_hooks(std::move(hooks))
    {
    }

    void update(const std::shared_ptr<const Configuration> &configuration, const HomePredicate &isHome);
    void execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler);
    void cancel(const std::string &frontKey, std::uint64_t id);
    void abandonFront(const std::string &frontKey);
    void giveOpinion(const OpinionQuestion &question, std::function<void(std::optional<bool>)> handler);
    void onAnnounce(const std::string &database, Term term, const std::string &primary);
    void switchover(const std::string &database, const std::string &to, GroupObserver::DoneHandler handler);
    void onHomeConfirmed(const HomeKey &key, TimePoint askedAt);
    void onHandedBack(const HomeKey &key, const HandBack &handBack);
    std::shared_ptr<const GroupSnapshot> snapshot(const std::string &database) const;
    void stats(std::function<void(std::vector<UpstreamHomeStats>)> handler) const;
    void drain(std::function<void()> drained);
    void stop();

private:
    using ObserverPointer = std::shared_ptr<GroupObserver>;

    void updateObservers(const Configuration &configuration, const std::map<std::string, std::set<std::string>> &homes);
    ObserverPointer makeObserver(const DatabaseSpec &database, const std::set<std::string> &homes);
    void updateHome(const HomeKey &key, const std::shared_ptr<const Configuration> &configuration);
    void noteLeaving(const Configuration &configuration);
    std::optional<TimePoint> newWorkEndsAt(const HomeKey &key) const;
    void startDrain(const HomeKey &key, const HomeEntry &entry, std::function<void()> drained);
    void removeDrained(const HomeKey &key, const std::shared_ptr<UpstreamHome> &home);
    std::shared_ptr<UpstreamHome> makeHome(const HomeKey &key, asio::io_context &context,
                                           const std::shared_ptr<const Configuration> &configuration,
                                           const ObserverPointer &observer);
    UpstreamHomeHooks homeHooks(const HomeKey &key, const ObserverPointer &observer) const;
    std::optional<HomeEntry> homeOf(const HomeKey &key) const;
    std::map<HomeKey, HomeEntry> allHomes() const;
    ObserverPointer observerOf(const std::string &database) const;
    void forwardSnapshot(const std::string &database, const std::shared_ptr<const GroupSnapshot> &snapshot) const;
    // Runs `work` on the thread of the home.
    template <class Work> static void onHome(const HomeEntry &entry, Work work)
    {
        asio::post(*entry.context, [home = entry.home, work = std::move(work)] { work(*home); });
    }

    asio::io_context &m_control;
    const std::vector<asio::io_context *> m_traffic;
    const HomeServiceSettings m_settings;
    const HomeServiceHooks m_hooks;
    std::size_t m_nextTraffic = 0;

    // Held while homes are added and removed, so that an observer is not destroyed with
    // the last drained home of a database while a new home is created for it.
    std::mutex m_updateMutex;
    // Guarded by m_updateMutex. Once true, no home or observer is created any more.
    // Without it, a change of registrations during a stop creates homes that are never
    // closed. Their pending work is destroyed with its context and releases an observer
    // whose own context is already destroyed, which crashes the process at exit (with the
    // address sanitizer in 7 of 260 stops just after the upstreams had restarted).
    bool m_stopped = false;
    // Guards the two maps, but not the objects that they point to.
    mutable std::mutex m_mutex;
    std::map<HomeKey, HomeEntry> m_homes;
    // When this host first saw that an upstream is leaving, whoever is its home. Guarded by
    // m_updateMutex.
    std::map<HomeKey, TimePoint> m_leavingSince;
    // One for each database with at least one home on this host, draining homes included.
    std::map<std::string, ObserverPointer> m_observers;
};

// ---- Configuration

void HomeService::Impl::update(const std::shared_ptr<const Configuration> &configuration, const HomePredicate &isHome)
{
    const std::scoped_lock updating(m_updateMutex);
    if (m_stopped) {
        return;
    }
    std::map<std::string, std::set<std::string>> homes;
    for (const DatabaseSpec &database : configuration->databases) {
        for (const UpstreamSpec &upstream : database.upstreams) {
            if (isHome(database, upstream)) {
                homes[database.name].insert(upstream.name);
            }
        }
    }
    noteLeaving(*configuration);
    updateObservers(*configuration, homes);
    for (const auto &[database, upstreams] : homes) {
        for (const std::string &upstream : upstreams) {
            updateHome(HomeKey{database, upstream}, configuration);
        }
    }
    for (const auto &[key, entry] : allHomes()) {
        const auto found = homes.find(key.database);
        const bool stays = found != homes.end() && found->second.contains(key.upstream);
        if (!stays && !entry.draining) {
            startDrain(key, entry, [] {});
        }
    }
}

void HomeService::Impl::noteLeaving(const Configuration &configuration)
{
    const TimePoint now = Clock::now();
    std::map<HomeKey, TimePoint> leaving;
    for (const DatabaseSpec &database : configuration.databases) {
        for (const UpstreamSpec &upstream : database.upstreams) {
            const HomeKey key{database.name, upstream.name};
            const auto known = m_leavingSince.find(key);
            if (upstream.leaving) {
                leaving[key] = known == m_leavingSince.end() ? now : known->second;
            }
        }
    }
    m_leavingSince = std::move(leaving);
}

std::optional<TimePoint> HomeService::Impl::newWorkEndsAt(const HomeKey &key) const
{
    const auto found = m_leavingSince.find(key);
    return found == m_leavingSince.end() ? std::nullopt
                                         : std::optional(found->second + m_settings.leavingBound - leavingNewsMargin);
}

// An observer whose homes on this host are all draining is kept for them, but promotes
// no upstream.
void HomeService::Impl::updateObservers(const Configuration &configuration,
                                        const std::map<std::string, std::set<std::string>> &homes)
{
    for (const DatabaseSpec &database : configuration.databases) {
        const std::string &name = database.name;
        const auto found = homes.find(name);
        const std::set<std::string> upstreams = found == homes.end() ? std::set<std::string>{} : found->second;
        ObserverPointer observer = observerOf(name);
        const bool isNew = !observer;
        if (isNew && upstreams.empty()) {
            continue;
        }
        if (isNew) {
            observer = makeObserver(database, upstreams);
            const std::scoped_lock lock(m_mutex);
            m_observers[name] = observer;
        }
        asio::post(m_control, [observer, isNew, database, homesHere = upstreams] {
            if (isNew) {
                observer->start();
            } else {
                observer->update(database, homesHere);
            }
        });
    }
}

HomeService::Impl::ObserverPointer HomeService::Impl::makeObserver(const DatabaseSpec &database,
                                                                   const std::set<std::string> &homes)
{
    GroupObserverHooks hooks = m_hooks.observer;
    const auto weak = weak_from_this();
    hooks.published = [weak, name = database.name, also = m_hooks.observer.published](const auto &snapshot) {
        if (const auto self = weak.lock()) {
            self->forwardSnapshot(name, snapshot);
        }
        if (also) {
            also(snapshot);
        }
    };
    hooks.pauseWrites = [weak, name = database.name](const std::string &upstream, std::function<void(std::size_t)> progress) {
        const auto self = weak.lock();
        if (const auto entry = self ? self->homeOf(HomeKey{name, upstream}) : std::nullopt) {
            onHome(*entry, [progress = std::move(progress)](UpstreamHome &home) { home.pauseWrites(progress); });
        }
    };
    hooks.resumeWrites = [weak, name = database.name](const std::string &upstream) {
        const auto self = weak.lock();
        if (const auto entry = self ? self->homeOf(HomeKey{name, upstream}) : std::nullopt) {
            onHome(*entry, [](UpstreamHome &home) { home.resumeWrites(); });
        }
    };
    hooks.clockGap = [weak, name = database.name] {
        const auto self = weak.lock();
        for (const auto &[key, entry] : self ? self->allHomes() : std::map<HomeKey, HomeEntry>{}) {
            if (key.database == name) {
                onHome(entry, [](UpstreamHome &home) { home.onClockGap(); });
            }
        }
    };
    return std::make_shared<GroupObserver>(m_control, database, homes, m_settings.observer, std::move(hooks));
}

void HomeService::Impl::updateHome(const HomeKey &key, const std::shared_ptr<const Configuration> &configuration)
{
    const std::string &address = configuration->database(key.database)->upstream(key.upstream)->address;
    const std::scoped_lock lock(m_mutex);
    const auto found = m_homes.find(key);
    if (found != m_homes.end() && found->second.address == address) {
        HomeEntry &entry = found->second;
        const bool returns = std::exchange(entry.draining, false);
        if (returns) {
            log::info("home_taken_back", {{"database", key.database}, {"upstream", key.upstream}});
        }
        onHome(entry, [configuration, returns, end = newWorkEndsAt(key)](UpstreamHome &home) {
            if (returns) {
                home.takeBack();
            }
            home.endNewWorkAt(end);
            home.update(configuration);
        });
        return;
    }
    if (found != m_homes.end()) {
        // The upstream has a new address: work in progress may finish at the old one.
        onHome(found->second, [](UpstreamHome &home) { home.drain([] {}); });
        m_homes.erase(found);
    }
    asio::io_context &context = *m_traffic[m_nextTraffic++ % m_traffic.size()];
    const ObserverPointer observer = m_observers.at(key.database);
    log::info("home_taken", {{"database", key.database}, {"upstream", key.upstream}});
    HomeEntry entry{makeHome(key, context, configuration, observer), &context, address, false};
    onHome(entry, [view = observer->snapshot(), end = newWorkEndsAt(key)](UpstreamHome &home) {
        home.endNewWorkAt(end);
        home.onSnapshot(view);
    });
    m_homes.emplace(key, std::move(entry));
}

std::shared_ptr<UpstreamHome> HomeService::Impl::makeHome(const HomeKey &key, asio::io_context &context,
                                                          const std::shared_ptr<const Configuration> &configuration,
                                                          const ObserverPointer &observer)
{
    const DatabaseSpec &database = *configuration->database(key.database);
    const UpstreamSpec &upstream = *database.upstream(key.upstream);
    return std::make_shared<UpstreamHome>(context, configuration, database, upstream, m_settings.home, homeHooks(key, observer));
}

UpstreamHomeHooks HomeService::Impl::homeHooks(const HomeKey &key, const ObserverPointer &observer) const
{
    UpstreamHomeHooks hooks;
    hooks.awaitCommit = [observer](Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler) {
        observer->awaitCommit(sentUnder, after, deadline, std::move(handler));
    };
    hooks.answered = [observer](const StatementProof &proof) { observer->onStatementAnswer(proof); };
    hooks.requestRounds = [observer](TimePoint until) { observer->requestRounds(until); };
    hooks.sendHandBack = [key, sendHandBack = m_hooks.sendHandBack](const HandBack &handBack) {
        if (sendHandBack) {
            sendHandBack(key.database, key.upstream, handBack);
        }
    };
    return hooks;
}

// A draining home stays in m_homes for the statements of its open transactions; it is
// removed when the drain ends.
void HomeService::Impl::startDrain(const HomeKey &key, const HomeEntry &entry, std::function<void()> drained)
{
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_homes.find(key);
        if (found == m_homes.end()) {
            drained();
            return;
        }
        found->second.draining = true;
    }
    log::info("home_left", {{"database", key.database}, {"upstream", key.upstream}});
    onHome(entry, [weak = weak_from_this(), key, home = entry.home, drained = std::move(drained)](UpstreamHome &draining) {
        draining.drain([weak, key, home, drained] {
            if (const auto self = weak.lock()) {
                self->removeDrained(key, home);
            }
            drained();
        });
    });
}

void HomeService::Impl::removeDrained(const HomeKey &key, const std::shared_ptr<UpstreamHome> &home)
{
    const std::scoped_lock lock(m_updateMutex, m_mutex);
    const auto found = m_homes.find(key);
    if (found == m_homes.end() || found->second.home != home || !found->second.draining) {
        return;
    }
    m_homes.erase(found);
    const bool othersLeft =
        std::ranges::any_of(m_homes, [&key](const auto &entry) { return entry.first.database == key.database; });
    const auto observer = m_observers.find(key.database);
    if (!othersLeft && observer != m_observers.end()) {
        asio::post(m_control, [last = observer->second] { last->stop(); });
        m_observers.erase(observer);
    }
}

// ---- Requests

void HomeService::Impl::execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler)
{
    const auto entry = homeOf(HomeKey{request.database, request.upstream});
    if (!entry) {
        StatementReply reply;
        reply.id = request.id;
        reply.error = movedError(request.upstream);
        reply.hint.database = request.database;
        handler(std::move(reply));
        return;
    }
    asio::dispatch(*entry->context,
                   [home = entry->home, request = std::move(request), frontKey, handler = std::move(handler)]() mutable {
                       home->execute(std::move(request), frontKey, std::move(handler));
                   });
}

void HomeService::Impl::cancel(const std::string &frontKey, std::uint64_t id)
{
    for (const auto &[key, entry] : allHomes()) {
        onHome(entry, [frontKey, id](UpstreamHome &home) { home.cancel(frontKey, id); });
    }
}

void HomeService::Impl::abandonFront(const std::string &frontKey)
{
    for (const auto &[key, entry] : allHomes()) {
        onHome(entry, [frontKey](UpstreamHome &home) { home.abandonFront(frontKey); });
    }
}

// ---- Groups

void HomeService::Impl::giveOpinion(const OpinionQuestion &question, std::function<void(std::optional<bool>)> handler)
{
    asio::post(m_control, [self = shared_from_this(), question, handler = std::move(handler)] {
        const ObserverPointer observer = self->observerOf(question.database);
        handler(observer ? std::optional(observer->agrees(question)) : std::nullopt);
    });
}

void HomeService::Impl::onAnnounce(const std::string &database, Term term, const std::string &primary)
{
    asio::post(m_control, [self = shared_from_this(), database, term, primary] {
        if (const ObserverPointer observer = self->observerOf(database)) {
            observer->onAnnounce(term, primary);
        }
    });
}

void HomeService::Impl::switchover(const std::string &database, const std::string &to, GroupObserver::DoneHandler handler)
{
    asio::post(m_control, [self = shared_from_this(), database, to, handler = std::move(handler)] {
        if (const ObserverPointer observer = self->observerOf(database)) {
            observer->switchover(to, handler);
        } else {
            handler(tl::unexpected(movedError(to)));
        }
    });
}

void HomeService::Impl::onHomeConfirmed(const HomeKey &key, TimePoint askedAt)
{
    if (const auto entry = homeOf(key)) {
        onHome(*entry, [askedAt](UpstreamHome &home) { home.onHomeConfirmed(askedAt); });
    }
}

void HomeService::Impl::onHandedBack(const HomeKey &key, const HandBack &handBack)
{
    if (const auto entry = homeOf(key)) {
        onHome(*entry, [handBack](UpstreamHome &home) { home.onHandedBack(handBack); });
    }
}

void HomeService::Impl::forwardSnapshot(const std::string &database, const std::shared_ptr<const GroupSnapshot> &snapshot) const
{
    for (const auto &[key, entry] : allHomes()) {
        if (key.database == database) {
            onHome(entry, [snapshot](UpstreamHome &home) { home.onSnapshot(snapshot); });
        }
    }
}

std::shared_ptr<const GroupSnapshot> HomeService::Impl::snapshot(const std::string &database) const
{
    const ObserverPointer observer = observerOf(database);
    return observer ? observer->snapshot() : nullptr;
}

std::optional<HomeEntry> HomeService::Impl::homeOf(const HomeKey &key) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_homes.find(key);
    return found == m_homes.end() ? std::nullopt : std::optional(found->second);
}

std::map<HomeKey, HomeEntry> HomeService::Impl::allHomes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_homes;
}

HomeService::Impl::ObserverPointer HomeService::Impl::observerOf(const std::string &database) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_observers.find(database);
    return found == m_observers.end() ? nullptr : found->second;
}

// ---- Statistics, drain and stop

void HomeService::Impl::stats(std::function<void(std::vector<UpstreamHomeStats>)> handler) const
{
    struct Collected {
        std::mutex mutex;
        std::vector<UpstreamHomeStats> all;
    };
    const auto homes = allHomes();
    const auto collected = std::make_shared<Collected>();
    const auto countdown =
        std::make_shared<Countdown>(homes.size() + 1, [collected, &control = m_control, handler = std::move(handler)] {
            asio::post(control, [collected, handler] { handler(std::move(collected->all)); });
        });
    for (const auto &[key, entry] : homes) {
        onHome(entry, [collected, countdown](const UpstreamHome &home) {
            {
                const std::scoped_lock lock(collected->mutex);
                collected->all.push_back(home.stats());
            }
            countdown->down();
        });
    }
    countdown->down();
}

void HomeService::Impl::drain(std::function<void()> drained)
{
    const auto homes = allHomes();
    const auto countdown = std::make_shared<Countdown>(
        homes.size() + 1, [&control = m_control, drained = std::move(drained)] { asio::post(control, drained); });
    for (const auto &[key, entry] : homes) {
        startDrain(key, entry, [countdown] { countdown->down(); });
    }
    countdown->down();
}

void HomeService::Impl::stop()
{
    std::map<HomeKey, HomeEntry> homes;
    std::map<std::string, ObserverPointer> observers;
    {
        const std::scoped_lock lock(m_updateMutex, m_mutex);
        m_stopped = true;
        homes.swap(m_homes);
        observers.swap(m_observers);
    }
    for (const auto &[key, entry] : homes) {
        onHome(entry, [](UpstreamHome &home) { home.close(); });
    }
    for (const auto &[database, observer] : observers) {
        asio::post(m_control, [last = observer] { last->stop(); });
    }
}

// ---- Public interface

HomeService::HomeService(asio::io_context &control, std::vector<asio::io_context *> traffic, HomeServiceSettings settings,
                         HomeServiceHooks hooks)
    : m_impl(std::make_shared<Impl>(control, std::move(traffic), std::move(settings), std::move(hooks)))
{
}

HomeService::~HomeService()
{
    m_impl->stop();
}

void HomeService::update(const std::shared_ptr<const Configuration> &configuration, const HomePredicate &isHome)
{
    m_impl->update(configuration, isHome);
}

void HomeService::execute(StatementRequest request, const std::string &frontKey, ReplyHandler handler)
{
    m_impl->execute(std::move(request), frontKey, std::move(handler));
}

void HomeService::cancel(const std::string &frontKey, std::uint64_t id)
{
    m_impl->cancel(frontKey, id);
}

void HomeService::abandonFront(const std::string &frontKey)
{
    m_impl->abandonFront(frontKey);
}

void HomeService::giveOpinion(const OpinionQuestion &question, std::function<void(std::optional<bool>)> handler)
{
    m_impl->giveOpinion(question, std::move(handler));
}

void HomeService::onAnnounce(const std::string &database, Term term, const std::string &primary)
{
    m_impl->onAnnounce(database, term, primary);
}

void HomeService::switchover(const std::string &database, const std::string &to,
                             std::function<void(tl::expected<void, Error>)> handler)
{
    m_impl->switchover(database, to, std::move(handler));
}

void HomeService::onHomeConfirmed(const std::string &database, const std::string &upstream, TimePoint askedAt)
{
    m_impl->onHomeConfirmed(HomeKey{database, upstream}, askedAt);
}

void HomeService::onHandedBack(const std::string &database, const std::string &upstream, const HandBack &handBack)
{
    m_impl->onHandedBack(HomeKey{database, upstream}, handBack);
}

std::shared_ptr<const GroupSnapshot> HomeService::snapshot(const std::string &database) const
{
    return m_impl->snapshot(database);
}

void HomeService::stats(std::function<void(std::vector<UpstreamHomeStats>)> handler) const
{
    m_impl->stats(std::move(handler));
}

void HomeService::drain(std::function<void()> drained)
{
    m_impl->drain(std::move(drained));
}

void HomeService::stop()
{
    m_impl->stop();
}

} // namespace egrettide
