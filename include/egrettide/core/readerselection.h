// Selects the hosts of an availability zone that read the store for the zone (store
// readers).

#pragma once

#include "egrettide/core/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

struct ReaderSelectionOptions {
    // The maximum number of hosts of one zone that read at the same time. It bounds the
    // futile calls while the store is down; if the store refuses single hosts, it is unlikely
    // that all three are among them.
    std::size_t maxReaders = 3;
    // How long a hand-over from a reader that does not reach the store stays valid: three
    // times the interval at which it is repeated, so that a single lost message has no effect.
    milliseconds handOverValidity{3000};
    // The interval at which such a reader repeats the hand-over.
    milliseconds handOverInterval{1000};
    // The age of the zone's newest confirmation at which other hosts begin to read. A reader's two
    // waiting calls end alternately, at most 1.4 s apart; the rest is for an answer that is late
    // and for its way to the zone.
    milliseconds confirmationBound{1600};
    // How long a stand-in reads before the next ones begin: the time for one answered call and
    // the way of its confirmation to the zone.
    milliseconds standInStep{300};
    // While nobody confirms, each host beyond `maxReaders` tries again after this many steps.
    std::uint32_t standInCycle = 13;
    // In a zone of up to this many hosts, each reads its first copy itself; in a larger one the
    // first `maxReaders` do, and the others receive theirs from them. A fleet that starts together
    // would otherwise wait for more than the store's link carries.
    std::size_t maxStartupReaders = 8;
    // Disables the selection: every host reads the store itself.
    bool allHostsRead = false;
};

// Makes the decision for one host. All hosts of a zone use the same order of candidates; the
// first one reads. A reader that does not reach the store hands over to the next candidate
// and keeps trying. Two readers at once are harmless, whereas without a reader a new
// configuration does not come into force; in doubt, one more host reads.
//
// Readers tell their zone of each answer of the store (a confirmation). When none has arrived for
// `confirmationBound`, hosts stand in by their rank, in steps of twice as many hosts each, until
// one of them confirms. So the delay until any host that reaches the store reads it grows with the
// logarithm of the zone's size, whichever other hosts do not reach it, and no reader's failure is
// waited for after another's.
//
// Pure: the time is passed in. Not thread-safe.
class ReaderSelection
{
public:
    explicit ReaderSelection(std::string self, ReaderSelectionOptions options = {});

    // Sets the hosts of the zone that are not leaving, in order of preference. Until the first
    // call the host is not a reader; it reads no more than its initial copy.
    void onCandidates(std::vector<std::string> candidates);
    // Records whether the store answers this host.
    void onStoreReachable(bool reachable);
    // Records that the preceding candidate reported that it does not reach the store.
    void onHandOver(TimePoint now);
    // Records that this host has a copy to keep current; it stands in for nobody before.
    void onCopyKnown(TimePoint now);
    // Records that the store answered this host.
    void onStoreAnswered(TimePoint now);
    // Records that `host`, another reader of the zone, reported an answer of the store.
    void onConfirmed(const std::string &host, TimePoint now);

    // Sets the hosts of the zone on the store's list, this one included, in order of preference. They
    // may no longer exist. An outdated list may lack hosts that started at the same time as this one.
    void onListed(std::vector<std::string> listed, bool isCurrent);

    // Whether this host, which holds no copy yet, reads its first one itself.
    bool readsFirstCopy() const;
    // The other hosts of the list that read their first copy themselves, in order of preference.
    std::vector<std::string> firstReaders() const;
    // True while this host is a reader, which has to watch the store for changes.
    bool isReader(TimePoint now) const;
    // The next time after `now` at which this host may become a reader without another event.
    TimePoint nextCheckAt(TimePoint now) const;
    // The time since the zone's newest confirmation, as far as this host knows; zero before the first.
    milliseconds confirmationAge(TimePoint now) const;
    // The host to which this reader has to send a hand-over at `now`, because it does not
    // reach the store; nothing if none is due.
    std::optional<std::string> handOverTarget(TimePoint now);

private:
    bool isFirstListed() const;
    // A host's index among the candidates; nothing if it is leaving and so not among them.
    std::optional<std::size_t> rankOf(const std::string &host) const;
    bool isUnconfirmed(TimePoint now) const;
    bool standsIn(std::size_t rank, TimePoint now) const;

    const std::string m_self;
    const ReaderSelectionOptions m_options;
    std::vector<std::string> m_candidates;
    // Empty until the store's list is known.
    std::vector<std::string> m_listed;
    bool m_listIsCurrent = false;
    bool m_candidatesKnown = false;
    bool m_storeReachable = true;
    TimePoint m_handedOverUntil;
    TimePoint m_nextHandOverAt;
    // The newest confirmation by another host; before one arrives, when this host got its copy.
    std::optional<TimePoint> m_confirmedAt;
    // The store's newest answer to this host as a reader; empty once a preceding host confirms.
    std::optional<TimePoint> m_answeredAt;
};

} // namespace egrettide
