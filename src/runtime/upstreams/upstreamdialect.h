// What sets one kind of upstreams apart from another: how to connect, how to word
// what egrettide itself sends, and what such an upstream proves by itself.

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
    // Orders to promote from now on go to another address; set where control.promote is.
    std::function<void(const boost::asio::ip::tcp::endpoint &orders)> moveOrders;
    // A batch that rolls the open transaction back.
    std::string rollback;
    // True when an upstream checks a required mark against its own log and refuses
    // the read otherwise; see BatchOrder::requiredMark.
    bool checksMarks = false;
    // True when a primary that has been replaced knows it: its own word then proves
    // that it leads, and no majority is asked.
    bool leaderProvesItself = false;
    // True when upstreams have to know for which workspace a statement runs: a connection is
    // then opened in its name and used for it alone.
    bool connectsAsWorkspace = false;
    // True when an upstream refuses what exceeds its slots and queue, and its slots are
    // exactly as many as it says.
    //
    // What goes wrong with a limit that follows the observed latency there: a home that
    // is new learns from a few quick statements, takes every usual one for slow, and
    // lowers its limit to one; with a queue standing before it, it never rises again.
    // One notices refusals for good at a fraction of the load, on one home of three.
    bool slotsAreExact = false;
};

// Upstreams that speak PostgreSQL and answer the control functions as SQL.
std::shared_ptr<const UpstreamDialect> postgresDialect();

} // namespace egrettide
