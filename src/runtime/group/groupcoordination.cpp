// Implements the opinions, claims, records and announcements of a promotion.

#include "runtime/group/groupcoordination.h"

#include "runtime/host/log.h"

#include <nlohmann/json.hpp>

namespace egrettide
{

namespace
{

constexpr milliseconds recordTimeout{2000};
constexpr int recordAttempts = 5;

nlohmann::json toJson(const PromotionOrder &order)
{
    return {{"upstream", order.upstream},
            {"over", order.over},
            {"markTerm", order.mark.term},
            {"markPosition", order.mark.position},
            {"token", order.token}};
}

// Term, term and position of its mark, and whether it is exact.
nlohmann::json toJson(const TermBeginning &beginning)
{
    return nlohmann::json::array({beginning.term, beginning.mark.term, beginning.mark.position, beginning.isExact});
}

nlohmann::json toJson(const GroupRecord &record)
{
    nlohmann::json value = {{"term", record.term},
                            {"primary", record.primary},
                            {"claimToken", record.claimToken},
                            {"claimHolder", record.claimHolder},
                            {"claimedOver", record.claimedOver}};
    if (record.order) {
        value["order"] = toJson(*record.order);
    }
    for (const TermBeginning &each : record.beginnings) {
        value["beginnings"].push_back(toJson(each));
    }
    return value;
}

// Far above the terms and positions of any group; a larger number was not written by a host.
constexpr std::uint64_t largestNumber = std::uint64_t{1} << 53;

// Throws a JSON exception when the value is no unsigned number or above largestNumber. A conversion
// would turn other numbers into terms that no group has.
std::uint64_t numberFrom(const nlohmann::json &value)
{
    const std::uint64_t number = value.get_ref<const nlohmann::json::number_unsigned_t &>();
    if (number > largestNumber) {
        throw nlohmann::json::out_of_range::create(406, "the number is out of range", &value);
    }
    return number;
}

// 0 without the field.
std::uint64_t numberIn(const nlohmann::json &object, const char *field)
{
    return object.contains(field) ? numberFrom(object.at(field)) : 0;
}

PromotionOrder promotionOrderFrom(const nlohmann::json &value)
{
    PromotionOrder order;
    order.upstream = value.value("upstream", std::string());
    order.over = numberIn(value, "over");
    order.mark = LogMark{numberIn(value, "markTerm"), numberIn(value, "markPosition")};
    order.token = value.value("token", std::string());
    return order;
}

// Treats a malformed record as an absent one, because records are only hints.
GroupRecord groupRecordFrom(const nlohmann::json &value)
{
    GroupRecord record;
    try {
        record.term = numberIn(value, "term");
        record.primary = value.value("primary", std::string());
        record.claimToken = value.value("claimToken", std::string());
        record.claimHolder = value.value("claimHolder", std::string());
        record.claimedOver = numberIn(value, "claimedOver");
        if (value.contains("order")) {
            record.order = promotionOrderFrom(value.at("order"));
        }
        for (const nlohmann::json &each : value.value("beginnings", nlohmann::json::array())) {
            const LogMark mark{numberFrom(each.at(1)), numberFrom(each.at(2))};
            record.beginnings.push_back(TermBeginning{numberFrom(each.at(0)), mark, each.at(3).get<bool>()});
        }
    } catch (const nlohmann::json::exception &) {
        return GroupRecord{};
    }
    return record;
}

// The outcome of a promotion ends the claims and orders of earlier terms, not those that are meant to
// replace the primary that it names.
GroupRecord withOutcome(const GroupRecord &standing, const GroupRecord &outcome)
{
    GroupRecord next = outcome;
    if (!standing.claimToken.empty() && standing.claimedOver >= outcome.term) {
        next.claimToken = standing.claimToken;
        next.claimHolder = standing.claimHolder;
        next.claimedOver = standing.claimedOver;
    }
    if (standing.order && standing.order->over >= outcome.term) {
        next.order = standing.order;
    }
    TermHistory terms;
    terms.add(standing.beginnings);
    terms.add(outcome.beginnings);
    next.beginnings = terms.beginnings();
    return next;
}

using StoreAnswer = tl::expected<VersionedObject, StoreError>;

// Returns nothing when the store did not answer; an absent record has version 0.
std::optional<VersionedRecord> recordIn(const StoreAnswer &answer)
{
    if (answer) {
        return VersionedRecord{answer->version, groupRecordFrom(answer->value)};
    }
    if (answer.error().failure == StoreFailure::NotFound) {
        return VersionedRecord{};
    }
    return std::nullopt;
}

} // namespace

std::string groupRecordKey(const std::string &database)
{
    return "egrettide/groups/" + database;
}

GroupCoordination::GroupCoordination(Store &store, GroupCoordinationHooks hooks) : m_store(store), m_hooks(std::move(hooks))
{
}

GroupObserverHooks GroupCoordination::observerHooks()
{
    GroupObserverHooks hooks;
    hooks.askOpinion = [this](const OpinionQuestion &question, TimePoint deadline, OpinionHandler handler) {
        askOpinion(question, deadline, std::move(handler));
    };
    hooks.readRecord = [this](const std::string &database, TimePoint deadline, ReadHandler handler) {
        readRecord(database, deadline, std::move(handler));
    };
    hooks.claimRecord = [this](const std::string &database, std::uint64_t expectedVersion, const GroupRecord &record,
                               TimePoint deadline, ClaimHandler handler) {
        claimRecord(database, expectedVersion, record, deadline, std::move(handler));
    };
    hooks.writeRecord = [this](const std::string &database, const GroupRecord &record) {
        writeRecord(database, record, recordAttempts);
    };
    hooks.announce = [this](const std::string &database, Term term, const std::string &primary) {
        announce(database, term, primary);
    };
    return hooks;
}

void GroupCoordination::askOpinion(const OpinionQuestion &question, TimePoint deadline, OpinionHandler handler)
{
    forgetExpiredQuestions(Clock::now());
    const std::string host = m_hooks.homeOf(question.database, question.home);
    if (host.empty()) {
        return;
    }
    const std::uint64_t id = m_nextQuestion++;
    m_questions[id] = Question{host, deadline, std::move(handler)};
    m_hooks.send(host, hop::Opinion{id, question.database, question.primary, question.home, question.primary, question.term});
}

void GroupCoordination::forgetExpiredQuestions(TimePoint now)
{
    std::erase_if(m_questions, [now](const auto &entry) { return entry.second.deadline < now; });
}

void GroupCoordination::onOpinionReply(const std::string &from, const hop::OpinionReply &reply)
{
    const auto found = m_questions.find(reply.id);
    if (found == m_questions.end() || found->second.askedHost != from) {
        return;
    }
    const OpinionHandler handler = std::move(found->second.handler);
    m_questions.erase(found);
    handler(reply.suspects);
}

void GroupCoordination::readRecord(const std::string &database, TimePoint deadline, ReadHandler handler)
{
    m_store.read(groupRecordKey(database), deadline,
                 [handler = std::move(handler)](const StoreAnswer &answer) { handler(recordIn(answer)); });
}

void GroupCoordination::claimRecord(const std::string &database, std::uint64_t expectedVersion, const GroupRecord &record,
                                    TimePoint deadline, ClaimHandler handler)
{
    m_store.write(
        groupRecordKey(database), toJson(record), expectedVersion, deadline,
        [this, database, record, deadline, handler = std::move(handler)](const StoreAnswer &answer) {
            if (answer) {
                handler(ClaimAnswer{ClaimResult::Claimed, VersionedRecord{answer->version, record}});
                return;
            }
            if (answer.error().mayHaveApplied()) {
                handler(ClaimAnswer{ClaimResult::LostAnswer, {}});
                return;
            }
            if (answer.error().failure != StoreFailure::Conflict) {
                handler(ClaimAnswer{ClaimResult::Unavailable, {}});
                return;
            }
            readRecord(database, deadline, [handler](const std::optional<VersionedRecord> &standing) {
                handler(standing ? ClaimAnswer{ClaimResult::Conflict, *standing} : ClaimAnswer{ClaimResult::Unavailable, {}});
            });
        });
}

void GroupCoordination::writeRecord(const std::string &database, const GroupRecord &record, int attemptsLeft)
{
    if (attemptsLeft == 0) {
        log::warning("group_record_not_written", {{"database", database}, {"term", record.term}});
        return;
    }
    const TimePoint deadline = Clock::now() + recordTimeout;
    readRecord(database, deadline, [=, this](const std::optional<VersionedRecord> &standing) {
        if (!standing) {
            writeRecord(database, record, attemptsLeft - 1);
            return;
        }
        if (standing->record.term > record.term) {
            return;
        }
        m_store.write(groupRecordKey(database), toJson(withOutcome(standing->record, record)), standing->version, deadline,
                      [=, this](const StoreAnswer &written) {
                          if (!written) {
                              writeRecord(database, record, attemptsLeft - 1);
                          }
                      });
    });
}

void GroupCoordination::announce(const std::string &database, Term term, const std::string &primary)
{
    log::info("primary_announced", {{"database", database}, {"term", term}, {"primary", primary}});
    for (const std::string &host : m_hooks.otherHosts()) {
        m_hooks.send(host, hop::Announce{database, term, primary});
    }
}

} // namespace egrettide
