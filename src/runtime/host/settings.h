// The settings of one host: its identity, location and addresses. Everything that operators
// change while the system runs is in the configuration instead.

#pragma once

#include "egrettide/core/error.h"
#include "egrettide/core/quotakeeper.h"

#include <tl/expected.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

struct Settings {
    // Unique among hosts; the replacement of a host may use the same name.
    std::string host;
    std::string zone;
    // All addresses are "IP:port".
    std::string callerAddress;
    std::string peerAddress;
    std::string operatorAddress;
    std::string platformAddress;
    std::string logLevel = "info";
    int trafficThreads = 2;
    int maxCallers = 5000;
    // Signs session tokens; the same on all hosts of a deployment.
    std::string sessionKey;
    // The interval of status probes of a group that no request waits for. A longer interval
    // costs less, but detects a silent primary later; see docs/CAPACITY.md.
    milliseconds idleProbe{50};
    // The role under which hosts connect to upstreams.
    std::string upstreamUser = "egrettide";
    // "postgresql", or "platform" for the protocols of callers, upstreams and store of the
    // users' platform.
    std::string interface = "postgresql";
    // Accepts promotion orders; with the interface "platform" only.
    std::string ordersAddress;
    // Answers the readiness checks of the load balancer; empty when only the operators'
    // listener does.
    std::string readyAddress;
    std::string readyPath = "/ready";
    // The time after the start of a graceful stop during which the load balancer may still send
    // new callers; they are served.
    milliseconds balancerNotice{0};
    // The number of consecutive "not ready" answers after which the load balancer sends new
    // callers to other hosts; 0 when it is unknown, and only balancerNotice applies.
    int balancerMisses = 0;
    // The bandwidth of this host's network link, in megabits a second; 0 when unknown. Bulk
    // transfers between hosts and from the store use at most half of it.
    double linkMbps = 0;
    // The accuracy of workspace quotas; see QuotaBounds.
    QuotaBounds quota;
    // The maximum duration of a graceful stop; work that is still open then is aborted.
    milliseconds stopBound{30000};
    // The longest time for which an upstream that leaves gets new requests, also a primary that has no
    // successor by then.
    milliseconds leavingBound{10000};
    // "adaptive", or "baseline" as a reference for measurements.
    std::string routingPolicy = "adaptive";
    // For measurements by experts; see Mechanisms. Empty in production.
    std::vector<std::string> mechanismsOff;
};

// The effect of a changed settings file on a running host. Names are those of the file.
struct SettingsDifference {
    // Settings that take effect at once.
    std::vector<std::string> applied;
    // Settings that take effect at the next start, such as listeners and the host's identity.
    std::vector<std::string> needRestart;
};

SettingsDifference differenceBetween(const Settings &running, const Settings &next);

// Copies the settings of `next` to `running`, except those that need a restart.
void applyLive(Settings &running, const Settings &next);

// The JSON Schema that settings files are checked against; also shipped as
// schema/settings.schema.json.
std::string_view settingsSchema();

// Parses the text of a settings file. Reports all errors at once, each with its JSON path and
// a correction.
tl::expected<Settings, std::vector<Error>> parseSettings(std::string_view text);

} // namespace egrettide
