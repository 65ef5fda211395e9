// State machine that applies an operator's file to the store: it reads the object,
// writes it by compare-and-set at the version that was read and, if the answer is lost,
// determines the outcome. Pure: it takes events and the time, and returns typed actions.
//
// If the answer to a successful write is lost, an operator who repeats the apply on a
// newer version overwrites a colleague's file, and one who gives up assumes that nothing
// changed. Each attempt therefore stores an apply id in the object, and the object keeps
// the last ids with their versions. They show whether a file was applied and then
// replaced, or was never applied.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/types.h"

#include <nlohmann/json_fwd.hpp>
#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace egrettide
{

// The store's key of the one configuration object. The object is never deleted: its
// history is needed to determine the outcome of writes whose answer was lost.
inline constexpr std::string_view ConfigurationKey = "egrettide/configuration";

// The number of apply ids that an object holds, including its own.
inline constexpr std::size_t RememberedApplies = 16;

// One version of the object.
struct AppliedEntry {
    std::string applyId;
    std::string who;
    std::uint64_t version = 0;

    friend bool operator==(const AppliedEntry &, const AppliedEntry &) = default;
};

// The metadata of the object, without the file. It can be read even if the file was
// written for another release of the schema.
struct ConfigurationHead {
    std::string applyId;
    // The operator who applied the file, named to operators whose own apply conflicts with it.
    std::string who;
    // Oldest first. Invariant: versions increase; at most RememberedApplies - 1 entries; each
    // entry was replaced by the next one, the last by this object.
    std::vector<AppliedEntry> earlier;

    friend bool operator==(const ConfigurationHead &, const ConfigurationHead &) = default;
};

// The head of an object as the store holds it.
struct StoredHead {
    std::uint64_t version = 0;
    ConfigurationHead head;
};

// Serializes the object's value: the head and the whole file.
nlohmann::json configurationObject(const ConfigurationHead &head, const nlohmann::json &file);

// Parses the head of an object's value; InvalidInput if egrettide did not write it.
tl::expected<ConfigurationHead, Error> parseConfigurationHead(const nlohmann::json &object);

// Parses and checks a whole object, as hosts do, and sets version and applyId.
tl::expected<Configuration, std::vector<Error>> parseConfigurationObject(const nlohmann::json &object, std::uint64_t version);

// Events. `attempt` is the number of the action that is answered. Answers may arrive
// late, twice or never.
struct ReadAnswered {
    std::uint64_t attempt = 0;
    // Unset if there is no object yet.
    std::optional<StoredHead> stored;
};
struct ReadFailed {
    std::uint64_t attempt = 0;
};
// The object was not written by egrettide and must not be replaced.
struct ReadUnusable {
    std::uint64_t attempt = 0;
    Error error;
};
struct WriteAccepted {
    std::uint64_t attempt = 0;
    std::uint64_t version = 0;
};
struct WriteConflicted {
    std::uint64_t attempt = 0;
};
// The request was sent and not answered: it may have taken effect, or may still do so.
struct WriteAnswerLost {
    std::uint64_t attempt = 0;
};
// The request was not sent.
struct WriteNotSent {
    std::uint64_t attempt = 0;
};
// The store rejects this value permanently.
struct WriteRefused {
    std::uint64_t attempt = 0;
    std::string reason;
};
struct ApplyDeadlinePassed {
};
using ApplyEvent = std::variant<ReadAnswered, ReadFailed, ReadUnusable, WriteAccepted, WriteConflicted, WriteAnswerLost,
                                WriteNotSent, WriteRefused, ApplyDeadlinePassed>;

enum class ApplyVerdict {
    // This file was accepted as `version`; `current` is the object that the store holds now.
    Applied,
    // Another file was accepted instead; this one was not and will not be accepted.
    LostRace,
    // The file may have been accepted, or may still be.
    Unknown,
    // The store could not be reached; the file was not and will not be accepted.
    StoreUnavailable,
    // The store rejects this value; nothing changed.
    Refused,
};

// Actions.
struct ReadConfiguration {
    std::uint64_t attempt = 0;
    // The earliest time to send it; in the future after a failed call (backoff).
    TimePoint notBefore;
};
struct WriteConfiguration {
    std::uint64_t attempt = 0;
    TimePoint notBefore;
    // The store must reject the write if the object has another version. Unset only under
    // Mutation::withoutCompareAndSet.
    std::optional<std::uint64_t> expectedVersion;
    ConfigurationHead head;
};
struct ApplyFinished {
    ApplyVerdict verdict = ApplyVerdict::Unknown;
    // Applied: the version that the store assigned to this file.
    std::uint64_t version = 0;
    // LostRace: the entry that replaced the version on which this file was based.
    AppliedEntry winner;
    // The object as last read or written; version 0 if there was none or it was never read.
    AppliedEntry current;
    // Set for every verdict except Applied; names the remedy.
    std::optional<Error> error;
};
using ApplyAction = std::variant<ReadConfiguration, WriteConfiguration, ApplyFinished>;

// One attempt of one operator to apply one file.
class ConfigurationApply
{
public:
    // Disables single mechanisms, so that tests can verify that they detect the resulting
    // fault.
    struct Mutation {
        bool withoutCompareAndSet = false;
        bool withoutOwnIdLookup = false;
        bool withoutHistory = false;
        // Repeats a write whose answer was lost, with the current version as its base.
        bool rebaseAfterLostAnswer = false;
    };

    struct Settings {
        // Globally unique for each attempt, for example 128 random bits.
        std::string applyId;
        std::string who;
        // The version on which the operator's file is based; unset: the version that the
        // first read returns.
        std::optional<std::uint64_t> ifVersion;
        Mutation mutation;
    };

    explicit ConfigurationApply(Settings settings);
    ConfigurationApply(const ConfigurationApply &) = delete;
    ConfigurationApply &operator=(const ConfigurationApply &) = delete;

    // The first action.
    ApplyAction start(TimePoint now);

    // Processes one event and returns the next action, if there is one. Exactly one
    // ApplyFinished is returned, at the latest for ApplyDeadlinePassed, and nothing after it.
    std::optional<ApplyAction> handle(const ApplyEvent &event, TimePoint now);

private:
    enum class Phase { Idle, FirstRead, Writing, Resolving, Finished };

    std::optional<ApplyAction> on(const ReadAnswered &event, TimePoint now);
    std::optional<ApplyAction> on(const ReadFailed &event, TimePoint now);
    std::optional<ApplyAction> on(const ReadUnusable &event, TimePoint now);
    std::optional<ApplyAction> on(const WriteAccepted &event, TimePoint now);
    std::optional<ApplyAction> on(const WriteConflicted &event, TimePoint now);
    std::optional<ApplyAction> on(const WriteAnswerLost &event, TimePoint now);
    std::optional<ApplyAction> on(const WriteNotSent &event, TimePoint now);
    std::optional<ApplyAction> on(const WriteRefused &event, TimePoint now);
    std::optional<ApplyAction> on(const ApplyDeadlinePassed &event, TimePoint now);

    ApplyAction read(Phase phase, TimePoint notBefore);
    ApplyAction write(TimePoint notBefore);
    ApplyAction decideBase(const std::optional<StoredHead> &stored, TimePoint now);
    ApplyAction refuseBase(const std::optional<StoredHead> &stored);
    ApplyAction resolve(const std::optional<StoredHead> &stored, TimePoint now);
    ApplyAction resolveSuccessor(const StoredHead &stored);
    ApplyAction applied(std::uint64_t version, const AppliedEntry &current);
    ApplyAction lostRace(const AppliedEntry &winner, const AppliedEntry &current);
    ApplyAction fail(ApplyVerdict verdict, Error error);
    bool awaits(Phase phase, std::uint64_t attempt) const;
    TimePoint nextRetryTime(TimePoint now);

    Settings m_settings;
    Phase m_phase = Phase::Idle;
    // The number of the last action; answers to earlier reads are ignored.
    std::uint64_t m_attempt = 0;
    // The version that this file replaces, and the head that the write carries. Fixed by
    // the first read: every retry writes the same value at the same version, so at most
    // one of them can take effect, however late it arrives.
    std::uint64_t m_base = 0;
    ConfigurationHead m_head;
    // Writes that may have been sent and whose outcome is open.
    std::uint64_t m_unresolvedWrites = 0;
    AppliedEntry m_lastSeen;
    milliseconds m_retryDelay{0};
};

} // namespace egrettide
