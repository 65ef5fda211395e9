// What a home tells callers when a request is refused, lost or unproven: the kind
// fixes what they may conclude, the text names the remedy.

#pragma once

#include "egrettide/core/commitgate.h"
#include "egrettide/core/error.h"
#include "egrettide/core/freshnessgate.h"

#include <string>

namespace egrettide::homeerrors
{

// When to come back after a refusal that a new view of the group will lift.
constexpr milliseconds retrySoon{50};

// Nothing was sent: this host is not, or no longer, the home.
Error notHome(const std::string &upstream);
// Nothing was sent: the upstream is being taken away.
Error upstreamLeaving(const std::string &upstream);
// Nothing was sent: no primary is known.
Error noPrimary(const std::string &database);
// Nothing was sent: another upstream is the primary.
Error primaryElsewhere(const std::string &database, const std::string &primary);
// Sent, and refused by an upstream that takes no writes any more: nothing ran.
Error fenced(const std::string &upstream);
// Nothing was sent: the upstream cannot serve the read in time.
Error notFresh(const std::string &upstream, FreshnessReason reason);
// Nothing was sent: the deadline had passed.
Error deadlinePassed();
// The cause of an unknown outcome; it completes the ledger's sentence.
Error deadlinePassedUnanswered();
Error noSlot();
Error upstreamBusy(const std::string &upstream);
// Nothing was sent: its transaction was rolled back before.
Error transactionGone();
// Nothing was sent: the transaction's last statement has no answer yet.
Error transactionBusy();
Error cancelled();
Error frontGone();
Error hostStops();
Error primaryReplaced();

// Sent, and the answer was lost for the reason that `cause` states.
Error lostRead(const std::string &cause);
Error oversizedRead(const std::string &cause);
Error lostWrite(const std::string &cause);
// A read that was sent and given up; `reason` says why.
Error readGivenUp(ErrorKind reason);
// Ran, and its commit could not be proven.
Error unconfirmed(CommitOutcome outcome);

} // namespace egrettide::homeerrors
