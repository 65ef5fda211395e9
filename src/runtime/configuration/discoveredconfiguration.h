// A configuration that is put together from two collections of a store: what the
// operators want, and the upstreams as they register themselves. Every host follows
// both, so a change of an upstream is known everywhere at once.

#pragma once

#include "runtime/configuration/collection.h"
#include "runtime/configuration/configurationsource.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace egrettide
{

using NamedObjects = std::map<std::string, nlohmann::json>;

// Makes a configuration of what lies in the store; an error when it is damaged. The
// version has to be that of what the operators wrote.
using TranslateHook =
    std::function<tl::expected<Configuration, Error>(const NamedObjects &intent, const NamedObjects &registrations)>;

struct DiscoveryParts {
    CollectionSource intent;
    CollectionSource registrations;
    TranslateHook translate;
};

class DiscoveredConfiguration : public ConfigurationSource
{
public:
    DiscoveredConfiguration(boost::asio::io_context &control, DiscoveryParts parts, ConfigurationKeeperHooks hooks);
    DiscoveredConfiguration(const DiscoveredConfiguration &) = delete;
    DiscoveredConfiguration &operator=(const DiscoveredConfiguration &) = delete;

    void start() override;
    void stop() override;
    void onOffer(const std::string &from, const hop::ConfigOffer &offer) override;
    void onPull(const std::string &from, const hop::ConfigPull &pull) override;
    void onPush(const std::string &from, const hop::ConfigPush &push) override;
    void heardOf(const std::string &host, std::uint64_t version) override;
    std::shared_ptr<const Configuration> current() const override;

private:
    void onIntent(const NamedObjects &intent);
    void onRegistrations(const NamedObjects &registrations);
    void forgetLapsed();
    void armLapse();
    void rebuild();

    DiscoveryParts m_parts;
    ConfigurationKeeperHooks m_hooks;
    boost::asio::steady_timer m_lapseTimer;
    // Unset until the store, or a peer, has told them.
    std::optional<NamedObjects> m_intent;
    std::optional<NamedObjects> m_registrations;
    // Registrations that are gone from the store and still count until then.
    std::map<std::string, TimePoint> m_lapsing;
    std::shared_ptr<const Configuration> m_current;
    // When a peer may be asked again.
    TimePoint m_pullBefore;
    bool m_stopped = false;
    CollectionFollower m_intentFollower;
    CollectionFollower m_registrationFollower;
};

} // namespace egrettide
