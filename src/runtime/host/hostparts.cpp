// The parts of a host for PostgreSQL upstreams.

#include "runtime/host/hostparts.h"

#include "runtime/configuration/configurationkeeper.h"
#include "runtime/host/address.h"
#include "runtime/store/storeclient.h"

namespace egrettide
{

HostParts postgresParts(const Settings &settings)
{
    HostParts parts;
    parts.makeStore =
        [address = settings.platformAddress](boost::asio::io_context &control) -> tl::expected<std::unique_ptr<Store>, Error> {
        const auto endpoint = parseEndpoint(address);
        if (!endpoint) {
            return tl::unexpected(endpoint.error());
        }
        return std::make_unique<StoreClient>(control, *endpoint);
    };
    parts.makeDialect = [](boost::asio::io_context &) { return postgresDialect(); };
    parts.makeConfiguration = [](boost::asio::io_context &control, Store &store,
                                 ConfigurationKeeperHooks hooks) -> std::unique_ptr<ConfigurationSource> {
        return std::make_unique<ConfigurationKeeper>(control, store, std::move(hooks));
    };
    parts.makeCaller = postgresCallers();
    return parts;
}

} // namespace egrettide
