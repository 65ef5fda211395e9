// Decides how an operator's file gets into the store: read, compare-and-set at
// the version that was read, and, when the answer is lost, find out what became
// of it. Pure: events and the time go in, typed actions come out.
//
// What goes wrong without it: an answer is lost after the change took effect. An
// operator who then repeats the apply on a newer version undoes a colleague's
// file; one who gives up believes that nothing happened. Each attempt therefore
// carries an apply id inside the object, and the object remembers the last ids
// with their versions, so that "mine was applied and then replaced" is told
// apart from "mine never was".

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

// The store's key of the one configuration object. It is never deleted: its
// history is what resolves lost answers.
inline constexpr std::string_view ConfigurationKey = "egrettide/configuration";

// How many apply ids, the object's own included, an object remembers.
inline constexpr std::size_t RememberedApplies = 16;

// One earlier state of the object.
struct AppliedEntry {
    std::string applyId;
    std::string who;
    std::uint64_t version = 0;

    friend bool operator==(const AppliedEntry &, const AppliedEntry &) = default;
};

// The part of the object besides the file. It can be read even when the file was
// written for another release of the schema.
struct ConfigurationHead {
    std::string applyId;
    // The operator, for the loser of a race to talk to.
    std::string who;
    // Invariant: versions rise; at most RememberedApplies - 1 entries; each entry
    // is the object that the next one replaced.
    std::vector<AppliedEntry> earlier;

    friend bool operator==(const ConfigurationHead &, const ConfigurationHead &) = default;
};

// The head of an object as the store holds it.
struct StoredHead {
    std::uint64_t version = 0;
    ConfigurationHead head;
};

// The object's value: the head and the whole file.
nlohmann::json configurationObject(const ConfigurationHead &head, const nlohmann::json &file);

// Reads the head of an object's value; InvalidInput when it is not one of ours.
tl::expected<ConfigurationHead, Error> parseConfigurationHead(const nlohmann::json &object);

// Reads a whole object as hosts do: the file checked, version and applyId set.
tl::expected<Configuration, std::vector<Error>> parseConfigurationObject(const nlohmann::json &object, std::uint64_t version);

// Events. `attempt` is the number in the action that is answered. Answers may
// come late, twice or never.
struct ReadAnswered {
    std::uint64_t attempt = 0;
    // Unset when there is no object yet.
    std::optional<StoredHead> stored;
};
struct ReadFailed {
    std::uint64_t attempt = 0;
};
// The object is not one of ours: the file must not replace it.
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
// The request left and no answer came: it may have taken effect, or may yet.
struct WriteAnswerLost {
    std::uint64_t attempt = 0;
};
// The request never left.
struct WriteNotSent {
    std::uint64_t attempt = 0;
};
// The store will never take this value.
struct WriteRefused {
    std::uint64_t attempt = 0;
    std::string reason;
};
struct ApplyDeadlinePassed {
};
using ApplyEvent = std::variant<ReadAnswered, ReadFailed, ReadUnusable, WriteAccepted, WriteConflicted, WriteAnswerLost,
                                WriteNotSent, WriteRefused, ApplyDeadlinePassed>;

enum class ApplyVerdict {
    // This file was accepted as `version`; see `current` for what is there now.
    Applied,
    // Another file was accepted instead; this one never was and never will be.
    LostRace,
    // The file may have been accepted, or may yet be.
    Unknown,
    // The store could not be reached; the file was not and will not be accepted.
    StoreUnavailable,
    // The store refuses this value; nothing changed.
    Refused,
};

// Actions.
struct ReadConfiguration {
    std::uint64_t attempt = 0;
    // Wait until then: the store is struggling.
    TimePoint notBefore;
};
struct WriteConfiguration {
    std::uint64_t attempt = 0;
    TimePoint notBefore;
    // The store must refuse the write at any other version; unset only in the
    // naive variant that the tests compare with.
    std::optional<std::uint64_t> expectedVersion;
    ConfigurationHead head;
};
struct ApplyFinished {
    ApplyVerdict verdict = ApplyVerdict::Unknown;
    // Applied: the version that this file got.
    std::uint64_t version = 0;
    // LostRace: who replaced the version that this file was based on.
    AppliedEntry winner;
    // The object as last read or written; version 0 when it was never seen.
    AppliedEntry current;
    // Set for every verdict but Applied; names the remedy.
    std::optional<Error> error;
};
using ApplyAction = std::variant<ReadConfiguration, WriteConfiguration, ApplyFinished>;

// One attempt of one operator to apply one file.
class ConfigurationApply
{
public:
    // Switches mechanisms off so that a test can show that its proof notices.
    struct Mutation {
        bool withoutCompareAndSet = false;
        bool withoutOwnIdLookup = false;
        bool withoutHistory = false;
        // Repeats a write whose answer was lost on top of whatever is there now.
        bool rebaseAfterLostAnswer = false;
    };

    struct Settings {
        // Unique among all attempts of all operators for ever, such as 128 random bits.
        std::string applyId;
        std::string who;
        // The version that the operator's file was made from; unset takes the
        // version that the first read finds.
        std::optional<std::uint64_t> ifVersion;
        Mutation mutation;
    };

    explicit ConfigurationApply(Settings settings);
    ConfigurationApply(const ConfigurationApply &) = delete;
    ConfigurationApply &operator=(const ConfigurationApply &) = delete;

    // The first action.
    ApplyAction start(TimePoint now);

    // Takes one event; returns the next action, if this event calls for one.
    // Nothing is returned after ApplyFinished, and exactly one ApplyFinished is
    // returned at ApplyDeadlinePassed at the latest.
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
    TimePoint pauseFrom(TimePoint now);

    Settings m_settings;
    Phase m_phase = Phase::Idle;
    // Numbers the actions; an answer to an earlier read is worthless.
    std::uint64_t m_attempt = 0;
    // The version that this file replaces, and what the write carries. Fixed by
    // the first read: every repeat writes the same value at the same version, so
    // at most one of them can take effect, however late it arrives.
    std::uint64_t m_base = 0;
    ConfigurationHead m_head;
    // Writes that have not been proven never to have left.
    std::uint64_t m_unresolvedWrites = 0;
    AppliedEntry m_lastSeen;
    milliseconds m_pause{0};
};

} // namespace egrettide
