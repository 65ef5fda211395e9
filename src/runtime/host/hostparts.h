// The parts of a host that differ by where it runs: which protocol its callers and
// its upstreams speak, and what its store looks like.

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

// Makes each part when the host starts, in this order. All run on the control thread.
struct HostParts {
    std::function<tl::expected<std::unique_ptr<Store>, Error>(boost::asio::io_context &control)> makeStore;
    std::function<tl::expected<std::shared_ptr<const UpstreamDialect>, Error>(boost::asio::io_context &control)> makeDialect;
    // `store` is the one that makeStore made.
    std::function<std::unique_ptr<ConfigurationSource>(boost::asio::io_context &control, Store &store,
                                                       ConfigurationKeeperHooks hooks)>
        makeConfiguration;
    CallerLinkFactory makeCaller;
};

// Callers and upstreams that speak PostgreSQL, and the product's own store API.
HostParts postgresParts(const Settings &settings);

} // namespace egrettide
