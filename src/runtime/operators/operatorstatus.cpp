// Compares the configuration versions of hosts with the last accepted file.

#include "runtime/operators/operatorstatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <sstream>

namespace egrettide
{

using nlohmann::json;

namespace
{

std::string textOf(const json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::uint64_t numberOf(const json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_number_unsigned() ? found->get<std::uint64_t>() : 0;
}

HostStatus hostOf(const json &entry)
{
    return {textOf(entry, "name"), textOf(entry, "zone"), textOf(entry, "state"), textOf(entry, "operatorAddress"),
            numberOf(entry, "configurationVersion")};
}

GroupStatus groupOf(const json &entry)
{
    const auto confirmed = entry.find("confirmed");
    const bool isConfirmed = confirmed != entry.end() && confirmed->is_boolean() && confirmed->get<bool>();
    return {textOf(entry, "database"), numberOf(entry, "term"), textOf(entry, "primary"), isConfirmed};
}

template <typename Entry> std::vector<Entry> listOf(const json &document, const char *field, Entry (*read)(const json &))
{
    std::vector<Entry> entries;
    const auto found = document.find(field);
    if (found == document.end() || !found->is_array()) {
        return entries;
    }
    for (const json &entry : *found) {
        if (entry.is_object()) {
            entries.push_back(read(entry));
        }
    }
    return entries;
}

std::uint64_t expectedVersion(const StatusReport &report)
{
    std::uint64_t newest = 0;
    for (const HostStatus &host : report.hosts) {
        newest = std::max(newest, host.configurationVersion);
    }
    return report.storeVersion.value_or(newest);
}

const char *headline(StatusVerdict verdict)
{
    switch (verdict) {
    case StatusVerdict::Agreed:
        return "Every host has the last accepted file in force.";
    case StatusVerdict::Differs:
        return "Not every host has the last accepted file in force.";
    case StatusVerdict::Unproven:
        break;
    }
    return "All hosts agree, but the store has not confirmed that theirs is the last accepted file.";
}

const char *nameOf(StatusVerdict verdict)
{
    switch (verdict) {
    case StatusVerdict::Agreed:
        return "agreed";
    case StatusVerdict::Differs:
        return "differs";
    case StatusVerdict::Unproven:
        break;
    }
    return "unproven";
}

json toJson(const HostStatus &host)
{
    return {{"name", host.name}, {"zone", host.zone}, {"state", host.state}, {"configurationVersion", host.configurationVersion}};
}

json toJson(const GroupStatus &group)
{
    return {{"database", group.database}, {"term", group.term}, {"primary", group.primary}, {"confirmed", group.confirmed}};
}

} // namespace

StatusReport statusReport(const json &document)
{
    StatusReport report;
    report.answeredBy = textOf(document, "host");
    report.hosts = listOf(document, "hosts", hostOf);
    report.groups = listOf(document, "groups", groupOf);
    // The host's own fields take precedence over its entry in the list, which may be
    // missing.
    const auto self = std::find_if(report.hosts.begin(), report.hosts.end(),
                                   [&report](const HostStatus &host) { return host.name == report.answeredBy; });
    if (self == report.hosts.end()) {
        HostStatus own = hostOf(document);
        own.name = report.answeredBy;
        own.state = own.state.empty() ? "live" : own.state;
        report.hosts.push_back(own);
    } else {
        self->configurationVersion = numberOf(document, "configurationVersion");
    }
    return report;
}

void addStore(StatusReport &report, const tl::expected<VersionedObject, StoreError> &object)
{
    if (object) {
        report.storeVersion = object->version;
    } else if (object.error().failure == StoreFailure::NotFound) {
        report.storeVersion = 0;
    } else {
        report.storeProblem = object.error().error.message;
    }
}

std::vector<HostStatus> differingHosts(const StatusReport &report)
{
    const std::uint64_t expected = expectedVersion(report);
    std::vector<HostStatus> differing;
    std::copy_if(report.hosts.begin(), report.hosts.end(), std::back_inserter(differing),
                 [expected](const HostStatus &host) { return host.counts() && host.configurationVersion != expected; });
    return differing;
}

StatusVerdict verdictOf(const StatusReport &report)
{
    if (!differingHosts(report).empty()) {
        return StatusVerdict::Differs;
    }
    return report.storeVersion ? StatusVerdict::Agreed : StatusVerdict::Unproven;
}

std::string toText(const StatusReport &report)
{
    std::ostringstream text;
    text << headline(verdictOf(report)) << '\n';
    if (report.storeVersion) {
        text << "Last accepted version: " << *report.storeVersion << '\n';
    } else {
        text << "Last accepted version: unknown (" << report.storeProblem << ")\n";
    }
    const std::uint64_t expected = expectedVersion(report);
    for (const HostStatus &host : report.hosts) {
        const bool differs = host.counts() && host.configurationVersion != expected;
        text << "host " << host.name << " zone " << host.zone << ' ' << host.state << " version " << host.configurationVersion
             << (differs ? "  DIFFERS" : "") << '\n';
    }
    for (const GroupStatus &group : report.groups) {
        text << "database " << group.database << " term " << group.term << " primary "
             << (group.primary.empty() ? "unknown" : group.primary) << (group.confirmed ? "" : " (not confirmed)") << '\n';
    }
    return text.str();
}

json toJson(const StatusReport &report)
{
    json document{{"verdict", nameOf(verdictOf(report))},
                  {"answeredBy", report.answeredBy},
                  {"storeVersion", report.storeVersion ? json(*report.storeVersion) : json()},
                  {"hosts", json::array()},
                  {"differing", json::array()},
                  {"groups", json::array()}};
    for (const HostStatus &host : report.hosts) {
        document["hosts"].push_back(toJson(host));
    }
    for (const HostStatus &host : differingHosts(report)) {
        document["differing"].push_back(host.name);
    }
    for (const GroupStatus &group : report.groups) {
        document["groups"].push_back(toJson(group));
    }
    return document;
}

} // namespace egrettide
