// Decides how many data connections the home of an upstream may hold to it, and
// how many it should keep open ahead of demand.
//
// What goes wrong without it: two hosts believe that they are home while views
// differ, both fill up the upstream's connections, and the observers and
// promoters that should end the trouble are refused with SQLSTATE 53300. The
// shares here add up to less than the limit for any two such hosts.

#pragma once

#include "egrettide/core/types.h"

namespace egrettide
{

// Switches that take one mechanism out, so that its proof can be shown to fail.
struct ConnectionBudgetFaults {
    // A new home takes the full share at once.
    bool skipTakeoverShare = false;
    // A hand back counts even from a home that was never settled itself.
    bool trustUnsettledHandBack = false;
    // A home keeps its full share without any confirmation from others.
    bool keepShareUnconfirmed = false;
    bool ignoreRefusals = false;
};

struct ConnectionBudgetOptions {
    // Connections that the upstream accepts.
    int limit = 1;
    // Kept free for the status connections of observers and promoters.
    int controlReserve = 6;
    // The part of the data connections that a home may use before it is settled,
    // and that a settled home leaves to its successor.
    double takeoverShare = 1.0 / 3;
    // A settled home that no other host confirmed for this long falls back to
    // the takeover share: it may have been replaced without hearing of it.
    milliseconds confirmationBound{2000};
    // A home that nobody handed over to settles after this long. It must exceed
    // confirmationBound, plus the time in which a home closes surplus connections
    // and in which the upstream closes connections that fell silent.
    milliseconds takeoverBound{15000};
    // How long a refusal of the upstream holds the allowance down.
    milliseconds refusalBackoff{5000};
    // Connections above demand are closed after they were spare for this long.
    milliseconds idleBound{30000};
    // Connections kept open above the recent peak of demand.
    int spare = 1;
    ConnectionBudgetFaults faults;
};

enum class HomeState {
    // Not home: opens nothing, closes what is idle.
    None,
    // Home, but a predecessor may still hold its share.
    Takeover,
    // Home, and nobody before it holds more than the takeover share.
    Settled,
};

// What a home that resigned tells its successor once it holds no data connection.
struct HandBack {
    // False when that home itself was still waiting for its own predecessor; the
    // successor then takes over that wait.
    bool settled = false;
};

// One per upstream that this host is, or was, home of.
class ConnectionBudget
{
public:
    explicit ConnectionBudget(const ConnectionBudgetOptions &options);

    // Becomes home by this host's view. Becoming home again while home changes
    // nothing.
    void becomeHome(TimePoint now);
    // Stops being home by this host's view; nothing may be opened any more.
    void resign(TimePoint now);
    // The predecessor said that it holds nothing any more.
    void handedBack(const HandBack &handBack, TimePoint now);
    // Another host of the zone said that it sees this host as home.
    void confirmed(TimePoint now);
    // This host did not run for a while: what it knew of its place is stale.
    void paused(TimePoint now);
    // The upstream refused a connection (SQLSTATE 53300) while `open` data
    // connections were open here.
    void refused(int open, TimePoint now);
    // Tells the demand: statements in use or waiting, plus open transactions.
    void demand(int connections, TimePoint now);

    // How many data connections may be open now. A home that holds more closes
    // idle ones at once and busy ones as they end.
    int allowance(TimePoint now) const;
    // How many to keep open now, so that no request waits for an opening; never
    // above allowance().
    int target(TimePoint now) const;
    // The share that a settled home has in the best case.
    int settledShare() const;
    // The share that a home has before it is settled.
    int takeoverShare() const;
    HomeState state(TimePoint now) const;
    // What to tell the successor once no data connection is open here.
    HandBack handBack() const;
    // When allowance() or target() may change by itself; TimePoint::max() if never.
    TimePoint nextEventAt(TimePoint now) const;

private:
    int shareAt(TimePoint now) const;
    bool isConfirmed(TimePoint now) const;

    ConnectionBudgetOptions m_options;
    HomeState m_state = HomeState::None;
    // When a home that hears of no hand back settles; meaningful in Takeover.
    TimePoint m_settlesAt = TimePoint::max();
    // The last confirmation holds until then.
    TimePoint m_confirmedUntil = TimePoint::min();
    // A refusal of the upstream holds the allowance at m_refusedAllowance until then.
    TimePoint m_refusedUntil = TimePoint::min();
    int m_refusedAllowance = 0;
    // The highest demand of the running and of the last idle window.
    int m_peak = 0;
    int m_lastPeak = 0;
    TimePoint m_windowEndsAt = TimePoint::min();
    // True once this host's own term as home was settled; what handBack() tells.
    bool m_wasSettled = false;
};

} // namespace egrettide
