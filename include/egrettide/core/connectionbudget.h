// Decides how many data connections the home of an upstream may hold to it, and
// how many it should keep open ahead of demand.
//
// What goes wrong without it: two hosts believe that they are home while views
// differ, both fill up the upstream's connections, and the observers and
// promoters that should end the trouble are refused with SQLSTATE 53300. Here the
// shares of any two such hosts, settled or not, add up to less than the limit, and
// so do those of three of which one is settled, with the control reserve untouched.
// docs/design/connections.md says what holds beyond that.

#pragma once

#include "egrettide/core/types.h"

namespace egrettide
{

// Switches that take one mechanism out, so that its proof can be shown to fail.
struct ConnectionBudgetFaults {
    // Every home takes all data connections.
    bool ignoreShares = false;
    // A new home takes the settled share at once.
    bool skipTakeoverShare = false;
    // A hand back counts even from a home that was never settled itself.
    bool trustUnsettledHandBack = false;
    // A home keeps its settled share without any confirmation from others.
    bool keepShareUnconfirmed = false;
    // A refusal by the upstream changes nothing.
    bool ignoreRefusals = false;
};

struct ConnectionBudgetOptions {
    // Connections that the upstream accepts.
    int limit = 1;
    // Kept free for the status connections of observers and promoters.
    int controlReserve = 6;
    // The part of the data connections (limit less reserve) of a settled home. At
    // most a half, so that two hosts that both believe to be settled fit in.
    double settledShare = 0.5;
    // The part of a home that is not settled. At most a quarter, so that two such
    // homes fit in beside a settled one.
    double takeoverShare = 0.25;
    // A settled home that the others did not confirm for this long falls back to
    // the takeover share: it may have been replaced without hearing of it.
    milliseconds confirmationBound{2000};
    // How long a home may take to close what it holds above its allowance.
    milliseconds shedBound{10000};
    // A home that nobody handed over to settles once it was confirmed without a gap
    // for this long. It has to exceed two shedBounds and three confirmationBounds,
    // plus the time that a hand back may be on its way.
    milliseconds takeoverBound{30000};
    // How long a refusal of the upstream holds the allowance down.
    milliseconds refusalBackoff{5000};
    // A connection is closed after it was above demand for one to two of these.
    milliseconds idleBound{30000};
    // Kept open at least, usually the upstream's slots.
    int minimumWarm = 1;
    // Kept open above the recent peak of demand.
    int spare = 1;
    ConnectionBudgetFaults faults;
};

enum class HomeState {
    // Not home: opens nothing, closes what it has.
    None,
    // Home, but a predecessor may still hold connections, or a successor may have
    // taken over already.
    Takeover,
    // Home, and no predecessor holds anything by all that is known here.
    Settled,
};

// What an upstream's home has to do at a moment.
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

// How many connections the demand can use. What goes wrong when each queued statement
// counts for one: after a home has moved, a queue stands before it, and it opens as many
// connections as it may. Each opening takes a slot for 10 to 30 ms, so 14 of them keep
// an upstream of 2 slots busy for 0.2 s with nothing but openings while callers wait.
int connectionsFor(const ConnectionDemand &demand);

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

    // Takes over new limits and bounds. What is open above a lower allowance has
    // shedBound to end.
    void configure(const ConnectionBudgetOptions &options, TimePoint now);

    // Becomes home by this host's view. Becoming home again while home changes
    // nothing.
    void becomeHome(TimePoint now);
    // Stops being home by this host's view; nothing may be opened any more.
    void resign(TimePoint now);
    // The home before this one said that it holds nothing any more. Only to be
    // called for the home that this host's own view named last, and only for a
    // message that was on its way for at most two confirmationBounds.
    void handedBack(const HandBack &handBack, TimePoint now);
    // A majority of the zone's known hosts, this one included, saw this host as home;
    // `askedAt` is when they were asked, so that a slow answer proves less.
    void confirmed(TimePoint askedAt);
    // This host did not run for a while: what it knew of its place is stale.
    void suspended(TimePoint now);
    // The upstream refused a connection (SQLSTATE 53300) while `open` data
    // connections were open here.
    void refused(int open, TimePoint now);
    // Tells the connections that the present demand can use; see connectionsFor().
    void demand(int connections, TimePoint now);

    // How many data connections may be open now. A home that holds more closes
    // idle ones at once, and busy ones as they end or at shedsBy().
    int allowance(TimePoint now) const;
    // When connections above the allowance have to be closed even if busy; in the
    // past when there should be none. Refusals of the upstream cut nothing busy.
    TimePoint shedsBy(TimePoint now) const;
    // How many to keep open now, so that no request waits for an opening; never
    // above allowance().
    int target(TimePoint now) const;
    // How many transactions may be open at once if each statement outside of
    // transactions is to find a connection: the allowance less the slots, at least one.
    int transactionPlaces(int slots, TimePoint now) const;
    // The share that a settled home has.
    int settledConnections() const;
    // The share that a home has before it is settled.
    int takeoverConnections() const;
    HomeState state(TimePoint now) const;
    // What to tell the successor once no data connection is open here; to be sent to
    // one host only. A settled term is handed back once, and not after shedBound
    // since resign(): a later one could meet a home that settled by time.
    HandBack handBack(TimePoint now);
    // When allowance() or target() may change by itself; TimePoint::max() if never.
    TimePoint nextEventAt(TimePoint now) const;

private:
    int dataConnections() const;
    int shareOf(double share) const;
    bool isConfirmed(TimePoint now) const;
    void unsettle(TimePoint now);

    ConnectionBudgetOptions m_options;
    bool m_isHome = false;
    // Meaningful while home: settled from then on, as far as it is confirmed.
    TimePoint m_settlesAt = TimePoint::max();
    // The confirmations received so far hold until then.
    TimePoint m_confirmedUntil = TimePoint::min();
    // A hand back counts for a confirmation asked for until then.
    TimePoint m_handedBackUntil = TimePoint::min();
    // Connections above the allowance have to be closed by then, after a fall from
    // the settled share or a lower limit.
    TimePoint m_shedToTakeoverBy = TimePoint::min();
    // All connections have to be closed by then; only counts while not home.
    TimePoint m_shedAllBy = TimePoint::min();
    // This host's last term was settled when it resigned and is not handed back yet.
    bool m_resignedSettled = false;
    // A refusal of the upstream holds the allowance at m_refusedAllowance until then.
    TimePoint m_refusedUntil = TimePoint::min();
    int m_refusedAllowance = 0;
    // The highest demand of the running window and of the one before it.
    int m_peak = 0;
    int m_lastPeak = 0;
    TimePoint m_windowEndsAt = TimePoint::min();
};

} // namespace egrettide
