// Texts and kinds of the errors of a home.

#include "runtime/upstreams/homeerrors.h"

namespace egrettide::homeerrors
{

Error notHome(const std::string &upstream)
{
    return {ErrorKind::Moved, "This host is not the home of '" + upstream + "'; ask the host that is.", retrySoon};
}

Error upstreamLeaving(const std::string &upstream)
{
    return {ErrorKind::Leaving, "The upstream '" + upstream + "' is leaving; use another one.", retrySoon};
}

Error primaryLeaving(const std::string &database)
{
    return {ErrorKind::NoPrimary, "The primary of '" + database + "' is leaving and has no successor yet; retry shortly.",
            retrySoon};
}

Error noPrimary(const std::string &database)
{
    return {ErrorKind::NoPrimary, "No primary of '" + database + "' is known yet; retry shortly.", retrySoon};
}

Error primaryElsewhere(const std::string &database, const std::string &primary)
{
    return {ErrorKind::Moved, "The primary of '" + database + "' is '" + primary + "'; ask its home.", milliseconds{0}};
}

Error fenced(const std::string &upstream)
{
    return {ErrorKind::Moved, "The upstream '" + upstream + "' no longer accepts writes; ask the new primary.", retrySoon};
}

Error notFresh(const std::string &upstream, FreshnessReason reason)
{
    const std::string why(nameOf(reason));
    return {ErrorKind::NotFresh,
            "The upstream '" + upstream + "' is not fresh enough in time (" + why
                + "); read from another one or accept an older state.",
            retrySoon};
}

Error deadlinePassed()
{
    return {ErrorKind::DeadlineExceeded, "The deadline passed before anything was sent; ask again with more time.", retrySoon};
}

Error deadlinePassedUnanswered()
{
    return {ErrorKind::DeadlineExceeded, "the deadline passed before it came", retrySoon};
}

Error noSlot()
{
    return {ErrorKind::Overloaded, "No slot is free in time; retry later.", retrySoon};
}

Error upstreamBusy(const std::string &upstream)
{
    return {ErrorKind::Overloaded, "The upstream '" + upstream + "' cannot accept another statement; retry later.", retrySoon};
}

Error transactionGone()
{
    return {ErrorKind::Moved, "The transaction is no longer open; it was rolled back. Start it again.", retrySoon};
}

Error transactionBusy()
{
    return {ErrorKind::InvalidInput, "A statement of this transaction is still running; wait for its answer."};
}

Error cancelled()
{
    return {ErrorKind::DeadlineExceeded, "The request was cancelled; nothing was sent."};
}

Error frontGone()
{
    return {ErrorKind::Leaving, "The host that sent the request has disconnected; nothing was sent."};
}

Error hostStops()
{
    return {ErrorKind::Leaving, "This host is stopping; nothing was sent. Ask another one.", retrySoon};
}

Error primaryReplaced()
{
    return {ErrorKind::Moved, "The primary was replaced; ask the new one.", retrySoon};
}

Error lostRead(const std::string &cause)
{
    return {ErrorKind::Moved, cause + "; the read may be repeated elsewhere.", retrySoon};
}

Error oversizedRead(const std::string &cause)
{
    return {ErrorKind::Unsupported, cause + "."};
}

Error lostWrite(const std::string &cause)
{
    return {ErrorKind::UnknownOutcome, cause + "; check whether the statement took effect before you repeat it."};
}

Error readGivenUp(ErrorKind reason)
{
    return {reason, "The read was given up before its answer came; repeat it with more time.", retrySoon};
}

Error unconfirmed(CommitOutcome outcome)
{
    const std::string cause = outcome == CommitOutcome::LostPrimary ? "the primary was replaced before a majority held the write"
                                                                    : "no majority confirmed the write in time";
    return {ErrorKind::UnknownOutcome,
            "The outcome is unknown: " + cause + "; check whether it took effect before you repeat it."};
}

} // namespace egrettide::homeerrors
