// Hosts that share one store over a network that loses and reorders messages, simulated in one
// thread without sockets.

#pragma once

#include "egrettide/core/storeepoch.h"
#include "runtime/configuration/discoveredconfiguration.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egrettide::test
{

// A store of two collections with watches, which can be unavailable, lose answers, discard its
// history, and be restored from a copy.
class SharedStore
{
public:
    explicit SharedStore(boost::asio::io_context &context) : m_context(context)
    {
    }

    void put(const std::string &kind, const std::string &name, nlohmann::json value)
    {
        change(kind, CollectionChange{{name, std::move(value), m_content.revision + 1}, false});
    }

    void remove(const std::string &kind, const std::string &name)
    {
        change(kind, CollectionChange{{name, {}, m_content.revision + 1}, true});
    }

    CollectionSource sourceFor(const std::string &host, const std::string &kind)
    {
        CollectionSource source;
        source.list = [this, host, kind](TimePoint deadline, const auto &handler) {
            ++m_calls[host];
            ++m_lists[kind];
            if (m_silent.contains(host)) {
                m_unanswered.push_back({deadline, [handler] { handler(tl::unexpected(CollectionFailure::Unavailable)); }});
                return;
            }
            boost::asio::post(m_context, [this, host, kind, handler] { list(host, kind, handler); });
        };
        source.changes = [this, host, kind](std::uint64_t since, TimePoint deadline, const auto &handler) {
            ++m_calls[host];
            m_waiting.push_back(Watch{host, kind, since, deadline, handler});
            boost::asio::post(m_context, [this] { answerDue(); });
        };
        return source;
    }

    // Answers all waiting calls that are due; called often.
    void answerDue()
    {
        failUnansweredCalls();
        std::vector<Watch> waiting = std::exchange(m_waiting, {});
        for (Watch &watch : waiting) {
            const bool isSilent = m_silent.contains(watch.host);
            if (isSilent && Clock::now() < watch.deadline) {
                m_waiting.push_back(std::move(watch));
            } else if (isSilent || isAwayFor(watch.host)) {
                watch.handler(tl::unexpected(CollectionFailure::Unavailable));
            } else if (!answer(watch)) {
                m_waiting.push_back(std::move(watch));
            }
        }
    }

    void setDown(bool down)
    {
        m_down = down;
    }

    void cutOff(const std::string &host, bool cut)
    {
        cut ? (void)m_cut.insert(host) : (void)m_cut.erase(host);
    }

    // Leaves all calls of this host without an answer, so that they fail at their deadlines.
    void silence(const std::string &host, bool silent)
    {
        silent ? (void)m_silent.insert(host) : (void)m_silent.erase(host);
    }

    // Discards the waiting calls of this host, so that they are never answered.
    void loseAnswersOf(const std::string &host)
    {
        std::erase_if(m_waiting, [&host](const Watch &watch) { return watch.host == host; });
    }

    void forgetHistory()
    {
        m_content.history.clear();
        m_content.forgotten = m_content.revision;
    }

    void takeCopy()
    {
        m_copy = m_content;
    }

    void restoreCopy()
    {
        m_content = m_copy;
        ++m_epoch;
        boost::asio::post(m_context, [this] { answerDue(); });
    }

    bool holds(const std::string &kind, const std::string &name) const
    {
        const auto objects = m_content.objects.find(kind);
        return objects != m_content.objects.end() && objects->second.contains(name);
    }

    std::map<std::string, int> calls() const
    {
        return m_calls;
    }

    // How often a collection was listed, by all hosts together.
    int listsOf(const std::string &kind) const
    {
        const auto found = m_lists.find(kind);
        return found == m_lists.end() ? 0 : found->second;
    }

    // A list is answered in parts of so many objects.
    std::size_t pageSize = 500;

private:
    using ChangesHandler = std::function<void(tl::expected<CollectionChanges, CollectionFailure>)>;
    using ListHandler = std::function<void(tl::expected<CollectionPage, CollectionFailure>)>;

    struct Watch {
        std::string host;
        std::string kind;
        std::uint64_t since = 0;
        TimePoint deadline;
        ChangesHandler handler;
    };

    struct UnansweredCall {
        TimePoint deadline;
        std::function<void()> fail;
    };

    void failUnansweredCalls()
    {
        std::vector<UnansweredCall> calls = std::exchange(m_unanswered, {});
        for (UnansweredCall &call : calls) {
            if (Clock::now() < call.deadline) {
                m_unanswered.push_back(std::move(call));
            } else {
                call.fail();
            }
        }
    }

    bool isAwayFor(const std::string &host) const
    {
        return m_down || m_cut.contains(host);
    }

    void change(const std::string &kind, CollectionChange change)
    {
        ++m_content.revision;
        if (change.removed) {
            m_content.objects[kind].erase(change.object.name);
        } else {
            m_content.objects[kind].insert_or_assign(change.object.name, change.object);
        }
        m_content.history.emplace_back(kind, std::move(change));
        boost::asio::post(m_context, [this] { answerDue(); });
    }

    void list(const std::string &host, const std::string &kind, const ListHandler &handler)
    {
        if (isAwayFor(host)) {
            handler(tl::unexpected(CollectionFailure::Unavailable));
            return;
        }
        CollectionPage page;
        page.revision = ordered(m_content.revision);
        for (const auto &[name, object] : m_content.objects[kind]) {
            page.objects.push_back(object);
            page.objects.back().revision = ordered(object.revision);
        }
        answerInParts(host, std::move(page), handler);
    }

    void answerInParts(const std::string &host, CollectionPage page, const ListHandler &handler)
    {
        if (page.objects.size() > pageSize) {
            CollectionPage rest;
            rest.revision = page.revision;
            rest.objects.assign(page.objects.begin() + static_cast<std::ptrdiff_t>(pageSize), page.objects.end());
            page.objects.erase(page.objects.begin() + static_cast<std::ptrdiff_t>(pageSize), page.objects.end());
            page.more = [this, host, rest = std::move(rest)](TimePoint, const ListHandler &next) {
                ++m_calls[host];
                boost::asio::post(m_context, [this, host, rest, next] { answerInParts(host, rest, next); });
            };
        }
        handler(std::move(page));
    }

    bool answer(const Watch &watch)
    {
        const StoreRevision since = StoreRevision::fromOrdered(watch.since);
        if (since.epoch != m_epoch || since.revision < m_content.forgotten) {
            watch.handler(tl::unexpected(CollectionFailure::HistoryGone));
            return true;
        }
        CollectionChanges changes;
        changes.revision = ordered(m_content.revision);
        for (const auto &[kind, change] : m_content.history) {
            if (kind == watch.kind && change.object.revision > since.revision) {
                changes.changes.push_back(change);
                changes.changes.back().object.revision = ordered(change.object.revision);
            }
        }
        if (changes.changes.empty() && Clock::now() < watch.deadline) {
            return false;
        }
        watch.handler(std::move(changes));
        return true;
    }

    // The revisions are relative to one epoch.
    struct Content {
        std::map<std::string, std::map<std::string, CollectedObject>> objects;
        std::vector<std::pair<std::string, CollectionChange>> history;
        std::uint64_t revision = 1;
        std::uint64_t forgotten = 0;
    };

    std::uint64_t ordered(std::uint64_t revision) const
    {
        return StoreRevision{m_epoch, revision}.ordered();
    }

    boost::asio::io_context &m_context;
    Content m_content;
    Content m_copy;
    std::uint64_t m_epoch = 0;
    std::vector<Watch> m_waiting;
    std::map<std::string, int> m_calls;
    std::map<std::string, int> m_lists;
    std::set<std::string> m_cut;
    std::set<std::string> m_silent;
    std::vector<UnansweredCall> m_unanswered;
    bool m_down = false;
};

// A zone of hosts with one store. run() simulates heartbeats: at intervals each host sends the
// version that it announces to another host at random.
class StoreFleet
{
public:
    StoreFleet(std::size_t hosts, std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t i = 0; i < hosts; ++i) {
            start("host-" + std::to_string(i));
        }
    }

    ~StoreFleet()
    {
        for (auto &[name, host] : m_hosts) {
            host->source->stop();
        }
        context.restart();
        context.poll();
    }

    StoreFleet(const StoreFleet &) = delete;
    StoreFleet &operator=(const StoreFleet &) = delete;

    void configure(std::uint64_t version, int routes = 1)
    {
        nlohmann::json document{{"version", version}};
        for (int i = 0; i < routes; ++i) {
            document["routes"].push_back({{"name", "route-" + std::to_string(i)}, {"timeout", version % 1000 + 1}});
        }
        store.put("intent", "main", document);
        newest = version;
    }

    // A host that starts is given the list of all hosts of the zone. Its source is told so, as the
    // daemon does when the store has answered.
    void listAt(const std::string &name)
    {
        std::vector<std::string> names;
        for (const auto &[host, entry] : m_hosts) {
            names.push_back(host);
        }
        m_hosts.at(name)->source->onZoneListed(names, true);
    }

    void restart(const std::string &name)
    {
        m_hosts.at(name)->source->stop();
        m_retired.push_back(std::move(m_hosts.at(name)));
        start(name);
    }

    // A frozen host neither sends nor receives.
    void freeze(const std::string &name, bool frozen)
    {
        m_hosts.at(name)->frozen = frozen;
    }

    void run(milliseconds duration)
    {
        for (const TimePoint end = Clock::now() + duration; Clock::now() < end;) {
            step();
        }
    }

    // The default bound only decides how long a broken test takes to fail.
    bool runUntil(const std::function<bool()> &condition, milliseconds bound = milliseconds{30000})
    {
        for (const TimePoint end = Clock::now() + bound; Clock::now() < end;) {
            if (condition()) {
                return true;
            }
            step();
        }
        return condition();
    }

    std::uint64_t versionAt(const std::string &name) const
    {
        const auto current = m_hosts.at(name)->source->current();
        return current ? current->version : 0;
    }

    bool allHave(std::uint64_t version) const
    {
        for (const auto &[name, host] : m_hosts) {
            if (!host->frozen && versionAt(name) != version) {
                return false;
            }
        }
        return true;
    }

    // Whether each host has exactly that many upstreams.
    bool allKnowUpstreams(std::size_t count) const
    {
        return std::ranges::all_of(m_hosts, [count](const auto &entry) {
            const auto current = entry.second->source->current();
            return current && current->databases.front().upstreams.size() == count;
        });
    }

    // The number of hosts that have the upstream of that name as leaving.
    std::size_t knowAsLeaving(const std::string &upstream) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(m_hosts, [&upstream](const auto &entry) {
            const auto current = entry.second->source->current();
            return current && std::ranges::any_of(current->databases.front().upstreams, [&upstream](const UpstreamSpec &spec) {
                       return spec.name == upstream && spec.leaving;
                   });
        }));
    }

    // The work of all hosts together.
    DiscoveryWork work() const
    {
        DiscoveryWork sum;
        for (const auto &[name, host] : m_hosts) {
            const DiscoveryWork &work = host->source->work();
            sum.parsedRegistrations += work.parsedRegistrations;
            sum.translatedIntents += work.translatedIntents;
            sum.sentEntries += work.sentEntries;
        }
        return sum;
    }

    boost::asio::io_context context{1};
    SharedStore store{context};
    std::uint64_t newest = 0;
    // False while hosts have not found the others of their zone, as just after a start.
    bool zonesAreKnown = true;
    // The percentages of messages that are lost and that are delayed.
    int lossPercent = 0;
    int delayPercent = 0;
    // How often a host returned to an older version within one process.
    int regressions = 0;
    // The shortest time after a restore until a host removed an upstream, or no longer had it as
    // leaving.
    milliseconds earliestLoss = milliseconds::max();
    std::size_t bytesSent = 0;
    // Called for each message that is sent; tests use it to damage messages.
    std::function<void(hop::HopMessage &)> onSend = [](hop::HopMessage &) {};

