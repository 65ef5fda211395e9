// Conversion between the JSON of the file and Configuration.

#include "egrettide/core/configurationfile.h"

#include "core/configuration/configurationcheck.h"
#include "core/configuration/schemacheck.h"
#include "egrettide/core/jsontext.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <utility>

namespace egrettide
{

using nlohmann::json;

namespace
{

constexpr std::string_view MajorityName = "majority";
constexpr std::string_view PrimaryOnlyName = "primary-only";

// The readers below use the default for a field of the wrong type. The schema check reports
// that fault, and the consistency checks can still find others.

std::string textOf(const json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::optional<std::int64_t> integerOf(const json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_number_integer() ? std::optional(found->get<std::int64_t>()) : std::nullopt;
}

double realOf(const json &object, const char *field, double fallback)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_number() ? found->get<double>() : fallback;
}

std::vector<std::string> textsOf(const json &object, const char *field)
{
    std::vector<std::string> texts;
    const auto found = object.find(field);
    if (found == object.end() || !found->is_array()) {
        return texts;
    }
    for (const json &entry : *found) {
        if (entry.is_string()) {
            texts.push_back(entry.get<std::string>());
        }
    }
    return texts;
}

// Preserves the indices of the array, so that the paths in error messages refer to the file.
template <typename Spec> std::vector<Spec> listOf(const json &object, const char *field, Spec (*read)(const json &))
{
    std::vector<Spec> specs;
    const auto found = object.find(field);
    if (found == object.end() || !found->is_array()) {
        return specs;
    }
    for (const json &entry : *found) {
        specs.push_back(entry.is_object() ? read(entry) : Spec{});
    }
    return specs;
}

UpstreamSpec upstreamOf(const json &entry)
{
    UpstreamSpec upstream;
    upstream.name = textOf(entry, "name");
    upstream.address = textOf(entry, "address");
    upstream.zone = textOf(entry, "zone");
    upstream.slots = static_cast<int>(integerOf(entry, "slots").value_or(upstream.slots));
    upstream.connections = static_cast<int>(integerOf(entry, "connections").value_or(upstream.connections));
    const auto leaving = entry.find("leaving");
    upstream.leaving = leaving != entry.end() && leaving->is_boolean() && leaving->get<bool>();
    return upstream;
}

DatabaseSpec databaseOf(const json &entry)
{
    DatabaseSpec database;
    database.name = textOf(entry, "name");
    database.upstreams = listOf(entry, "upstreams", upstreamOf);
    database.durability = textOf(entry, "durability") == PrimaryOnlyName ? Durability::PrimaryOnly : Durability::Majority;
    if (const auto maxAge = integerOf(entry, "maxAgeMs")) {
        database.maxAge = milliseconds(*maxAge);
    }
    database.replicaWait = milliseconds(integerOf(entry, "replicaWaitMs").value_or(database.replicaWait.count()));
    return database;
}

ClassSpec classOf(const json &entry)
{
    ClassSpec spec;
    spec.name = textOf(entry, "name");
    spec.reservedShare = realOf(entry, "reservedShare", spec.reservedShare);
    spec.timeout = milliseconds(integerOf(entry, "timeoutMs").value_or(spec.timeout.count()));
    spec.priority = static_cast<int>(integerOf(entry, "priority").value_or(spec.priority));
    return spec;
}

TenantSpec tenantOf(const json &entry)
{
    TenantSpec tenant;
    tenant.name = textOf(entry, "name");
    tenant.className = textOf(entry, "class");
    tenant.password = textOf(entry, "password");
    tenant.share = realOf(entry, "share", tenant.share);
    tenant.keys = textsOf(entry, "keys");
    if (entry.contains("quota") && entry["quota"].is_object()) {
        const json &quota = entry["quota"];
        tenant.quota = RequestQuota{realOf(quota, "perSecond", 0), realOf(quota, "burst", 0)};
    }
    return tenant;
}

Configuration configurationOf(const json &document)
{
    Configuration configuration;
    if (document.is_object()) {
        configuration.databases = listOf(document, "databases", databaseOf);
        configuration.classes = listOf(document, "classes", classOf);
        configuration.tenants = listOf(document, "tenants", tenantOf);
    }
    return configuration;
}

// Finds duplicate member names within one JSON object. The parser silently keeps the last
// one, so that the first value would not be in force although it is in the file.
class DuplicateFinder
{
public:
    void onEvent(json::parse_event_t event, const json &parsed)
    {
        switch (event) {
        case json::parse_event_t::object_start:
            m_names.emplace_back();
            break;
        case json::parse_event_t::object_end:
            m_names.pop_back();
            break;
        case json::parse_event_t::key:
            if (!m_names.back().insert(parsed.get<std::string>()).second) {
                m_duplicates.insert(parsed.get<std::string>());
            }
            break;
        default:
            break;
        }
    }

