// Checks and reads a host's settings file.

#include "runtime/settings.h"

#include "core/schemacheck.h"

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
    "interface": {"enum": ["postgresql", "platform"]},
    "ordersAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "readyAddress": {"type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$"},
    "readyPath": {"type": "string", "pattern": "^/[A-Za-z0-9/._-]*$"},
    "balancerNoticeMs": {"type": "integer", "minimum": 0, "maximum": 60000},
    "stopBoundMs": {"type": "integer", "minimum": 100, "maximum": 600000}
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
    settings.stopBound = milliseconds(document.value("stopBoundMs", settings.stopBound.count()));
    return settings;
}

} // namespace

tl::expected<Settings, std::vector<Error>> parseSettings(std::string_view text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        Error notJson{ErrorKind::InvalidInput, "The settings are not valid JSON; check brackets, commas and quotes.",
                      milliseconds{0}};
        return tl::unexpected(std::vector<Error>{std::move(notJson)});
    }
    std::vector<Error> faults = detail::schemaFaults(settingsSchema(), document);
    if (!faults.empty()) {
        return tl::unexpected(std::move(faults));
    }
    return settingsFrom(document);
}

} // namespace egrettide
