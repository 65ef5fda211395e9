// What sets one kind of upstreams apart from another: how to connect, how to word
// what egrettide itself sends, and what such an upstream proves by itself.

#pragma once

#include "runtime/groupcontrol.h"
#include "runtime/upstreamlink.h"

#include <memory>
#include <string>

namespace egrettide
{

struct UpstreamDialect {
    ControlPort control;
    // A batch that rolls the open transaction back.
    std::string rollback;
    // True when an upstream checks a required mark against its own log and refuses
    // the read otherwise; see BatchOrder::requiredMark.
    bool checksMarks = false;
    // True when a primary that has been replaced knows it: its own word then proves
    // that it leads, and no majority is asked.
    bool leaderProvesItself = false;
};

// Upstreams that speak PostgreSQL and answer the control functions as SQL.
std::shared_ptr<const UpstreamDialect> postgresDialect();

} // namespace egrettide
