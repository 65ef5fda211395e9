// What a promotion needs from the rest of the system: the opinions of the group's
// other homes, the claim and the persistent record in the platform's store, and the
// announcement. Safety does not depend on any of these (the fence at a majority of
// the group provides it); they prevent needless and competing promotions.

#pragma once

#include "runtime/group/groupobserver.h"
#include "runtime/store/store.h"
#include "wire/hopcodec.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace egrettide
{

struct GroupCoordinationHooks {
    std::function<void(const std::string &host, hop::HopMessage)> send;
    // The host that is home of the upstream; empty when there is none.
    std::function<std::string(const std::string &database, const std::string &upstream)> homeOf;
    // All live hosts but this one.
    std::function<std::vector<std::string>()> otherHosts;
};

// Used from the control thread only.
class GroupCoordination
{
public:
    GroupCoordination(Store &store, GroupCoordinationHooks hooks);
    GroupCoordination(const GroupCoordination &) = delete;
    GroupCoordination &operator=(const GroupCoordination &) = delete;

    // The hooks for observers. `pauseWrites` and `resumeWrites` stay unset.
    GroupObserverHooks observerHooks();

    void onOpinionReply(const std::string &from, const hop::OpinionReply &reply);

private:
    using OpinionHandler = std::function<void(bool agrees)>;
    using ReadHandler = std::function<void(const std::optional<VersionedRecord> &)>;
    using ClaimHandler = std::function<void(const ClaimAnswer &)>;
    struct Question {
        std::string askedHost;
        TimePoint deadline;
        OpinionHandler handler;
    };

    void askOpinion(const OpinionQuestion &question, TimePoint deadline, OpinionHandler handler);
    void forgetExpiredQuestions(TimePoint now);
    void readRecord(const std::string &database, TimePoint deadline, ReadHandler handler);
    void claimRecord(const std::string &database, std::uint64_t expectedVersion, const GroupRecord &record, TimePoint deadline,
                     ClaimHandler handler);
    void writeRecord(const std::string &database, const GroupRecord &record, int attemptsLeft);
    void announce(const std::string &database, Term term, const std::string &primary);

    Store &m_store;
    GroupCoordinationHooks m_hooks;
    // Unanswered questions by id.
    std::map<std::uint64_t, Question> m_questions;
    std::uint64_t m_nextQuestion = 1;
};

// The store's key of a group's record.
std::string groupRecordKey(const std::string &database);

} // namespace egrettide
