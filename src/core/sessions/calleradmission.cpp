// Admission of callers by their key.

#include "egrettide/core/calleradmission.h"

namespace egrettide
{

tl::expected<std::string, Error> workspaceFor(const Configuration &configuration, std::string_view routeName,
                                              std::string_view key)
{
    if (const TenantSpec *tenant = configuration.tenantOfKey(key)) {
        return tenant->name;
    }
    const RouteSpec *route = configuration.route(routeName);
    if (!configuration.requiresKeys || (route != nullptr && route->allowsUnknownKeys)) {
        return std::string();
    }
    return tl::unexpected(Error{ErrorKind::AuthenticationFailed,
                                "The key of this session belongs to no workspace; connect with a valid key.", milliseconds{0}});
}

} // namespace egrettide
