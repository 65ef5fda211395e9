// Lookup of configuration entries by name.

#include "egrettide/core/configuration.h"

#include <algorithm>

namespace egrettide
{

namespace
{

template <typename Spec> const Spec *named(const std::vector<Spec> &specs, std::string_view name)
{
    const auto found = std::find_if(specs.begin(), specs.end(), [name](const Spec &spec) { return spec.name == name; });
    return found == specs.end() ? nullptr : &*found;
}

} // namespace

bool TenantSpec::holdsKey(std::string_view key) const
{
    return !key.empty() && std::ranges::find(keys, key) != keys.end();
}

const UpstreamSpec *DatabaseSpec::upstream(std::string_view upstreamName) const
{
    return named(upstreams, upstreamName);
}

const DatabaseSpec *Configuration::database(std::string_view databaseName) const
{
    return named(databases, databaseName);
}

const ClassSpec *Configuration::classNamed(std::string_view className) const
{
    return named(classes, className);
}

const TenantSpec *Configuration::tenant(std::string_view tenantName) const
{
    return named(tenants, tenantName);
}

const TenantSpec *Configuration::tenantOfKey(std::string_view key) const
{
    const auto found = std::ranges::find_if(tenants, [key](const TenantSpec &tenant) { return tenant.holdsKey(key); });
    return found == tenants.end() ? nullptr : &*found;
}

const RouteSpec *Configuration::route(std::string_view routeName) const
{
    return named(routes, routeName);
}

} // namespace egrettide
