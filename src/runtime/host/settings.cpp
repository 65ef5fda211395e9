// Validates and parses the settings file of a host.

#include "runtime/host/settings.h"

#include "core/configuration/schemacheck.h"
#include "egrettide/core/jsontext.h"

#include <nlohmann/json.hpp>

namespace egrettide
{

std::string_view settingsSchema()
{
    static constexpr std::string_view schema = R"json({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "title": "Settings of one egrettided",
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "zone", "callerAddress", "peerAddress", "operatorAddress", "platformAddress", "sessionKey"],
  "properties": {
    "host": {"type": "string", "pattern": "^[a-zA-Z0-9._-]{1,64}$"},
    "zone": {"type": "string", "pattern": "^[a-zA-Z0-9._-]{1,64}$"},
    "callerAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "peerAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "operatorAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "platformAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "logLevel": {"enum": ["debug", "info", "warning", "error"]},
    "trafficThreads": {"type": "integer", "minimum": 1, "maximum": 64},
    "maxCallers": {"type": "integer", "minimum": 1, "maximum": 1000000},
    "idleProbeMs": {"type": "integer", "minimum": 10, "maximum": 5000},
    "sessionKey": {"type": "string", "minLength": 16},
    "upstreamUser": {"type": "string", "minLength": 1},
    "routingPolicy": {"enum": ["adaptive", "baseline"]},
    "mechanismsOff": {"type": "array", "uniqueItems": true, "items": {"enum": ["short-first", "objectives", "standing-queue", "replica-wait", "answers-as-probes", "behind-replicas", "avoidance", "zone-affinity", "quick-links", "join-gate", "move-callers", "zone-readers"]}},
    "interface": {"enum": ["postgresql", "platform"]},
    "ordersAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "readyAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "readyPath": {"type": "string", "pattern": "^/[A-Za-z0-9/._-]*$"},
    "balancerNoticeMs": {"type": "integer", "minimum": 0, "maximum": 60000},
    "balancerMisses": {"type": "integer", "minimum": 0, "maximum": 100},
    "linkMbps": {"type": "number", "minimum": 0, "maximum": 1000000},
    "quotaWindowSeconds": {"type": "number", "minimum": 0.1, "maximum": 600},
    "quotaTolerance": {"type": "number", "minimum": 0, "maximum": 10},
    "quotaSlack": {"type": "number", "minimum": 0, "maximum": 1000000},
    "stopBoundMs": {"type": "integer", "minimum": 100, "maximum": 600000},
    "leavingBoundMs": {"type": "integer", "minimum": 2000, "maximum": 600000}
  }
}
)json";
    return schema;
}

namespace
{

Settings settingsFrom(const nlohmann::json &document)
{
    Settings settings;
    settings.host = document.at("host");
    settings.zone = document.at("zone");
    settings.callerAddress = document.at("callerAddress");
    settings.peerAddress = document.at("peerAddress");
    settings.operatorAddress = document.at("operatorAddress");
    settings.platformAddress = document.at("platformAddress");
    settings.sessionKey = document.at("sessionKey");
    settings.mechanismsOff = document.value("mechanismsOff", settings.mechanismsOff);
    settings.logLevel = document.value("logLevel", settings.logLevel);
    settings.trafficThreads = document.value("trafficThreads", settings.trafficThreads);
    settings.maxCallers = document.value("maxCallers", settings.maxCallers);
    settings.idleProbe = milliseconds(document.value("idleProbeMs", settings.idleProbe.count()));
    settings.upstreamUser = document.value("upstreamUser", settings.upstreamUser);
    settings.routingPolicy = document.value("routingPolicy", settings.routingPolicy);
    settings.interface = document.value("interface", settings.interface);
    settings.ordersAddress = document.value("ordersAddress", settings.ordersAddress);
    settings.readyAddress = document.value("readyAddress", settings.readyAddress);
    settings.readyPath = document.value("readyPath", settings.readyPath);
    settings.balancerNotice = milliseconds(document.value("balancerNoticeMs", settings.balancerNotice.count()));
    settings.balancerMisses = document.value("balancerMisses", settings.balancerMisses);
    settings.linkMbps = document.value("linkMbps", settings.linkMbps);
    const std::chrono::duration<double> quotaWindow(
        document.value("quotaWindowSeconds", std::chrono::duration<double>(settings.quota.window).count()));
    settings.quota.window = std::chrono::round<milliseconds>(quotaWindow);
    settings.quota.overage = document.value("quotaTolerance", settings.quota.overage);
    settings.quota.slack = document.value("quotaSlack", settings.quota.slack);
    settings.stopBound = milliseconds(document.value("stopBoundMs", settings.stopBound.count()));
    settings.leavingBound = milliseconds(document.value("leavingBoundMs", settings.leavingBound.count()));
    return settings;
}

// Adds the name of a field that differs.
template <typename Value>
void compare(std::vector<std::string> &names, std::string_view name, const Value &before, const Value &after)
{
    if (before != after) {
        names.emplace_back(name);
    }
}

} // namespace

