// Whether this host is on the losing side of a network partition, and what its callers
// get out of that.
//
// What goes wrong without it: a zone is cut off from the others and from the platform's
// store, but not from its callers. Its hosts can reach the primary of hardly any
// database, and may serve reads only for as long as the accepted age. Callers keep their
// connections and go on asking there, while hosts that could serve them stand beside.
//
// So such a host says that it is not ready, and once the balancer has had time to notice,
// it closes the sessions that it had; they reconnect to a host that can serve them. Of the
// requests of nine hosts in three zones, one of them cut off for 6 s, 0.66 to 0.73 were
// served in time in seconds 3 to 6 of the cut, 0.91 to 0.99 with this (days with other trouble
// besides, in simulated time).
//
// A host that holds the others for lost may be the one that is left: it asks the store
// before it believes otherwise. Who reaches the store stays.
//
// Pure: what is seen of the others and of the store comes in, decisions come out.

#pragma once

#include "egrettide/core/types.h"

#include <cstddef>

namespace egrettide
{

// The other hosts as one host sees them. A host that announced its departure counts
// nowhere.
struct HostReach {
    std::size_t live = 0;
    // Suspect, or found dead within HostReach::lossWindow.
    std::size_t lost = 0;
    // The same for the hosts of other availability zones.
    std::size_t liveElsewhere = 0;
    std::size_t lostElsewhere = 0;

    // A partition shows as many losses in about a second: all suspicions of a fleet of 510
    // hosts end within 4 s. A host that died longer ago tells nothing about this moment.
    static constexpr milliseconds lossWindow{10'000};

    bool operator==(const HostReach &) const = default;
};

struct PartitionOptions {
    // How long the store may take to answer before this host says that it is not ready. It
    // answers in 4 ms, and in 0.25 s when it is slow: an answer that comes later still
    // counts, and makes the host ready again.
    milliseconds storePatience{150};
    // How long an answer is waited for, and the spacing of questions while a partition is
    // suspected or lasts: each is counted by the platform.
    milliseconds askAgain{1000};
    // How long the balancer takes to send new callers elsewhere.
    milliseconds balancerNotice{0};
    // After so many answers in a row that the host is not ready the balancer does so; 0
    // when that is not known.
    int balancerMisses = 0;
    // From the last of these answers to the balancer's decision.
    milliseconds missSettles{50};
    // Callers are moved again after this long, then after twice as long each time, up to
    // the second: hosts of one zone find out one after the other, and while one of them
    // still counts as ready, sessions that another one has closed come back to the zone.
    // Where there is no better place, a session reconnects so often and no more.
    milliseconds firstMoveSpacing{1000};
    milliseconds longestMoveSpacing{30'000};
    // Off only to measure what it is worth.
    bool enabled = true;
};

// The decision of one host. Not thread-safe; lives on the control thread.
class PartitionDetector
{
public:
    explicit PartitionDetector(const PartitionOptions &options);

    // Takes what the membership sees now.
    void onReach(const HostReach &reach, TimePoint now);
    // The store has answered a question, or has not within PartitionOptions::askAgain.
    void onStoreAnswer(bool answered, TimePoint now);
    // The balancer was told whether this host is ready.
    void onReadinessTold(bool ready, TimePoint now);
    // What is due by now; call it at nextEventAt() or sooner.
    void onTimer(TimePoint now);

    // When something changes by itself; max() for never.
    TimePoint nextEventAt() const;
    // True once for each question that is due.
    bool asksStore(TimePoint now);
    // True each time when the sessions that are open now are better served elsewhere.
    bool movesCallers(TimePoint now);

    // True while the others look as if this host were cut off, whatever the store says.
    bool isSuspected() const;
    // True while this host holds itself for cut off: it is not ready for callers.
    bool isCutOff() const;

private:
    bool looksCutOff(const HostReach &reach) const;
    void holdForCutOff(TimePoint now);
    void reconnect();
    void mend();

    const PartitionOptions m_options;
    // The most hosts that were lost at once since the partition was first suspected; 0
    // while none is.
    std::size_t m_lost = 0;
    std::size_t m_lostElsewhere = 0;
    bool m_suspected = false;
    // Invariant: implies m_suspected.
    bool m_cutOff = false;
    // max() while no question is due, or one is under way.
    TimePoint m_askAt = TimePoint::max();
    // When the question that is under way has been silent for too long; else max().
    TimePoint m_silentAt = TimePoint::max();
    // max() unless this host holds itself for cut off.
    TimePoint m_moveAt = TimePoint::max();
    milliseconds m_moveSpacing{0};
    // Answers in a row, since this host holds itself for cut off, that it is not ready.
    int m_misses = 0;
};

} // namespace egrettide
