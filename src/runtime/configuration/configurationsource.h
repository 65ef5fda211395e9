// Where a host's configuration comes from, as the rest of the daemon knows it.

#pragma once

#include "egrettide/core/configuration.h"
#include "wire/hopcodec.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace egrettide
{

struct ConfigurationKeeperHooks {
    // A newer configuration came into force here.
    std::function<void(std::shared_ptr<const Configuration>)> accepted;
    // Sends to one host by name.
    std::function<void(const std::string &host, hop::HopMessage)> send;
    // Some live hosts other than this one, in random order, at most `count`.
    std::function<std::vector<std::string>(std::size_t count)> someHosts;
    // True when this host holds its zone's watch on the store.
    std::function<bool()> isWatcher;
};

// Used from the control thread only.
class ConfigurationSource
{
public:
    virtual ~ConfigurationSource() = default;

    virtual void start() = 0;
    virtual void stop() = 0;

    // Messages of other hosts.
    virtual void onOffer(const std::string &from, const hop::ConfigOffer &offer) = 0;
    virtual void onPull(const std::string &from, const hop::ConfigPull &pull) = 0;
    virtual void onPush(const std::string &from, const hop::ConfigPush &push) = 0;
    // A heartbeat told that `host` holds `version`.
    virtual void heardOf(const std::string &host, std::uint64_t version) = 0;

    // The configuration in force; null while there is none.
    virtual std::shared_ptr<const Configuration> current() const = 0;
};

} // namespace egrettide