SettingsDifference differenceBetween(const Settings &running, const Settings &next)
{
    SettingsDifference difference;
    compare(difference.applied, "logLevel", running.logLevel, next.logLevel);
    compare(difference.applied, "platformAddress", running.platformAddress, next.platformAddress);
    compare(difference.applied, "ordersAddress", running.ordersAddress, next.ordersAddress);
    compare(difference.applied, "readyPath", running.readyPath, next.readyPath);
    compare(difference.applied, "balancerNoticeMs", running.balancerNotice, next.balancerNotice);
    compare(difference.applied, "stopBoundMs", running.stopBound, next.stopBound);
    compare(difference.needRestart, "host", running.host, next.host);
    compare(difference.needRestart, "zone", running.zone, next.zone);
    compare(difference.needRestart, "interface", running.interface, next.interface);
    compare(difference.needRestart, "callerAddress", running.callerAddress, next.callerAddress);
    compare(difference.needRestart, "peerAddress", running.peerAddress, next.peerAddress);
    compare(difference.needRestart, "operatorAddress", running.operatorAddress, next.operatorAddress);
    compare(difference.needRestart, "readyAddress", running.readyAddress, next.readyAddress);
    compare(difference.needRestart, "trafficThreads", running.trafficThreads, next.trafficThreads);
    compare(difference.needRestart, "maxCallers", running.maxCallers, next.maxCallers);
    compare(difference.needRestart, "balancerMisses", running.balancerMisses, next.balancerMisses);
    compare(difference.needRestart, "linkMbps", running.linkMbps, next.linkMbps);
    compare(difference.needRestart, "leavingBoundMs", running.leavingBound, next.leavingBound);
    compare(difference.needRestart, "quotaWindowSeconds", running.quota.window, next.quota.window);
    compare(difference.needRestart, "quotaTolerance", running.quota.overage, next.quota.overage);
    compare(difference.needRestart, "quotaSlack", running.quota.slack, next.quota.slack);
    compare(difference.needRestart, "idleProbeMs", running.idleProbe, next.idleProbe);
    compare(difference.needRestart, "sessionKey", running.sessionKey, next.sessionKey);
    compare(difference.needRestart, "upstreamUser", running.upstreamUser, next.upstreamUser);
    compare(difference.needRestart, "mechanismsOff", running.mechanismsOff, next.mechanismsOff);
    compare(difference.needRestart, "routingPolicy", running.routingPolicy, next.routingPolicy);
    return difference;
}

void applyLive(Settings &running, const Settings &next)
{
    running.logLevel = next.logLevel;
    running.platformAddress = next.platformAddress;
    running.ordersAddress = next.ordersAddress;
    running.readyPath = next.readyPath;
    running.balancerNotice = next.balancerNotice;
    running.stopBound = next.stopBound;
}

tl::expected<Settings, std::vector<Error>> parseSettings(std::string_view text)
{
    const auto document = parseJson(text);
    if (!document) {
        Error notJson{ErrorKind::InvalidInput,
                      "The settings cannot be read: the file " + std::string(describe(document.error()))
                          + "; check brackets, commas and quotes.",
                      milliseconds{0}};
        return tl::unexpected(std::vector<Error>{std::move(notJson)});
    }
    std::vector<Error> faults = detail::schemaFaults(settingsSchema(), *document);
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return settingsFrom(*document);
}

} // namespace egrettide
