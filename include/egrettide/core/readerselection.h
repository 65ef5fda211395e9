// Selects the hosts of an availability zone that read the store for the zone (store
// readers).

#pragma once

#include "egrettide/core/types.h"

#include <cstddef>
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
    // Disables the selection: every host reads the store itself.
    bool allHostsRead = false;
};

// Makes the decision for one host. All hosts of a zone use the same order of candidates; the
// first one reads. A reader that does not reach the store hands over to the next candidate
// and keeps trying. Two readers at once are harmless, whereas without a reader a new
// configuration does not come into force; in doubt, one more host reads.
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

    // True while this host is a reader, which has to watch the store for changes.
    bool isReader(TimePoint now) const;
    // The host to which this reader has to send a hand-over at `now`, because it does not
    // reach the store; nothing if none is due.
    std::optional<std::string> handOverTarget(TimePoint now);

private:
    // The host's index among the candidates; nothing if it is leaving and so not among them.
    std::optional<std::size_t> rank() const;

    const std::string m_self;
    const ReaderSelectionOptions m_options;
    std::vector<std::string> m_candidates;
    bool m_candidatesKnown = false;
    bool m_storeReachable = true;
    TimePoint m_handedOverUntil;
    TimePoint m_nextHandOverAt;
};

} // namespace egrettide
