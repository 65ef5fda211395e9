// Implements the events of a group and the commits that wait for proof.

#include "runtime/group/groupobserverimpl.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace egrettide
{

namespace asio = boost::asio;
using detail::membersOf;
using detail::namesOf;

namespace detail
{

std::vector<MemberSpec> membersOf(const DatabaseSpec &database)
{
    std::vector<MemberSpec> members;
    for (const UpstreamSpec &upstream : database.upstreams) {
        members.push_back(MemberSpec{upstream.name, upstream.zone, upstream.leaving});
    }
    return members;
}

std::vector<std::string> namesOf(const DatabaseSpec &database)
{
    std::vector<std::string> names;
    for (const UpstreamSpec &upstream : database.upstreams) {
        names.push_back(upstream.name);
    }
    return names;
}

} // namespace detail

namespace
{

// Returns the properties of a database's members that matter to an observer, for comparison.
std::vector<std::tuple<std::string, std::string, std::string, bool>> memberProperties(const DatabaseSpec &database)
{
    std::vector<std::tuple<std::string, std::string, std::string, bool>> members;
    for (const UpstreamSpec &upstream : database.upstreams) {
        members.emplace_back(upstream.name, upstream.zone, upstream.address, upstream.leaving);
    }
    return members;
}

} // namespace

GroupObserver::Impl::Impl(asio::io_context &control, const DatabaseSpec &database, const std::set<std::string> &homes,
                          const GroupObserverSettings &settings, GroupObserverHooks hooks)
    : m_context(control)
    , m_database(database)
    , m_homes(homes)
    , m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_control(control, settings.dialect->control, database, settings.upstreamUser)
    , m_calls(m_control.hooks())
    , m_monitor(database.name, membersOf(database), settings.monitor)
    , m_gate(namesOf(database), database.durability, settings.commitFaults)
    , m_switchover(settings.switchover)
    , m_promotionLog(database.name)
    , m_timer(control)
    , m_published(m_monitor.snapshot())
{
    m_monitor.setHomes(homes);
    makePromoter();
}

void GroupObserver::Impl::postStatementAnswer(const StatementProof &proof)
{
    asio::post(m_context, [self = shared_from_this(), proof] { self->onStatementAnswer(proof); });
}

void GroupObserver::Impl::start()
{
    m_running = true;
    tick();
}

void GroupObserver::Impl::stop()
{
    if (!m_running) {
        return;
    }
    perform(m_switchover.cancel(Clock::now()));
    m_running = false;
    m_timer.cancel();
    m_control.close();
    resolve(m_gate.abandonAll());
}

// Passes on only real changes: most new configurations leave the members as they are,
// and a change of members discards every proof and any running attempt.
void GroupObserver::Impl::update(const DatabaseSpec &database, const std::set<std::string> &homes)
{
    const bool sameMembers = memberProperties(database) == memberProperties(m_database);
    const bool promoterStays = homes.contains(m_promoterHome) || homes == m_homes;
    m_database = database;
    m_homes = homes;
    m_monitor.setHomes(homes);
    resolve(m_gate.configure(namesOf(database), database.durability));
    if (!sameMembers) {
        m_control.update(database);
        m_monitor.setMembers(membersOf(database));
    }
    m_promoter->setAcknowledgingReplicas(database.acknowledgingReplicas);
    if (!promoterStays) {
        makePromoter();
    } else if (!sameMembers) {
        perform(m_promoter->setMembers(membersOf(database), Clock::now()));
    }
    tick();
}

void GroupObserver::Impl::awaitCommit(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)
{
    asio::post(m_context, [self = shared_from_this(), sentUnder, after, deadline, handler = std::move(handler)]() mutable {
        self->hold(sentUnder, after, deadline, std::move(handler));
    });
}

void GroupObserver::Impl::requestRounds(TimePoint until)
{
    m_roundsRequestedAt.store(Clock::now());
    // Posts to the control thread only when `until` extends the current period or the
    // previous request has already been served.
    const bool isServed = m_requestServed.exchange(false);
    auto known = m_frequentRoundsUntil.load();
    while (known < until && !m_frequentRoundsUntil.compare_exchange_weak(known, until)) { }
    if (isServed || known < until) {
        asio::post(m_context, [self = shared_from_this()] { self->tick(); });
    }
}

std::shared_ptr<const GroupSnapshot> GroupObserver::Impl::snapshot() const
{
    const std::scoped_lock lock(m_publishedMutex);
    return m_published;
}

// A host that is asked and does not suspect the primary probes it at once. Otherwise the
// next idle probe could be up to half a second away, and the group might be without a
// primary for that time.
bool GroupObserver::Impl::agrees(const OpinionQuestion &question)
{
    const TimePoint now = Clock::now();
    const auto suspicion = m_monitor.suspicion(now);
    if (suspicion) {
        return suspicion->term == question.term && suspicion->primary == question.primary;
    }
    if (m_settings.monitor.probesOnlySilent) {
        m_monitor.onRequestFailed(now);
        asio::post(m_context, [self = shared_from_this()] { self->tick(); });
    }
    return false;
}

void GroupObserver::Impl::onAnnounce(Term term, const std::string &primary)
{
    adoptAnnounced(term, primary);
    m_roundNow = true;
    tick();
}

void GroupObserver::Impl::hold(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)
{
    if (!m_running) {
        handler(CommitOutcome::LostPrimary);
        return;
    }
    const CommitId id = ++m_lastCommit;
    m_commits.emplace(id, std::move(handler));
    resolve(m_gate.add(id, sentUnder, after, deadline, Clock::now()));
    if (m_gate.waiting() > 0) {
        tick();
    }
}

void GroupObserver::Impl::resolve(const std::vector<CommitResolution> &resolutions)
{
    for (const CommitResolution &resolution : resolutions) {
        auto node = m_commits.extract(resolution.id);
        if (!node.empty()) {
            node.mapped()(resolution.outcome);
        }
    }
}

// The public interface, which forwards to Impl.

GroupObserver::GroupObserver(asio::io_context &control, const DatabaseSpec &database, const std::set<std::string> &homes,
                             const GroupObserverSettings &settings, GroupObserverHooks hooks)
    : m_impl(std::make_shared<Impl>(control, database, homes, settings, std::move(hooks)))
{
}

GroupObserver::~GroupObserver() = default;

void GroupObserver::start()
{
    m_impl->start();
}

void GroupObserver::stop()
{
    m_impl->stop();
}

void GroupObserver::update(const DatabaseSpec &database, const std::set<std::string> &homes)
{
    m_impl->update(database, homes);
}

void GroupObserver::awaitCommit(Term sentUnder, const MemberStatus &after, TimePoint deadline, CommitHandler handler)
{
    m_impl->awaitCommit(sentUnder, after, deadline, std::move(handler));
}

void GroupObserver::requestRounds(TimePoint until)
{
    m_impl->requestRounds(until);
}

void GroupObserver::onStatementAnswer(const StatementProof &proof)
{
    m_impl->postStatementAnswer(proof);
}

std::shared_ptr<const GroupSnapshot> GroupObserver::snapshot() const
{
    return m_impl->snapshot();
}

bool GroupObserver::agrees(const OpinionQuestion &question)
{
    return m_impl->agrees(question);
}

void GroupObserver::onAnnounce(Term term, const std::string &primary)
{
    m_impl->onAnnounce(term, primary);
}

void GroupObserver::switchover(const std::string &to, DoneHandler handler)
{
    m_impl->switchover(to, std::move(handler));
}

} // namespace egrettide
