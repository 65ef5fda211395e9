// The answer to "is it as the last accepted file says, on every host?", made from
// one host's status document and the store's version.

#pragma once

#include "runtime/store/storeclient.h"

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

struct HostStatus {
    std::string name;
    std::string zone;
    // "live", "suspect", "leaving" or "dead".
    std::string state;
    std::string operatorAddress;
    std::uint64_t configurationVersion = 0;

    // A dead host serves nobody; all others have to agree.
    bool counts() const
    {
        return state != "dead";
    }
};

struct GroupStatus {
    std::string database;
    std::uint64_t term = 0;
    std::string primary;
    bool confirmed = false;
};

struct StatusReport {
    // The host that was asked; the others are as it knows them from heartbeats,
    // so they may be ahead of what it shows, and never behind but after a restart.
    std::string answeredBy;
    std::vector<HostStatus> hosts;
    std::vector<GroupStatus> groups;
    // The last accepted version; unset when the store did not tell.
    std::optional<std::uint64_t> storeVersion;
    // Why it is unset.
    std::string storeProblem = "no --platform was given";
};

enum class StatusVerdict {
    // Every host that counts has the last accepted file in force.
    Agreed,
    // Some host differs.
    Differs,
    // The store did not tell what the last accepted file is.
    Unproven,
};

// Reads a host's GET /status document; unknown or missing fields are passed over.
StatusReport statusReport(const nlohmann::json &document);

// Adds what the store said of the configuration object.
void addStore(StatusReport &report, const tl::expected<VersionedObject, StoreError> &object);

// The hosts that count and have another version in force than the last accepted
// one; with no store, another than the newest that any host has.
std::vector<HostStatus> differingHosts(const StatusReport &report);

StatusVerdict verdictOf(const StatusReport &report);
std::string toText(const StatusReport &report);
nlohmann::json toJson(const StatusReport &report);

} // namespace egrettide
