// A fleet of memberships in one thread on a simulated clock: messages take a fixed time, may be
// lost, and do not cross a cut. Holds only what the tests and the scale measurement of membership
// need.

#pragma once

#include "egrettide/core/membership.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace egrettide::testing
{

class GossipFleet
{
public:
    explicit GossipFleet(std::uint64_t seed, MembershipOptions options = {}) : m_options(options), m_random(seed)
    {
    }

    // Called with every message that is sent.
    std::function<void(const std::string &from, const GossipSend &)> onSend;
    // Called with every message after its receiver has processed it.
    std::function<void(const std::string &to, const GossipMessage &)> onReceive;
    milliseconds latency{1};
    // How long the platform takes to return its list to a starting host.
    milliseconds listDelay{0};
    // Fraction of messages that are lost.
    double loss = 0;

    static std::string addressOf(int place)
    {
        return absl::StrCat("10.0.", place / 250, ".", place % 250 + 1, ":7400");
    }

    // Starts a host at the address of `place`; `seeds` is the platform's list as this host receives
    // it.
    void start(const std::string &name, const std::string &zone, int place, std::uint64_t incarnation,
               const std::vector<HostSeed> &seeds, bool isCurrent = true)
    {
        HostRecord self{name, zone, addressOf(place), addressOf(place) + "1", addressOf(place) + "2"};
        self.incarnation = incarnation;
        Host host;
        host.zone = zone;
        host.address = self.peerAddress;
        host.membership = std::make_unique<Membership>(self, m_options, m_random(), m_now);
        host.process = ++m_processes;
        m_hostByAddress[host.address] = name;
        m_hosts[name] = std::move(host);
        const auto readList = [this, name, seeds, isCurrent] { list(name, seeds, isCurrent); };
        if (listDelay == milliseconds{0}) {
            readList();
        } else {
            after(name, listDelay, readList);
        }
        schedule(name);
    }

    // A host receives the platform's list.
    void list(const std::string &name, const std::vector<HostSeed> &seeds, bool isCurrent = true)
    {
        apply(name, [&](Membership &membership, TimePoint now) { return membership.onHostList(seeds, isCurrent, now); });
    }

    // Starts hosts h0, h1, ... distributed over the zones; each is on the list of all.
    void startMany(int count, int zones)
    {
        std::vector<HostSeed> seeds;
        for (int i = 0; i < count; ++i) {
            seeds.push_back(HostSeed{nameOf(i), zoneOf(i, zones), addressOf(i)});
        }
        for (int i = 0; i < count; ++i) {
            start(nameOf(i), zoneOf(i, zones), i, 1000 + static_cast<std::uint64_t>(i), seeds);
        }
    }

    static std::string nameOf(int i)
    {
        return absl::StrCat("h", i);
    }

    static std::string zoneOf(int i, int zones)
    {
        return absl::StrCat("zone-", i % zones);
    }

    // Removes a host without notice; connections to its address are refused.
    void crash(const std::string &name)
    {
        const auto found = m_hosts.find(name);
        if (m_hostByAddress[found->second.address] == name) {
            m_hostByAddress.erase(found->second.address);
        }
        m_hosts.erase(found);
    }

    // Suspends a host's process; messages to it are buffered.
    void pause(const std::string &name)
    {
        m_hosts.at(name).paused = true;
    }

    void resume(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        host.paused = false;
        for (auto &message : std::exchange(host.waiting, {})) {
            send(name, host.membership->onMessage(message, m_now));
            received(name, message);
        }
        for (const auto &action : std::exchange(host.waitingActions, {})) {
            action();
        }
        send(name, host.membership->tick(m_now));
        schedule(name);
    }

    // Cuts off the zones from all others; an empty set heals the cut.
    void cut(std::set<std::string> zones)
    {
        m_cut = std::move(zones);
    }

    Membership &host(const std::string &name)
    {
        return *m_hosts.at(name).membership;
    }

    std::vector<std::string> names() const
    {
        std::vector<std::string> names;
        for (const auto &[name, host] : m_hosts) {
            names.push_back(name);
        }
        return names;
    }

    const std::string &zone(const std::string &name) const
    {
        return m_hosts.at(name).zone;
    }

    void apply(const std::string &name, const std::function<std::vector<GossipSend>(Membership &, TimePoint)> &event)
    {
        send(name, event(*m_hosts.at(name).membership, m_now));
        schedule(name);
    }

    // Runs an action at a host after a delay: after resume() if the host is paused then, and never
    // if its process has ended.
    void after(const std::string &name, Clock::duration delay, std::function<void()> action)
    {
        Event event{m_now + delay, ++m_order, nullptr, {}, name};
        event.action = std::move(action);
        event.process = m_hosts.at(name).process;
        m_events.push(std::move(event));
    }

    // Sends an action to another host as a message, which takes the latency plus `extra`, may be
    // lost and does not cross a cut.
    void transmit(const std::string &from, const std::string &to, Clock::duration extra, std::function<void()> action)
    {
        const bool lost = loss > 0 && std::bernoulli_distribution(loss)(m_random);
        if (!lost && isRunning(to) && !isSeparated(m_hosts.at(from).zone, m_hosts.at(to).zone)) {
            after(to, latency + extra, std::move(action));
        }
    }

    bool isRunning(const std::string &name) const
    {
        return m_hosts.contains(name);
    }

    TimePoint now() const
    {
        return m_now;
    }

    void runFor(Clock::duration duration)
    {
        runUntil(duration, [] { return false; });
    }

    // Runs until the condition holds; returns the elapsed time, or nullopt at the limit.
    std::optional<milliseconds> runUntil(Clock::duration limit, const std::function<bool()> &condition)
    {
        constexpr milliseconds checkEvery{20};
        const TimePoint begin = m_now;
        TimePoint nextCheck = begin;
        while (!m_events.empty() && m_events.top().at <= begin + limit) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = std::max(m_now, event.at);
            handle(event);
            if (m_now >= nextCheck) {
                if (condition()) {
                    return std::chrono::duration_cast<milliseconds>(m_now - begin);
                }
                nextCheck = m_now + checkEvery;
            }
        }
        m_now = begin + limit;
        return condition() ? std::optional(std::chrono::duration_cast<milliseconds>(limit)) : std::nullopt;
    }

    // True when every running host considers exactly these hosts live.
    bool agree(const std::set<std::string> &living) const
    {
        const auto sees = [&living](const auto &entry) { return entry.second.membership->liveCount() == living.size(); };
        return std::all_of(m_hosts.begin(), m_hosts.end(), sees)
            && std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) { return livingIn(entry.first) == living; });
    }

    bool agreeOnAll() const
    {
        const auto all = names();
        return agree(std::set<std::string>(all.begin(), all.end()));
    }

    std::set<std::string> livingIn(const std::string &name) const
    {
        std::set<std::string> living;
        for (const HostRecord &record : m_hosts.at(name).membership->view()->hosts) {
            if (record.health != HostHealth::Dead) {
                living.insert(record.name);
            }
        }
        return living;
    }

    // True when the condition holds for the named host's record in the views of all running hosts.
    bool allSee(const std::string &name, const std::function<bool(const HostRecord &)> &condition) const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
            const auto view = entry.second.membership->view();
            const HostRecord *record = view->host(name);
            return record != nullptr && condition(*record);
        });
    }

