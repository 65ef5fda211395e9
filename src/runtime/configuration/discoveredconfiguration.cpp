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
    RegisteredUpstreams next = parse(registrations);
    std::erase_if(m_lapsing, [&next](const auto &entry) { return next.contains(entry.first); });
    for (const auto &[name, upstream] : m_upstreams) {
        if (next.emplace(name, upstream).second) {
            m_lapsing.emplace(name, lapsesAt);
        }
    }
    m_registrations = registrations;
    m_upstreams = std::move(next);
    armLapse();
    rebuild();
}

// What goes wrong otherwise: another writer leaves an entry among the registrations. With
// an unknown state it would count as ready, without an address it would be an upstream
// that nothing reaches, and a type that nobody expects would end the process.
RegisteredUpstreams DiscoveredConfiguration::parse(const NamedObjects &registrations)
{
    RegisteredUpstreams upstreams;
    for (const auto &[name, value] : registrations) {
        auto parsed = m_parts.parseRegistration(name, value);
        if (parsed) {
            m_refused.erase(name);
            upstreams.emplace(name, std::move(*parsed));
        } else {
            noteRefused(name, parsed.error());
        }
    }
    std::erase_if(m_refused, [&registrations](const auto &entry) { return !registrations.contains(entry.first); });
    return upstreams;
}

// One line for each fault: the entry may be told again with every change of another one.
void DiscoveredConfiguration::noteRefused(const std::string &name, const Error &fault)
{
    std::string &known = m_refused[name];
    if (known == fault.message) {
        return;
    }
    known = fault.message;
    ++m_refusals;
    log::warning("registration_refused", {{"registration", name}, {"fault", fault.message}, {"refused_so_far", m_refusals}});
}

std::uint64_t DiscoveredConfiguration::refusedRegistrations() const
{
    return m_refusals;
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
            m_upstreams.erase(entry.first);
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
    auto next = m_parts.translate(*m_intent, m_upstreams);
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
    for (const SupersededUpstream &old : m_succession.settle(*next)) {
        log::info("upstream_superseded", {{"upstream", old.name}, {"address", old.address}, {"by", old.successor}});
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
    const auto holds = [&both](const char *part) { return both.contains(part) && both[part].is_object(); };
    if (!both.is_object() || !holds("intent") || !holds("registrations")) {
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
        onRegistrations(both["registrations"].get<NamedObjects>());
        return;
    }
    rebuild();
}

} // namespace egrettide
