// The settings of one host: who and where it is, and whom it talks to. Everything
// that operators change while the system runs is in the configuration instead.

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
    // Unique among hosts; a replaced host may come back under the same name.
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
    // The pause between two looks at a group that nobody waits for. Longer costs
    // less and notices a silent primary later; see docs/CAPACITY.md.
    milliseconds idleProbe{50};
    // The role under which hosts connect to upstreams.
    std::string upstreamUser = "egrettide";
    // "postgresql", or "platform" for callers, upstreams and the store of the
    // users' platform.
    std::string interface = "postgresql";
    // Takes orders to promote; with the interface "platform" only.
    std::string ordersAddress;
    // Answers the balancer's question for readiness; empty when the operators'
    // listener alone does.
    std::string readyAddress;
    std::string readyPath = "/ready";
    // After the start of a graceful stop the balancer may go on sending new callers
    // for this long; they are served.
    milliseconds balancerNotice{0};
    // After so many answers in a row that this host is not ready the balancer sends new
    // callers elsewhere; 0 when that is not known, and balancerNotice has to do.
    int balancerMisses = 0;
    // What this host's link carries, in megabits a second; 0 when that is not known. Bulk
    // between hosts and from the store takes half of it.
    double linkMbps = 0;
    // What the quotas of workspaces promise; see QuotaBounds.
    QuotaBounds quota;
    // The whole of a graceful stop; what is still open then is cut.
    milliseconds stopBound{30000};
    // "adaptive", or "baseline" to measure against.
    std::string routingPolicy = "adaptive";
    // For experts who measure; see Mechanisms. Empty in production.
    std::vector<std::string> mechanismsOff;
};

// What a changed settings file means for a host that runs. Names are those of the file.
struct SettingsDifference {
    // In force at once.
    std::vector<std::string> applied;
    // The listeners and the host's identity: in force after the next start.
    std::vector<std::string> needRestart;
};

SettingsDifference differenceBetween(const Settings &running, const Settings &next);

// Makes the host's settings those of `next`, but for what needs a restart.
void applyLive(Settings &running, const Settings &next);

// The JSON Schema that settings files are checked against; also shipped as
// schema/settings.schema.json.
std::string_view settingsSchema();

// Reads a settings file's text. All faults are reported at once, each with the
// JSON path and what to write instead.
tl::expected<Settings, std::vector<Error>> parseSettings(std::string_view text);

} // namespace egrettide