private:
    struct Host {
        std::string zone;
        std::string address;
        std::unique_ptr<Membership> membership;
        TimePoint tickAt = TimePoint::max();
        bool paused = false;
        std::vector<GossipMessage> waiting;
        std::vector<std::function<void()>> waitingActions;
        // Distinguishes processes of the same name.
        std::uint64_t process = 0;
    };

    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        // Null for a tick.
        std::shared_ptr<const GossipMessage> message;
        // Set when a connection was refused.
        std::string refusedPeer;
        std::string to;
        // Set for an action, which applies to one process only.
        std::function<void()> action{};
        std::uint64_t process = 0;

        bool operator<(const Event &other) const
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    void schedule(const std::string &name)
    {
        Host &host = m_hosts.at(name);
        const TimePoint next = std::max(m_now, host.membership->nextTick());
        if (next < host.tickAt || host.tickAt < m_now) {
            host.tickAt = next;
            m_events.push(Event{next, ++m_order, nullptr, {}, name});
        }
    }

    bool isSeparated(const std::string &one, const std::string &other) const
    {
        return one != other && (m_cut.contains(one) || m_cut.contains(other));
    }

    void send(const std::string &from, std::vector<GossipSend> sends)
    {
        const std::string zone = m_hosts.at(from).zone;
        for (GossipSend &send : sends) {
            if (onSend) {
                onSend(from, send);
            }
            const auto place = m_hostByAddress.find(send.address);
            const bool there = place != m_hostByAddress.end() && place->second == send.peer;
            if (!there) {
                m_events.push(Event{m_now + latency * 2, ++m_order, nullptr, send.peer, from});
                continue;
            }
            const bool lost = loss > 0 && std::bernoulli_distribution(loss)(m_random);
            if (lost || isSeparated(zone, m_hosts.at(send.peer).zone)) {
                continue;
            }
            auto message = std::make_shared<const GossipMessage>(std::move(send.message));
            m_events.push(Event{m_now + latency, ++m_order, std::move(message), {}, send.peer});
        }
    }

    void received(const std::string &to, const GossipMessage &message) const
    {
        if (onReceive) {
            onReceive(to, message);
        }
    }

    static void act(Host &host, const Event &event)
    {
        if (host.process != event.process) {
            return;
        }
        if (host.paused) {
            host.waitingActions.push_back(event.action);
        } else {
            event.action();
        }
    }

    void handle(const Event &event)
    {
        const auto found = m_hosts.find(event.to);
        if (found == m_hosts.end()) {
            return;
        }
        Host &host = found->second;
        if (event.action) {
            act(host, event);
            return;
        }
        if (host.paused) {
            if (event.message) {
                host.waiting.push_back(*event.message);
            }
            return;
        }
        if (event.message) {
            send(event.to, host.membership->onMessage(*event.message, m_now));
            received(event.to, *event.message);
        } else if (!event.refusedPeer.empty()) {
            send(event.to, host.membership->onLinkLost(event.refusedPeer, m_now));
        } else {
            host.tickAt = TimePoint::max();
            send(event.to, host.membership->tick(m_now));
        }
        schedule(event.to);
    }

    const MembershipOptions m_options;
    std::mt19937_64 m_random;
    TimePoint m_now{std::chrono::hours{100}};
    std::uint64_t m_order = 0;
    std::uint64_t m_processes = 0;
    std::map<std::string, Host> m_hosts;
    // Name of the host that answers at an address.
    std::map<std::string, std::string> m_hostByAddress;
    std::set<std::string> m_cut;
    std::priority_queue<Event> m_events;
};

} // namespace egrettide::testing
