// The parts of a host that depend on the deployment: the protocols of its callers and
// upstreams, and the type of its store.

#pragma once

#include "egrettide/core/error.h"
#include "runtime/callers/front.h"
#include "runtime/configuration/configurationsource.h"
#include "runtime/host/settings.h"
#include "runtime/store/store.h"
#include "runtime/upstreams/upstreamdialect.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <memory>

namespace egrettide
{

// Factories of the parts, called in this order when the host starts, all on the control thread.
struct HostParts {
    std::function<tl::expected<std::unique_ptr<Store>, Error>(boost::asio::io_context &control)> makeStore;
    std::function<tl::expected<std::shared_ptr<const UpstreamDialect>, Error>(boost::asio::io_context &control)> makeDialect;
    // `store` is the result of makeStore.
    std::function<std::unique_ptr<ConfigurationSource>(boost::asio::io_context &control, Store &store,
                                                       ConfigurationKeeperHooks hooks)>
        makeConfiguration;
    CallerLinkFactory makeCaller;
};

// Parts for callers and upstreams with the PostgreSQL protocol, and egrettide's own store API.
HostParts postgresParts(const Settings &settings);

} // namespace egrettide
