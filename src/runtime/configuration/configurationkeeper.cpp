// Keeps this host's configuration current.

#include "runtime/configuration/configurationkeeper.h"

#include "egrettide/core/configurationapply.h"
#include "egrettide/core/jsontext.h"
#include "runtime/host/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace egrettide
{

namespace
{

constexpr milliseconds readTimeout{2000};
// A waiting watch counts as one call, so long ones are cheap.
constexpr milliseconds watchTimeout{30000};
constexpr milliseconds pauseAfterFailure{500};
// How often a host that is not the store reader of its zone checks whether it has become so.
constexpr milliseconds readerCheckInterval{500};
// Minimum time between two requests to peers for a newer configuration while none arrives.
constexpr milliseconds pullSpacing{1000};
// How long a new host waits for a peer that may report a newer version than the store.
constexpr milliseconds peerWait{2000};
// Each host sends a new version to this many others: 510 hosts are reached in three rounds, and
// no host sends the file more than a few times.
constexpr std::size_t offersPerHost = 8;

} // namespace

ConfigurationKeeper::ConfigurationKeeper(boost::asio::io_context &control, Store &store, ConfigurationKeeperHooks hooks)
    : m_store(store), m_hooks(std::move(hooks)), m_timer(control)
{
}

void ConfigurationKeeper::start()
{
    m_trustedFrom = Clock::now() + peerWait;
    fetch();
}

void ConfigurationKeeper::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

std::shared_ptr<const Configuration> ConfigurationKeeper::current() const
{
    return m_inForce ? m_state.current() : nullptr;
}

void ConfigurationKeeper::schedule(milliseconds pause)
{
    m_timer.expires_after(pause);
    m_timer.async_wait([this](const boost::system::error_code &failure) {
        if (failure || m_stopped) {
            return;
        }
        putInForce();
        if (m_hooks.isStoreReader()) {
            watch();
        } else if (m_state.version() == 0 || m_state.isBehind()) {
            fetch();
        } else {
            schedule(readerCheckInterval);
        }
    });
}

void ConfigurationKeeper::fetch()
{
    m_store.read(std::string(ConfigurationKey), Clock::now() + readTimeout,
                 [this](const tl::expected<VersionedObject, StoreError> &answer) {
                     if (m_stopped) {
                         return;
                     }
                     if (answer) {
                         takeObject(answer->value, answer->version, "store");
                     }
                     schedule(pauseAfterFailure);
                 });
}

void ConfigurationKeeper::watch()
{
    // Short until a configuration is in force: the timer that checks again runs between watches.
    const milliseconds timeout = m_inForce || m_state.version() == 0 ? watchTimeout : pauseAfterFailure;
    m_store.watch(std::string(ConfigurationKey), std::max(m_state.version(), m_seenInStore), Clock::now() + timeout,
                  [this](const tl::expected<VersionedObject, StoreError> &answer) {
                      if (m_stopped) {
                          return;
                      }
                      if (answer) {
                          m_seenInStore = std::max(m_seenInStore, answer->version);
                          takeObject(answer->value, answer->version, "store");
                          schedule(milliseconds{0});
                          return;
                      }
                      if (answer.error().failure == StoreFailure::Unchanged) {
                          schedule(milliseconds{0});
                          return;
                      }
                      log::debug("store_watch_failed", {{"error", answer.error().error.message}});
                      schedule(pauseAfterFailure);
                  });
}

void ConfigurationKeeper::takeObject(const nlohmann::json &value, std::uint64_t version, std::string_view source)
{
    if (version <= m_state.version()) {
        return;
    }
    auto configuration = parseConfigurationObject(value, version);
    if (!configuration) {
        // Only egrettidectl writes the object, and it validates first, so this file is from
        // another release or damaged. The last valid one stays in force.
        log::error("configuration_refused",
                   {{"version", version}, {"source", source}, {"fault", configuration.error().front().message}});
        return;
    }
    if (m_state.offer(std::move(*configuration)) != OfferResult::Accepted) {
        return;
    }
    m_object = value.dump();
    log::info("configuration_accepted", {{"version", version}, {"source", source}});
    if (m_inForce) {
        m_hooks.accepted(m_state.current());
        spread();
    } else {
        putInForce();
    }
}

// The first configuration of a new host. A host that is replaced may read an old value from a
// store that lags, become home of an upstream that is leaving, and admit new work to it. A peer's
// report contains the highest known version, so an old value is recognized.
void ConfigurationKeeper::putInForce()
{
    if (m_inForce || !mayPutInForce()) {
        return;
    }
    m_inForce = true;
    m_hooks.accepted(m_state.current());
    spread();
}

bool ConfigurationKeeper::mayPutInForce() const
{
    const bool isNewest = m_peerReported && !m_state.isBehind();
    return m_state.version() != 0 && (isNewest || Clock::now() >= m_trustedFrom);
}

void ConfigurationKeeper::spread()
{
    for (const std::string &host : m_hooks.someHosts(offersPerHost)) {
        m_hooks.send(host, hop::ConfigOffer{m_state.version()});
    }
}

void ConfigurationKeeper::noteKnownVersion(const std::string &host, const CatalogVersion &version)
{
    m_state.noteKnownVersion(version.intent);
    m_peerReported = true;
    putInForce();
    const TimePoint now = Clock::now();
    if (version.intent <= m_state.version() || now < m_pullBefore) {
        return;
    }
    m_pullBefore = now + pullSpacing;
    m_hooks.send(host, hop::ConfigPull{m_state.version()});
}

void ConfigurationKeeper::onOffer(const std::string &from, const hop::ConfigOffer &offer)
{
    noteKnownVersion(from, {offer.version, 0});
}

void ConfigurationKeeper::onPull(const std::string &from, const hop::ConfigPull &pull)
{
    if (m_state.version() > pull.version) {
        m_hooks.send(from, hop::ConfigPush{m_state.version(), m_object});
    }
}

void ConfigurationKeeper::onPush(const std::string &from, const hop::ConfigPush &push)
{
    m_pullBefore = TimePoint{};
    const auto value = parseJson(push.json);
    if (!value) {
        log::warning("configuration_push_malformed",
                     {{"peer", from}, {"version", push.version}, {"fault", describe(value.error())}});
        return;
    }
    takeObject(*value, push.version, from);
}

} // namespace egrettide
