// A fleet of hosts that count one hot workspace, in simulated time. The fleet is partitioned, hosts
// are killed and restarted, and each host receives the resulting view with a random delay. Every
// request is granted by the keeper in its host's view, if that host is reachable.

#pragma once

#include "egrettide/core/membership.h"
#include "egrettide/core/quotagrace.h"
#include "egrettide/core/quotakeeper.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace egrettide::test
{

struct QuotaFleetOptions {
    int hosts = 12;
    RequestQuota quota{20, 20};
    // Requests per second, as a multiple of the quota.
    double load = 8;
    QuotaBounds bounds{milliseconds{5000}, 0.1, 20};
    QuotaKeeperFaults faults;
    // Duration of low demand before `load` starts.
    std::chrono::seconds calmFor{0};
    // Whether hosts grant requests while a keeper is silent; see QuotaGrace.
    bool usesGrace = true;
    // Maximum delay until a host's view reflects a change.
    milliseconds maxViewDelay{1500};
    // Time between two faults; 0 for none.
    milliseconds eventSpacing{3000};
    std::chrono::seconds length{30};
};

class QuotaFleet
{
public:
    QuotaFleet(const QuotaFleetOptions &options, std::uint64_t seed) : m_options(options), m_random(seed)
    {
        TenantSpec hot;
        hot.name = "hot";
        hot.quota = options.quota;
        m_configuration.tenants = {hot};
        for (int i = 0; i < options.hosts; ++i) {
            m_hosts.emplace_back();
            restart(m_hosts.back());
        }
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            updateView(i);
        }
    }

    // Runs the fleet and returns the times of all granted requests.
    const std::vector<TimePoint> &run()
    {
        // Demand of a calm workspace, as a multiple of the quota.
        constexpr double calmLoad = 0.6;
        const TimePoint begun = m_now;
        const TimePoint end = m_now + m_options.length;
        TimePoint nextEvent = m_now + m_options.eventSpacing;
        double owed = 0;
        constexpr milliseconds step{5};
        while (m_now < end) {
            m_now += step;
            if (m_options.eventSpacing.count() > 0 && m_now >= nextEvent) {
                injectFault();
                nextEvent += m_options.eventSpacing;
            }
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                while (!m_hosts[i].viewUpdatesAt.empty() && *m_hosts[i].viewUpdatesAt.begin() <= m_now) {
                    m_hosts[i].viewUpdatesAt.erase(m_hosts[i].viewUpdatesAt.begin());
                    updateView(i);
                }
            }
            const double load = m_now < begun + m_options.calmFor ? calmLoad : m_options.load;
            owed += load * m_options.quota.perSecond * std::chrono::duration<double>(step).count();
            for (; owed >= 1; --owed) {
                request();
            }
        }
        return m_granted;
    }

    // Maximum number of grants within one window.
    std::size_t maxGrantedInWindow() const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t i = 0; i < m_granted.size(); ++i) {
            while (m_granted[i] - m_granted[first] > m_options.bounds.window) {
                ++first;
            }
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    double bound() const
    {
        const double window = std::chrono::duration<double>(m_options.bounds.window).count();
        return (m_options.quota.perSecond * window + m_options.quota.burst) * (1 + m_options.bounds.overage)
            + m_options.bounds.slack;
    }

private:
    struct Host {
        std::unique_ptr<QuotaKeeper> keeper;
        std::unique_ptr<QuotaGrace> grace;
        int partition = 0;
        TimePoint deadUntil = TimePoint::min();
        // When the host's view is updated.
        std::set<TimePoint> viewUpdatesAt;
        QuotaKeepers keepers;
    };

    static std::string nameOf(std::size_t index)
    {
        return "h" + std::to_string(index);
    }

    void restart(Host &host)
    {
        QuotaKeeperOptions options;
        options.bounds = m_options.bounds;
        options.faults = m_options.faults;
        host.keeper = std::make_unique<QuotaKeeper>(options);
        host.keeper->configure(m_configuration);
        host.grace = std::make_unique<QuotaGrace>(m_options.bounds.window);
    }

    bool isDead(const Host &host) const
    {
        return m_now < host.deadUntil;
    }

    bool reaches(const Host &from, const Host &to) const
    {
        return !isDead(to) && from.partition == to.partition;
    }

    void updateView(std::size_t index)
    {
        Host &host = m_hosts[index];
        if (isDead(host)) {
            return;
        }
        MembershipView view;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            HostRecord record;
            record.name = nameOf(i);
            record.health = i == index || reaches(host, m_hosts[i]) ? HostHealth::Live : HostHealth::Dead;
            view.hosts.push_back(record);
        }
        host.keepers = quotaKeepersIn(view);
        std::bitset<quotaSlots> kept;
        for (std::size_t slot = 0; slot < quotaSlots; ++slot) {
            kept.set(slot, host.keepers[slot] == nameOf(index));
        }
        host.keeper->setKeptSlots(kept, visibleFraction(view), m_now);
    }

    // Injects one of: a cut into two partitions, cuts of single hosts, the end of all cuts, kills.
    void injectFault()
    {
        const int kind = static_cast<int>(m_random() % 4);
        const double share = std::uniform_real_distribution<double>(0.1, 0.6)(m_random);
        int lastPartition = 1;
        for (Host &host : m_hosts) {
            const bool hit = std::uniform_real_distribution<double>(0, 1)(m_random) < share;
            if (kind == 0) {
                host.partition = hit ? 1 : 0;
            } else if (kind == 1) {
                host.partition = hit ? ++lastPartition : 0;
            } else if (kind == 2) {
                host.partition = 0;
            } else if (hit) {
                host.deadUntil = m_now + milliseconds(500 + m_random() % 1500);
                restart(host);
                scheduleViewUpdates(host.deadUntil);
            }
        }
        scheduleViewUpdates(m_now);
    }

    // Schedules an update of each host's view, with a random delay after the event.
    void scheduleViewUpdates(TimePoint happens)
    {
        for (Host &host : m_hosts) {
            host.viewUpdatesAt.insert(happens
                                      + milliseconds(m_random() % static_cast<std::uint64_t>(m_options.maxViewDelay.count())));
        }
    }

    void request()
    {
        Host &host = m_hosts[m_random() % m_hosts.size()];
        if (isDead(host)) {
            return;
        }
        const std::string &keeper = host.keepers[quotaSlotOf("hot")];
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (nameOf(i) != keeper || !reaches(host, m_hosts[i])) {
                continue;
            }
            const QuotaVerdict verdict = m_hosts[i].keeper->ask("hot", m_now);
            host.grace->onVerdict("hot", verdict, m_now);
            if (verdict.kind == QuotaVerdict::Kind::Granted) {
                m_granted.push_back(m_now);
            }
            return;
        }
        host.grace->onKeeperTimeout("hot", m_now);
        if (m_options.usesGrace && host.grace->tryStart("hot")) {
            m_granted.push_back(m_now);
        }
    }

    const QuotaFleetOptions m_options;
    Configuration m_configuration;
    std::mt19937_64 m_random;
    std::deque<Host> m_hosts;
    TimePoint m_now = TimePoint(std::chrono::hours(1));
    std::vector<TimePoint> m_granted;
};

} // namespace egrettide::test
