// Keeps this host's configuration current: from the platform's store when this host is the store
// reader of its zone, and from other hosts otherwise or when the store is unavailable. The number
// of store calls therefore grows with zones and not with hosts.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/configurationstate.h"
#include "runtime/configuration/configurationsource.h"
#include "runtime/host/timer.h"
#include "runtime/store/store.h"
#include "wire/hopcodec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace egrettide
{

// Used from the control thread only.
class ConfigurationKeeper : public ConfigurationSource
{
public:
    ConfigurationKeeper(boost::asio::io_context &control, Store &store, ConfigurationKeeperHooks hooks);
    ConfigurationKeeper(const ConfigurationKeeper &) = delete;
    ConfigurationKeeper &operator=(const ConfigurationKeeper &) = delete;

    void start() override;
    void stop() override;

    void onOffer(const std::string &from, const hop::ConfigOffer &offer) override;
    void onPull(const std::string &from, const hop::ConfigPull &pull) override;
    void onPush(const std::string &from, const hop::ConfigPush &push) override;
    void noteKnownVersion(const std::string &host, const CatalogVersion &version) override;

    // The configuration in force; null while this host has none, and after a start while it can't
    // determine whether the one it holds is the newest. From m_trustedFrom on, the one it holds is
    // put in force and returned even so.
    std::shared_ptr<const Configuration> current() const override;

private:
    void putInForce();
    bool mayPutInForce() const;
    void fetch();
    void watch();
    void schedule(milliseconds pause);
    void takeObject(const nlohmann::json &value, std::uint64_t version, std::string_view source);
    void spread();

    Store &m_store;
    ConfigurationKeeperHooks m_hooks;
    Timer m_timer;
    ConfigurationState m_state;
    // From this time on, this host puts the configuration that it holds in force even if no peer
    // has reported a version, since it may be the only host or cut off from all others. It does so
    // too if peers have reported a newer version that has not arrived.
    TimePoint m_trustedFrom = TimePoint::max();
    bool m_peerReported = false;
    // False until this host has put a configuration in force.
    bool m_inForce = false;
    // The newest version seen in the store, including refused ones: a watch from the version in
    // force would return a damaged object repeatedly.
    std::uint64_t m_seenInStore = 0;
    // The stored object of the version held, forwarded unchanged.
    std::string m_object;
    // The earliest time of the next pull: an answer to the last one may still arrive. Reset by a
    // push, after which the next pull may be sent at once.
    TimePoint m_pullBefore;
    bool m_stopped = false;
};

} // namespace egrettide
