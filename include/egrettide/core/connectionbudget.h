// Limits how many data connections the home of an upstream may hold to it, and decides
// how many it keeps open ahead of demand. The home is the one host that holds an
// upstream's connections and slots.
//
// While membership views differ, two hosts can act as home at once. Without a limit, both
// use up the upstream's connections, and the observers and promoters that resolve the
// conflict are refused with SQLSTATE 53300. The shares of any two such hosts, settled or
// not, fit into the limit less the control reserve, and so do those of three hosts of
// which one is settled. docs/design/connections.md covers the remaining cases.

#pragma once

#include "egrettide/core/types.h"

namespace egrettide
{

// Each switch disables one mechanism, so that a test can show that its check fails
// without it. Never set in production.
struct ConnectionBudgetFaults {
    // Every home may hold all data connections.
    bool ignoreShares = false;
    // A new home has the settled share at once.
    bool skipTakeoverShare = false;
    // A hand back counts even if its sender was not settled.
    bool trustUnsettledHandBack = false;
    // A home keeps its settled share without confirmation by other hosts.
    bool keepShareUnconfirmed = false;
    // Refusals by the upstream are ignored.
    bool ignoreRefusals = false;
};

struct ConnectionBudgetOptions {
    // Connections that the upstream accepts.
    int limit = 1;
    // Kept free for the status connections of observers and promoters.
    int controlReserve = 6;
    // The fraction of the data connections (limit less reserve) of a settled home. At
    // most a half, so that two hosts that both count as settled fit in.
    double settledShare = 0.5;
    // The fraction of a home that is not settled. At most a quarter, so that two such
    // homes fit in beside a settled one.
    double takeoverShare = 0.25;
    // How long a confirmation by a majority holds. A settled home without one has only
    // the takeover share, since another host may have replaced it without its notice.
    milliseconds confirmationBound{2000};
    // How long a home may take to close connections above its allowance.
    milliseconds shedBound{10000};
    // A home that receives no hand back settles once it has been confirmed without a gap
    // for this long. It must exceed two shedBounds and three confirmationBounds, plus the
    // delivery time of a hand back.
    milliseconds takeoverBound{30000};
    // How long a refusal by the upstream lowers the allowance.
    milliseconds refusalBackoff{5000};
    // A connection is closed after it has been above demand for one to two of these.
    milliseconds idleBound{30000};
    // The minimum number of open connections, usually the upstream's slots.
    int minimumWarm = 1;
    // Connections kept open in addition to the recent peak of demand.
    int spare = 1;
    ConnectionBudgetFaults faults;
};

enum class HomeState {
    // Not home: opens no connections and closes those that are open.
    None,
    // Home, but a predecessor may still hold connections, or a successor may have
    // taken over already.
    Takeover,
    // Home, and as far as this host can tell no predecessor holds connections.
    Settled,
};

// The current load of an upstream's home.
struct ConnectionDemand {
    // Statements that hold a slot.
    int inUse = 0;
    // Statements that wait for a slot.
    int queued = 0;
    // Open transactions; each keeps its connection between its statements.
    int transactions = 0;
    // Statements that the upstream runs at once.
    int slots = 1;
};

// How many connections the demand can use. Queued statements beyond the slots don't count:
// otherwise a home that starts with a queue opens as many connections as it may. Opening
// one takes a slot for 10 to 30 ms, so 14 of them occupy an upstream of 2 slots for 0.2 s
// while callers wait.
int connectionsFor(const ConnectionDemand &demand);

// The message of a home that resigned to its successor, sent once it holds no data
// connection.
struct HandBack {
    // False if the sender was not settled, so that connections of its own predecessor
    // may still be open; the successor then has to wait for these.
    bool settled = false;
};

// One instance per upstream that this host is or was home of.
class ConnectionBudget
{
public:
    explicit ConnectionBudget(const ConnectionBudgetOptions &options);

    // Applies new options. Connections above a lower allowance must be closed within
    // shedBound.
    void configure(const ConnectionBudgetOptions &options, TimePoint now);

    // This host has become home in its own view. No effect if it already is.
    void becomeHome(TimePoint now);
    // This host is no longer home in its own view; it may open no more connections.
    void resign(TimePoint now);
    // The previous home has reported that it holds no connections. Call this only for
    // the previous home in this host's own view, and only for a message delivered within
    // two confirmationBounds.
    void onHandedBack(const HandBack &handBack, TimePoint now);
    // A majority of the zone's known hosts, this one included, sees this host as home.
    // The confirmation holds from `askedAt`, when they were asked, not from their answers.
    void confirmed(TimePoint askedAt);
    // This host was suspended and has resumed: earlier confirmations and hand backs are
    // stale.
    void suspended(TimePoint now);
    // The upstream refused a connection (SQLSTATE 53300) while `open` data
    // connections were open here.
    void refused(int open, TimePoint now);
    // Reports how many connections the current demand can use; see connectionsFor().
    void demand(int connections, TimePoint now);

    // How many data connections may be open now. A home that holds more closes idle
    // ones at once, and busy ones when their statement ends, at the latest at the deadline
    // below.
    int allowance(TimePoint now) const;
    // When connections above the allowance must be closed even if they are busy; a time
    // in the past if there should be none. A refusal by the upstream does not bring this
    // forward, so it ends no running statement.
    TimePoint shedDeadline(TimePoint now) const;
    // How many connections to keep open, so that requests need not wait for one to be
    // opened; never above allowance().
    int target(TimePoint now) const;
    // How many transactions may be open at once so that statements outside of
    // transactions still find a connection: the allowance less the slots, at least one.
    int transactionLimit(int slots, TimePoint now) const;
    // The allowance of a settled home, in connections.
    int settledConnections() const;
    // The allowance of a home that is not settled, in connections.
    int takeoverConnections() const;
    HomeState state(TimePoint now) const;
    // The message to the successor once no data connection is open here; to be sent to
    // one host only. Only the first call returns settled = true, and only within
    // shedBound after resign(): later, another home may have settled by takeoverBound.
    HandBack handBack(TimePoint now);
    // When allowance() or target() may change without an event; TimePoint::max() if never.
    TimePoint nextEventAt(TimePoint now) const;

private:
    int dataConnections() const;
    int shareOf(double share) const;
    bool isConfirmed(TimePoint now) const;
    void unsettle(TimePoint now);

    ConnectionBudgetOptions m_options;
    bool m_isHome = false;
    // Valid while home: settled from then on, while confirmed.
    TimePoint m_settlesAt = TimePoint::max();
    // The confirmations received so far expire then.
    TimePoint m_confirmedUntil = TimePoint::min();
    // A hand back counts for a confirmation asked for until then.
    TimePoint m_handedBackUntil = TimePoint::min();
    // Connections above the allowance must be closed by then, after the loss of the
    // settled share or a lower limit.
    TimePoint m_shedToTakeoverBy = TimePoint::min();
    // All connections must be closed by then; valid while not home.
    TimePoint m_shedAllBy = TimePoint::min();
    // This host was settled when it last resigned and has not sent its hand back yet.
    bool m_resignedSettled = false;
    // A refusal by the upstream limits the allowance to m_refusedAllowance until then.
    TimePoint m_refusedUntil = TimePoint::min();
    int m_refusedAllowance = 0;
    // The highest demand in the current window of idleBound and in the previous one.
    int m_peak = 0;
    int m_lastPeak = 0;
    TimePoint m_windowEndsAt = TimePoint::min();
};

} // namespace egrettide
