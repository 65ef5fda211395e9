// The errors with which a home answers a request that is refused, lost or not
// confirmed. The kind states whether the request ran, the text names the remedy.

#pragma once

#include "egrettide/core/commitgate.h"
#include "egrettide/core/error.h"
#include "egrettide/core/freshnessgate.h"

#include <string>

namespace egrettide::homeerrors
{

// The delay before a retry, for refusals that end with a newer snapshot of the group.
constexpr milliseconds retrySoon{50};

// Nothing was sent: this host is not, or no longer, the home.
Error notHome(const std::string &upstream);
// Nothing was sent: the upstream is being removed.
Error upstreamLeaving(const std::string &upstream);
// Nothing was sent: no primary is known.
Error primaryLeaving(const std::string &database);
Error noPrimary(const std::string &database);
// Nothing was sent: another upstream is the primary.
Error primaryElsewhere(const std::string &database, const std::string &primary);
// Sent, and refused by an upstream that no longer accepts writes: nothing ran.
Error fenced(const std::string &upstream);
// Nothing was sent: the upstream cannot serve the read in time.
Error notFresh(const std::string &upstream, FreshnessReason reason);
// Nothing was sent: the deadline had passed.
Error deadlinePassed();
// The cause of an unknown outcome; RequestLedger puts its text into the message.
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
// A read that was sent and abandoned for `reason`.
Error readGivenUp(ErrorKind reason);
// Ran, but its commit was not confirmed.
Error unconfirmed(CommitOutcome outcome);

} // namespace egrettide::homeerrors