    std::vector<Error> faults() const
    {
        std::vector<Error> faults;
        for (const std::string &name : m_duplicates) {
            faults.push_back(detail::fault("", "an object has the member '" + name + "' twice; remove one of them"));
        }
        return faults;
    }

private:
    std::vector<std::set<std::string>> m_names;
    std::set<std::string> m_duplicates;
};

json toJson(const UpstreamSpec &upstream)
{
    return {{"name", upstream.name},   {"address", upstream.address},         {"zone", upstream.zone},
            {"slots", upstream.slots}, {"connections", upstream.connections}, {"leaving", upstream.leaving}};
}

json toJson(const DatabaseSpec &database)
{
    json entry{{"name", database.name},
               {"durability", database.durability == Durability::Majority ? MajorityName : PrimaryOnlyName},
               {"replicaWaitMs", database.replicaWait.count()},
               {"upstreams", json::array()}};
    if (database.maxAge) {
        entry["maxAgeMs"] = database.maxAge->count();
    }
    for (const UpstreamSpec &upstream : database.upstreams) {
        entry["upstreams"].push_back(toJson(upstream));
    }
    return entry;
}

json toJson(const ClassSpec &spec)
{
    return {{"name", spec.name},
            {"reservedShare", spec.reservedShare},
            {"timeoutMs", spec.timeout.count()},
            {"priority", spec.priority}};
}

json toJson(const TenantSpec &tenant)
{
    json entry{{"name", tenant.name}, {"class", tenant.className}, {"password", tenant.password}, {"share", tenant.share}};
    if (!tenant.keys.empty()) {
        entry["keys"] = tenant.keys;
    }
    if (tenant.quota) {
        entry["quota"] = {{"perSecond", tenant.quota->perSecond}, {"burst", tenant.quota->burst}};
    }
    return entry;
}

} // namespace

tl::expected<Configuration, std::vector<Error>> parseConfiguration(std::string_view text)
{
    if (!isWithinJsonDepth(text)) {
        return tl::make_unexpected(std::vector{detail::fault("", "the file is nested too deeply; remove what no field needs")});
    }
    DuplicateFinder duplicates;
    const auto callback = [&duplicates](int, json::parse_event_t event, json &parsed) {
        duplicates.onEvent(event, parsed);
        return true;
    };
    try {
        const json document = json::parse(text, callback);
        std::vector<Error> faults = duplicates.faults();
        auto parsed = parseConfiguration(document);
        if (!parsed) {
            faults.insert(faults.end(), parsed.error().begin(), parsed.error().end());
        }
        return faults.empty() ? parsed : tl::make_unexpected(std::move(faults));
    } catch (const json::exception &error) {
        // Not only parse_error: a number that is out of the range of double has another type.
        return tl::make_unexpected(
            std::vector{detail::fault("", std::string("this is not JSON (") + error.what() + "); correct it there")});
    }
}

tl::expected<Configuration, std::vector<Error>> parseConfiguration(const json &document)
{
    Configuration configuration = configurationOf(document);
    std::vector<Error> faults = detail::schemaFaults(configurationSchema(), document);
    std::vector<Error> crossFaults = detail::crossFaults(configuration);
    faults.insert(faults.end(), crossFaults.begin(), crossFaults.end());
    if (!faults.empty()) {
        return tl::make_unexpected(std::move(faults));
    }
    return configuration;
}

json toJson(const Configuration &configuration)
{
    json document{{"databases", json::array()}, {"classes", json::array()}, {"tenants", json::array()}};
    for (const DatabaseSpec &database : configuration.databases) {
        document["databases"].push_back(toJson(database));
    }
    for (const ClassSpec &spec : configuration.classes) {
        document["classes"].push_back(toJson(spec));
    }
    for (const TenantSpec &tenant : configuration.tenants) {
        document["tenants"].push_back(toJson(tenant));
    }
    return document;
}

} // namespace egrettide
