// Puts a configuration together from what lies in a store.

#include "runtime/configuration/discoveredconfiguration.h"

#include "runtime/host/log.h"

#include <algorithm>

namespace egrettide
{

namespace
{

// A registration lapses while its store is away although its upstream is well, and is
// back within two seconds of the store's return; half a second more for the way here.
constexpr milliseconds lapsePatience{2500};
// Between two requests to peers for what the store does not tell.
constexpr milliseconds pullSpacing{1000};

} // namespace

DiscoveredConfiguration::DiscoveredConfiguration(boost::asio::io_context &control, DiscoveryParts parts,
                                                 ConfigurationKeeperHooks hooks)
    : m_parts(std::move(parts))
    , m_hooks(std::move(hooks))
    , m_lapseTimer(control)
    , m_intentFollower(control, m_parts.intent,
                       CollectionFollowerHooks{[this](const NamedObjects &objects) { onIntent(objects); },
                                               [](bool reached) {
                                                   log::info("store_intent", {{"reached", reached}});
                                               }})
    , m_registrationFollower(control, m_parts.registrations,
                             CollectionFollowerHooks{[this](const NamedObjects &objects) { onRegistrations(objects); },
                                                     [](bool reached) {
                                                         log::info("store_registrations", {{"reached", reached}});
                                                     }})
{
}

void DiscoveredConfiguration::start()
{
    m_intentFollower.start();
    m_registrationFollower.start();
}

void DiscoveredConfiguration::stop()
{
    m_stopped = true;
    m_lapseTimer.cancel();
    m_intentFollower.stop();
    m_registrationFollower.stop();
}

std::shared_ptr<const Configuration> DiscoveredConfiguration::current() const
{
    return m_current;
}

void DiscoveredConfiguration::onIntent(const NamedObjects &intent)
{
    m_intent = intent;
    rebuild();
}

// What goes wrong without the delay: the store was away, some upstreams could not
// renew their registrations, and with its return they are gone for a moment. Their
// connections would be closed and their transactions lost for nothing.
void DiscoveredConfiguration::onRegistrations(const NamedObjects &registrations)
{
    const TimePoint lapsesAt = Clock::now() + lapsePatience;
    NamedObjects next = registrations;
    for (const auto &[name, value] : m_registrations.value_or(NamedObjects{})) {
        if (next.emplace(name, value).second) {
            m_lapsing.emplace(name, lapsesAt);
        }
    }
    std::erase_if(m_lapsing, [&registrations](const auto &entry) { return registrations.contains(entry.first); });
    m_registrations = std::move(next);
    armLapse();
    rebuild();
}

void DiscoveredConfiguration::armLapse()
{
    if (m_lapsing.empty()) {
        return;
    }
    const auto next = std::ranges::min_element(m_lapsing, {}, [](const auto &entry) { return entry.second; });
    m_lapseTimer.expires_at(next->second);
    m_lapseTimer.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !m_stopped) {
            forgetLapsed();
        }
    });
}

void DiscoveredConfiguration::forgetLapsed()
{
    const TimePoint now = Clock::now();
    std::erase_if(m_lapsing, [this, now](const auto &entry) {
        const bool lapsed = entry.second <= now;
        if (lapsed) {
            m_registrations->erase(entry.first);
            log::info("registration_lapsed", {{"upstream", entry.first}});
        }
        return lapsed;
    });
    armLapse();
    rebuild();
}

void DiscoveredConfiguration::rebuild()
{
    if (!m_intent || !m_registrations) {
        return;
    }
    auto next = m_parts.translate(*m_intent, *m_registrations);
    if (!next) {
        log::error("configuration_refused", {{"fault", next.error().message}});
        return;
    }
    if (m_current && next->version < m_current->version) {
        log::warning("configuration_older", {{"version", next->version}, {"in_force", m_current->version}});
        return;
    }
    if (!m_current || next->version > m_current->version) {
        log::info("configuration_accepted", {{"version", next->version}, {"routes", static_cast<int>(next->routes.size())}});
    }
    m_current = std::make_shared<const Configuration>(std::move(*next));
    m_hooks.accepted(m_current);
}

void DiscoveredConfiguration::onOffer(const std::string &from, const hop::ConfigOffer &offer)
{
    heardOf(from, offer.version);
}

// Only what the store does not tell is asked of peers: it is the newer source.
void DiscoveredConfiguration::heardOf(const std::string &host, std::uint64_t version)
{
    const TimePoint now = Clock::now();
    const bool lacks = !m_current || (m_current->version < version && !m_intentFollower.isReached());
    if (!lacks || version == 0 || now < m_pullBefore) {
        return;
    }
    m_pullBefore = now + pullSpacing;
    m_hooks.send(host, hop::ConfigPull{m_current ? m_current->version : 0});
}

void DiscoveredConfiguration::onPull(const std::string &from, const hop::ConfigPull &pull)
{
    if (!m_current || m_current->version <= pull.version) {
        return;
    }
    const nlohmann::json both{{"intent", *m_intent}, {"registrations", *m_registrations}};
    m_hooks.send(from, hop::ConfigPush{m_current->version, both.dump()});
}

void DiscoveredConfiguration::onPush(const std::string &from, const hop::ConfigPush &push)
{
    const auto both = nlohmann::json::parse(push.json, nullptr, false);
    if (!both.is_object() || !both.contains("intent") || !both.contains("registrations")) {
        log::warning("configuration_push_malformed", {{"peer", from}, {"version", push.version}});
        return;
    }
    if (m_current && push.version <= m_current->version) {
        return;
    }
    if (!m_intentFollower.isReached()) {
        m_intent = both["intent"].get<NamedObjects>();
    }
    if (!m_registrationFollower.isReached()) {
        m_registrations = both["registrations"].get<NamedObjects>();
    }
    rebuild();
}

} // namespace egrettide