private:
    struct Host {
        std::unique_ptr<DiscoveredConfiguration> source;
        std::uint64_t highest = 0;
        bool frozen = false;
        // The epoch of the host's copy, and since when the host has it.
        std::uint64_t epoch = 0;
        TimePoint epochSince;
        std::size_t upstreams = 0;
        std::size_t leaving = 0;
    };

    void noteLosses(Host &host, const Configuration &configuration)
    {
        const TimePoint now = Clock::now();
        if (host.source->storeEpoch() > host.epoch) {
            host.epoch = host.source->storeEpoch();
            host.epochSince = now;
        }
        const auto &upstreams = configuration.databases.front().upstreams;
        const auto leaving = static_cast<std::size_t>(std::ranges::count(upstreams, true, &UpstreamSpec::leaving));
        if (host.epoch > 0 && (upstreams.size() < host.upstreams || leaving < host.leaving)) {
            earliestLoss = std::min(earliestLoss, std::chrono::duration_cast<milliseconds>(now - host.epochSince));
        }
        host.upstreams = upstreams.size();
        host.leaving = leaving;
    }

    struct DelayedMessage {
        TimePoint at;
        std::string from;
        std::string to;
        hop::HopMessage message;
    };

    static tl::expected<RegisteredUpstream, Error> parseRegistration(const std::string &name, const nlohmann::json &value)
    {
        if (!value.is_object()) {
            return tl::unexpected(Error{ErrorKind::InvalidInput, "The registration is no object.", milliseconds{0}});
        }
        RegisteredUpstream registered;
        registered.upstream.name = name;
        registered.upstream.address = name;
        registered.upstream.leaving = value.value("leaving", false);
        registered.upstream.heartbeats = value.value("heartbeats", std::uint64_t{0});
        return registered;
    }

    static tl::expected<TranslatedIntent, Error> translate(const NamedObjects &intent)
    {
        const auto found = intent.find("main");
        if (found == intent.end()) {
            return tl::unexpected(Error{ErrorKind::NoConfiguration, "There is no intent.", milliseconds{0}});
        }
        TranslatedIntent translated;
        translated.configuration.version = found->second["version"].get<std::uint64_t>();
        translated.configuration.databases.emplace_back();
        translated.connections.push_back(1);
        return translated;
    }

    void start(const std::string &name)
    {
        auto host = std::make_unique<Host>();
        Host *const raw = host.get();
        ConfigurationKeeperHooks hooks;
        hooks.accepted = [this, raw](const std::shared_ptr<const Configuration> &configuration) {
            regressions += configuration->version < raw->highest ? 1 : 0;
            raw->highest = std::max(raw->highest, configuration->version);
            noteLosses(*raw, *configuration);
        };
        hooks.send = [this, name](const std::string &to, hop::HopMessage message) { send(name, to, std::move(message)); };
        hooks.someHosts = [this, name](std::size_t count) { return randomOthers(name, count); };
        hooks.isStoreReader = [] { return false; };
        hooks.zone = [this, name] { return zoneOf(name); };
        DiscoveryParts parts{store.sourceFor(name, "intent"), store.sourceFor(name, "registrations"), parseRegistration,
                             translate};
        host->source = std::make_unique<DiscoveredConfiguration>(context, name, std::move(parts), std::move(hooks));
        m_hosts[name] = std::move(host);
        raw->source->start();
    }

    ZoneHosts zoneOf(const std::string &self) const
    {
        ZoneHosts zone;
        zone.known = zonesAreKnown;
        for (const auto &[name, host] : m_hosts) {
            if (!host->frozen) {
                zone.candidates.push_back(name);
            }
            if (name != self) {
                zone.mates.push_back(name);
            }
        }
        return zone;
    }

    std::vector<std::string> randomOthers(const std::string &self, std::size_t count)
    {
        std::vector<std::string> names = zoneOf(self).mates;
        std::shuffle(names.begin(), names.end(), m_random);
        names.resize(std::min(names.size(), count));
        return names;
    }

    bool chance(int percent)
    {
        return std::uniform_int_distribution<int>(1, 100)(m_random) <= percent;
    }

    void send(const std::string &from, const std::string &to, hop::HopMessage message)
    {
        if (m_hosts.count(from) != 0 && m_hosts.at(from)->frozen) {
            return;
        }
        bytesSent += hop::encodeFrame(message, Clock::now()).size();
        if (chance(lossPercent)) {
            return;
        }
        onSend(message);
        const milliseconds held{chance(delayPercent) ? std::uniform_int_distribution<int>(1, 800)(m_random) : 0};
        m_delayed.push_back({Clock::now() + held, from, to, std::move(message)});
    }

    void deliver(const DelayedMessage &held)
    {
        Host &to = *m_hosts.at(held.to);
        if (to.frozen) {
            return;
        }
        if (const auto *offer = std::get_if<hop::CatalogOffer>(&held.message)) {
            to.source->onCatalogOffer(held.from, *offer);
        } else if (const auto *pull = std::get_if<hop::CatalogPull>(&held.message)) {
            to.source->onCatalogPull(held.from, *pull);
        } else if (const auto *push = std::get_if<hop::CatalogPush>(&held.message)) {
            to.source->onCatalogPush(held.from, *push);
        }
    }

    void step()
    {
        context.restart();
        context.run_for(std::chrono::milliseconds(2));
        store.answerDue();
        const TimePoint now = Clock::now();
        std::vector<DelayedMessage> held = std::exchange(m_delayed, {});
        for (DelayedMessage &message : held) {
            if (message.at <= now) {
                deliver(message);
            } else {
                m_delayed.push_back(std::move(message));
            }
        }
        if (now >= m_nextHeartbeats) {
            m_nextHeartbeats = now + milliseconds{200};
            sendHeartbeats();
        }
    }

    void sendHeartbeats()
    {
        for (const auto &[name, host] : m_hosts) {
            const std::vector<std::string> others = randomOthers(name, 1);
            const bool lost = host->frozen || others.empty() || chance(lossPercent) || m_hosts.at(others.front())->frozen;
            if (!lost) {
                m_hosts.at(others.front())->source->noteKnownVersion(name, host->source->announced());
            }
        }
    }

    std::mt19937_64 m_random;
    std::map<std::string, std::unique_ptr<Host>> m_hosts;
    // Stopped hosts with calls to the store that may still be answered.
    std::vector<std::unique_ptr<Host>> m_retired;
    std::vector<DelayedMessage> m_delayed;
    TimePoint m_nextHeartbeats;
};

} // namespace egrettide::test
