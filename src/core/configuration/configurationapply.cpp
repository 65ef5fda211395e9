// Implementation of ConfigurationApply. All writes of one attempt carry the same value
// and the same expected version. However often a write is repeated and however late a
// copy arrives, at most one takes effect, and none once the object has a newer version.

#include "egrettide/core/configurationapply.h"

#include <algorithm>
#include <utility>

namespace egrettide
{

namespace
{

// Backoff between failed calls to the store; doubles from the first value to the maximum.
constexpr milliseconds FirstRetryDelay{50};
constexpr milliseconds MaxRetryDelay{1000};

AppliedEntry entryOf(const StoredHead &stored)
{
    return {stored.head.applyId, stored.head.who, stored.version};
}

// The object's history: the earlier entries that it holds, then its own.
std::vector<AppliedEntry> historyOf(const StoredHead &stored)
{
    std::vector<AppliedEntry> history = stored.head.earlier;
    history.push_back(entryOf(stored));
    return history;
}

const AppliedEntry *findById(const std::vector<AppliedEntry> &history, const std::string &applyId)
{
    const auto found =
        std::find_if(history.begin(), history.end(), [&applyId](const AppliedEntry &entry) { return entry.applyId == applyId; });
    return found == history.end() ? nullptr : &*found;
}

// The entry that replaced version `base`; null if the history does not reach back to it.
const AppliedEntry *successorOf(const std::vector<AppliedEntry> &history, std::uint64_t base)
{
    if (base == 0) {
        // A history that has not been truncated starts with the first version of the object.
        return history.size() < RememberedApplies ? &history.front() : nullptr;
    }
    const auto found =
        std::find_if(history.begin(), history.end(), [base](const AppliedEntry &entry) { return entry.version == base; });
    const bool hasSuccessor = found != history.end() && found + 1 != history.end();
    return hasSuccessor ? &*(found + 1) : nullptr;
}

std::string describe(const AppliedEntry &entry)
{
    return "version " + std::to_string(entry.version) + " by " + entry.who + " (apply id " + entry.applyId + ")";
}

} // namespace

ConfigurationApply::ConfigurationApply(Settings settings) : m_settings(std::move(settings)), m_retryDelay(FirstRetryDelay)
{
}

ApplyAction ConfigurationApply::start(TimePoint now)
{
    return read(Phase::FirstRead, now);
}

std::optional<ApplyAction> ConfigurationApply::handle(const ApplyEvent &event, TimePoint now)
{
    if (m_phase == Phase::Finished) {
        return std::nullopt;
    }
    return std::visit([this, now](const auto &known) { return on(known, now); }, event);
}

std::optional<ApplyAction> ConfigurationApply::on(const ReadAnswered &event, TimePoint now)
{
    if (awaits(Phase::FirstRead, event.attempt)) {
        return decideBase(event.stored, now);
    }
    if (awaits(Phase::Resolving, event.attempt)) {
        return resolve(event.stored, now);
    }
    return std::nullopt;
}

std::optional<ApplyAction> ConfigurationApply::on(const ReadFailed &event, TimePoint now)
{
    if (!awaits(m_phase, event.attempt) || m_phase == Phase::Writing) {
        return std::nullopt;
    }
    return read(m_phase, nextRetryTime(now));
}

std::optional<ApplyAction> ConfigurationApply::on(const ReadUnusable &event, TimePoint)
{
    if (!awaits(m_phase, event.attempt) || m_phase == Phase::Writing) {
        return std::nullopt;
    }
    return fail(m_unresolvedWrites == 0 ? ApplyVerdict::Refused : ApplyVerdict::Unknown, event.error);
}

std::optional<ApplyAction> ConfigurationApply::on(const WriteAccepted &event, TimePoint)
{
    // Valid however late it arrives and whichever retry it answers: the store has accepted
    // the file.
    return applied(event.version, {m_settings.applyId, m_settings.who, event.version});
}

std::optional<ApplyAction> ConfigurationApply::on(const WriteConflicted &event, TimePoint now)
{
    if (!awaits(Phase::Writing, event.attempt)) {
        return std::nullopt;
    }
    // The object has a newer version, possibly from an earlier copy of this write whose
    // answer was lost. Only the object's history shows which file was accepted.
    return read(Phase::Resolving, now);
}

std::optional<ApplyAction> ConfigurationApply::on(const WriteAnswerLost &event, TimePoint now)
{
    if (!awaits(Phase::Writing, event.attempt)) {
        return std::nullopt;
    }
    return read(Phase::Resolving, now);
}

std::optional<ApplyAction> ConfigurationApply::on(const WriteNotSent &event, TimePoint now)
{
    if (!awaits(Phase::Writing, event.attempt)) {
        return std::nullopt;
    }
    --m_unresolvedWrites;
    return write(nextRetryTime(now));
}

std::optional<ApplyAction> ConfigurationApply::on(const WriteRefused &event, TimePoint now)
{
    if (!awaits(Phase::Writing, event.attempt)) {
        return std::nullopt;
    }
    --m_unresolvedWrites;
    if (m_unresolvedWrites > 0) {
        return read(Phase::Resolving, nextRetryTime(now));
    }
    return fail(ApplyVerdict::Refused,
                {ErrorKind::InvalidInput,
                 "The store refuses the file (" + event.reason + "); nothing changed: make it smaller or correct it.",
                 milliseconds{0}});
}

std::optional<ApplyAction> ConfigurationApply::on(const ApplyDeadlinePassed &, TimePoint)
{
    if (m_unresolvedWrites == 0) {
        return fail(ApplyVerdict::StoreUnavailable,
                    {ErrorKind::StoreUnavailable,
                     "The store did not answer in time; nothing changed: apply again when it is available.", MaxRetryDelay});
    }
    return fail(
        ApplyVerdict::Unknown,
        {ErrorKind::UnknownOutcome,
         "The store's answer was lost, and it could not be read again in time: the file may have been accepted or may still be. "
         "Look for apply id "
             + m_settings.applyId + " in the store's object before you apply again.",
         MaxRetryDelay});
}

ApplyAction ConfigurationApply::read(Phase phase, TimePoint notBefore)
{
    m_phase = phase;
    return ReadConfiguration{++m_attempt, notBefore};
}

ApplyAction ConfigurationApply::write(TimePoint notBefore)
{
    m_phase = Phase::Writing;
    ++m_unresolvedWrites;
    WriteConfiguration action{++m_attempt, notBefore, m_base, m_head};
    if (m_settings.mutation.withoutCompareAndSet) {
        action.expectedVersion.reset();
    }
    return action;
}

ApplyAction ConfigurationApply::decideBase(const std::optional<StoredHead> &stored, TimePoint now)
{
    m_base = stored ? stored->version : 0;
    m_lastSeen = stored ? entryOf(*stored) : AppliedEntry{};
    if (m_settings.ifVersion && *m_settings.ifVersion != m_base) {
        return refuseBase(stored);
    }
    m_head = {m_settings.applyId, m_settings.who, {}};
    if (stored && !m_settings.mutation.withoutHistory) {
        m_head.earlier = historyOf(*stored);
        const std::size_t kept = std::min(m_head.earlier.size(), RememberedApplies - 1);
        m_head.earlier.erase(m_head.earlier.begin(), m_head.earlier.end() - static_cast<std::ptrdiff_t>(kept));
    }
    return write(now);
}

ApplyAction ConfigurationApply::refuseBase(const std::optional<StoredHead> &stored)
{
    const std::uint64_t found = std::exchange(m_base, *m_settings.ifVersion);
    if (found < m_base) {
        return fail(ApplyVerdict::Refused,
                    {ErrorKind::InvalidInput,
                     "The store holds version " + std::to_string(found) + ", not " + std::to_string(m_base)
                         + "; nothing changed: use the version that status shows.",
                     milliseconds{0}});
    }
    const std::vector<AppliedEntry> history = historyOf(*stored);
    const AppliedEntry *successor = successorOf(history, m_base);
    return lostRace(successor != nullptr ? *successor : m_lastSeen, m_lastSeen);
}

ApplyAction ConfigurationApply::resolve(const std::optional<StoredHead> &stored, TimePoint now)
{
    const std::uint64_t version = stored ? stored->version : 0;
    m_lastSeen = stored ? entryOf(*stored) : AppliedEntry{};
    if (version < m_base) {
        // The answer is older than the read that determined the base.
        return read(Phase::Resolving, nextRetryTime(now));
    }
    if (version > m_base && m_settings.mutation.rebaseAfterLostAnswer) {
        return decideBase(stored, now);
    }
    if (version > m_base) {
        return resolveSuccessor(*stored);
    }
    // The object is unchanged, but a copy of the write may still be in transit. Repeating
    // the same write at the same version is safe.
    return write(nextRetryTime(now));
}

ApplyAction ConfigurationApply::resolveSuccessor(const StoredHead &stored)
{
    const std::vector<AppliedEntry> history = historyOf(stored);
    const AppliedEntry *own = findById(history, m_settings.applyId);
    if (own != nullptr && !m_settings.mutation.withoutOwnIdLookup) {
        return applied(own->version, entryOf(stored));
    }
    if (const AppliedEntry *successor = successorOf(history, m_base)) {
        return lostRace(*successor, entryOf(stored));
    }
    return fail(
        ApplyVerdict::Unknown,
        {ErrorKind::UnknownOutcome,
         "Too many files were accepted since then for the object's history to show whether this one was among them; it now holds "
             + describe(entryOf(stored)) + ": compare it with your file and apply again if it differs.",
         milliseconds{0}});
}

ApplyAction ConfigurationApply::applied(std::uint64_t version, const AppliedEntry &current)
{
    m_phase = Phase::Finished;
    ApplyFinished finished;
    finished.verdict = ApplyVerdict::Applied;
    finished.version = version;
    finished.current = current;
    return finished;
}

ApplyAction ConfigurationApply::lostRace(const AppliedEntry &winner, const AppliedEntry &current)
{
    m_phase = Phase::Finished;
    ApplyFinished finished;
    finished.verdict = ApplyVerdict::LostRace;
    finished.winner = winner;
    finished.current = current;
    finished.error =
        Error{ErrorKind::Conflict,
              "Another file was accepted instead: " + describe(winner) + " replaced version " + std::to_string(m_base)
                  + "; yours was not applied. Merge the changes into your file, check it with diff, and apply with --if-version "
                  + std::to_string(current.version) + ".",
              milliseconds{0}};
    return finished;
}

ApplyAction ConfigurationApply::fail(ApplyVerdict verdict, Error error)
{
    m_phase = Phase::Finished;
    ApplyFinished finished;
    finished.verdict = verdict;
    finished.current = m_lastSeen;
    finished.error = std::move(error);
    return finished;
}

bool ConfigurationApply::awaits(Phase phase, std::uint64_t attempt) const
{
    return m_phase == phase && attempt == m_attempt;
}

TimePoint ConfigurationApply::nextRetryTime(TimePoint now)
{
    const TimePoint until = now + m_retryDelay;
    m_retryDelay = std::min(m_retryDelay * 2, MaxRetryDelay);
    return until;
}

} // namespace egrettide
