// The properties of one kind of upstreams: how to connect, the commands that egrettide
// itself sends, and the guarantees that such an upstream gives.

#pragma once

#include "runtime/group/groupcontrol.h"
#include "runtime/upstreams/upstreamlink.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>

namespace egrettide
{

struct UpstreamDialect {
    ControlPort control;
    // Changes the address to which promotion orders are sent; set if control.promote is.
    std::function<void(const boost::asio::ip::tcp::endpoint &orders)> moveOrders;
    // A batch that rolls the open transaction back.
    std::string rollback;
    // True when an upstream checks a required mark against its own log and refuses
    // the read otherwise; see BatchOrder::requiredMark.
    bool checksMarks = false;
    // True when a replaced primary never reports itself as the primary: the report of an
    // upstream then proves that it is the primary, and no majority is asked.
    bool primaryProvesItself = false;
    // True when upstreams need the workspace of each statement: a connection is then
    // opened in the name of one workspace and used only for it.
    bool connectsAsWorkspace = false;
    // True when an upstream refuses statements beyond its slots and queue, and has exactly
    // as many slots as it reports. The home then uses this number instead of a limit that
    // follows the observed latency. Such a limit can fail permanently: a new home that
    // learns from a few quick statements rates the usual ones as slow and lowers its limit
    // to one, and with a standing queue the limit never rises again. One home of three
    // then refuses requests at a fraction of the load.
    bool slotsAreExact = false;
};

// Upstreams that use the PostgreSQL protocol and provide the control functions in SQL.
std::shared_ptr<const UpstreamDialect> postgresDialect();

} // namespace egrettide
