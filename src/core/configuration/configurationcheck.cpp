// Checks the consistency between the entries of a configuration file.

#include "core/configuration/configurationcheck.h"

#include "core/configuration/schemacheck.h"
#include "egrettide/core/configurationfile.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <set>

namespace egrettide
{

namespace
{

// The tolerance for rounding errors: shares are decimal fractions in the file, and their
// binary sum may differ from 1.
constexpr double ShareTolerance = 1e-9;
constexpr unsigned MaxPort = 65535;

std::string entryPath(const std::string &list, std::size_t index)
{
    return '/' + list + '/' + std::to_string(index);
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    unsigned port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0 || port > MaxPort) {
        return false;
    }
    std::string host = text.substr(0, colon);
    const bool bracketed = host.front() == '[' && host.back() == ']';
    const int family = bracketed ? AF_INET6 : AF_INET;
    host = bracketed ? host.substr(1, host.size() - 2) : host;
    unsigned char address[sizeof(in6_addr)];
    return inet_pton(family, host.c_str(), address) == 1;
}

// Reports each name that an earlier entry already uses.
class UniqueNames
{
public:
    UniqueNames(std::string what, std::vector<Error> &faults) : m_what(std::move(what)), m_faults(faults)
    {
    }

    void add(const std::string &name, const std::string &path)
    {
        if (name.empty()) {
            return;
        }
        const auto [first, inserted] = m_paths.emplace(name, path);
        if (!inserted) {
            m_faults.push_back(
                detail::fault(path, m_what + " '" + name + "' is already used at " + first->second + "; make it unique"));
        }
    }

private:
    std::string m_what;
    std::vector<Error> &m_faults;
    std::map<std::string, std::string> m_paths;
};

void checkDatabases(const Configuration &configuration, std::vector<Error> &faults)
{
    UniqueNames databaseNames("the database name", faults);
    // Unique over all databases: operators and hosts refer to an upstream without its database.
    UniqueNames upstreamNames("the upstream name", faults);
    for (std::size_t index = 0; index < configuration.databases.size(); ++index) {
        const DatabaseSpec &database = configuration.databases[index];
        const std::string path = entryPath("databases", index);
        databaseNames.add(database.name, path + "/name");
        // A server that counted as two members could form a majority by itself.
        UniqueNames addresses("the address", faults);
        for (std::size_t member = 0; member < database.upstreams.size(); ++member) {
            const UpstreamSpec &upstream = database.upstreams[member];
            const std::string memberPath = path + entryPath("upstreams", member);
            upstreamNames.add(upstream.name, memberPath + "/name");
            addresses.add(upstream.address, memberPath + "/address");
            if (!upstream.address.empty() && !isAddress(upstream.address)) {
                faults.push_back(detail::fault(memberPath + "/address",
                                               "'" + upstream.address
                                                   + "' is not IP:port; write for example 10.0.0.1:5432 or [fd00::1]:5432"));
            }
        }
        const bool allLeave = !database.upstreams.empty()
            && std::all_of(database.upstreams.begin(), database.upstreams.end(), [](const UpstreamSpec &u) { return u.leaving; });
        if (allLeave) {
            faults.push_back(detail::fault(path + "/upstreams", "all upstreams are leaving; keep one or more"));
        }
    }
}

void checkClasses(const Configuration &configuration, std::vector<Error> &faults)
{
    UniqueNames names("the class name", faults);
    double reserved = 0;
    for (std::size_t index = 0; index < configuration.classes.size(); ++index) {
        names.add(configuration.classes[index].name, entryPath("classes", index) + "/name");
        reserved += configuration.classes[index].reservedShare;
    }
    if (reserved > 1 + ShareTolerance) {
        faults.push_back(detail::fault("/classes",
                                       "the reserved shares add up to " + std::to_string(reserved)
                                           + "; lower them so that they add up to at most 1"));
    }
}

void checkTenants(const Configuration &configuration, std::vector<Error> &faults)
{
    UniqueNames names("the tenant name", faults);
    std::map<std::string, std::string> keyHolders;
    for (std::size_t index = 0; index < configuration.tenants.size(); ++index) {
        const TenantSpec &tenant = configuration.tenants[index];
        const std::string path = entryPath("tenants", index);
        names.add(tenant.name, path + "/name");
        if (!tenant.className.empty() && configuration.classNamed(tenant.className) == nullptr) {
            faults.push_back(detail::fault(path + "/class",
                                           "there is no class '" + tenant.className + "'; add it under /classes or use another"));
        }
        for (const std::string &key : tenant.keys) {
            const auto [holder, inserted] = keyHolders.emplace(key, tenant.name);
            if (!inserted && holder->second != tenant.name) {
                // The key is a secret and must not appear in the message.
                faults.push_back(
                    detail::fault(path + "/keys",
                                  "tenant '" + holder->second + "' already has one of these keys; use each key for one tenant"));
            }
        }
    }
}

} // namespace

namespace detail
{

std::vector<Error> crossFaults(const Configuration &configuration)
{
    std::vector<Error> faults;
    checkDatabases(configuration, faults);
    checkClasses(configuration, faults);
    checkTenants(configuration, faults);
    return faults;
}

} // namespace detail

std::vector<std::string> configurationWarnings(const Configuration &configuration)
{
    std::vector<std::string> warnings;
    std::map<std::string, std::string> databaseAt;
    for (const DatabaseSpec &database : configuration.databases) {
        std::set<std::string> zones;
        for (const UpstreamSpec &upstream : database.upstreams) {
            if (!zones.insert(upstream.zone).second) {
                warnings.push_back("Database " + database.name + " has more than one upstream in availability zone "
                                   + upstream.zone + "; the loss of that zone may cost its majority.");
            }
            const auto [first, inserted] = databaseAt.emplace(upstream.address, database.name);
            if (!inserted && first->second != database.name) {
                warnings.push_back("Databases " + first->second + " and " + database.name + " share the upstream address "
                                   + upstream.address + "; their connection limits add up there.");
            }
        }
        const bool even = database.upstreams.size() % 2 == 0;
        if (even) {
            warnings.push_back("Database " + database.name + " has " + std::to_string(database.upstreams.size())
                               + " upstreams; an odd number, one less, tolerates as many failures.");
        }
    }
    return warnings;
}

} // namespace egrettide
