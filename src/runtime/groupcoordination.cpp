// Opinions, claims, records and announcements around a promotion.

#include "runtime/groupcoordination.h"

#include "runtime/log.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <set>

namespace egrettide
{

namespace
{

constexpr milliseconds recordTimeout{2000};
constexpr int recordAttempts = 5;

nlohmann::json toJson(const GroupRecord &record)
{
    return {{"term", record.term}, {"primary", record.primary}, {"token", record.token}};
}

// A damaged record counts as none: it is a hint only.
GroupRecord groupRecordFrom(const nlohmann::json &value)
{
    GroupRecord record;
    if (value.is_object()) {
        record.term = value.value("term", Term{0});
        record.primary = value.value("primary", std::string());
        record.token = value.value("token", std::string());
    }
    return record;
}

} // namespace

std::string groupRecordKey(const std::string &database)
{
    return "egrettide/groups/" + database;
}

struct GroupCoordination::Poll {
    explicit Poll(boost::asio::io_context &control) : timer(control)
    {
    }

    boost::asio::steady_timer timer;
    std::set<std::string> waitingFor;
    // Upstreams of the group for which each asked host speaks.
    std::map<std::string, std::size_t> weight;
    std::size_t agreeing = 0;
    std::size_t asked = 0;
    OpinionsHandler handler;
};

GroupCoordination::GroupCoordination(boost::asio::io_context &control, StoreClient &store, GroupCoordinationHooks hooks)
    : m_control(control), m_store(store), m_hooks(std::move(hooks))
{
}

GroupObserverHooks GroupCoordination::observerHooks()
{
    GroupObserverHooks hooks;
    hooks.askOpinions = [this](const std::string &database, const std::string &upstream, TimePoint deadline,
                               OpinionsHandler handler) { askOpinions(database, upstream, deadline, std::move(handler)); };
    hooks.claim = [this](const std::string &database, const GroupRecord &wanted, TimePoint deadline, ClaimHandler handler) {
        claim(database, wanted, deadline, std::move(handler));
    };
    hooks.record = [this](const std::string &database, const GroupRecord &done) { record(database, done, recordAttempts); };
    hooks.announce = [this](const std::string &database, Term term, const std::string &primary) {
        announce(database, term, primary);
    };
    return hooks;
}

void GroupCoordination::askOpinions(const std::string &database, const std::string &upstream, TimePoint deadline,
                                    OpinionsHandler handler)
{
    const std::uint64_t id = m_nextPoll++;
    auto poll = std::make_shared<Poll>(m_control);
    poll->handler = std::move(handler);
    for (const std::string &host : m_hooks.otherHomes(database)) {
        poll->waitingFor.insert(host);
        ++poll->weight[host];
        ++poll->asked;
    }
    m_polls[id] = poll;
    for (const std::string &host : poll->waitingFor) {
        m_hooks.send(host, hop::Opinion{id, database, upstream});
    }
    // Also when nobody is asked: never answered from within this call.
    poll->timer.expires_at(poll->waitingFor.empty() ? Clock::now() : deadline);
    poll->timer.async_wait([this, id](const boost::system::error_code &failure) {
        if (!failure) {
            finish(id);
        }
    });
}

void GroupCoordination::onOpinionReply(const std::string &from, const hop::OpinionReply &reply)
{
    const auto found = m_polls.find(reply.id);
    if (found == m_polls.end() || found->second->waitingFor.erase(from) == 0) {
        return;
    }
    Poll &poll = *found->second;
    if (reply.suspects) {
        poll.agreeing += poll.weight[from];
    }
    if (poll.waitingFor.empty()) {
        poll.timer.cancel();
        finish(reply.id);
    }
}

void GroupCoordination::finish(std::uint64_t id)
{
    const auto found = m_polls.find(id);
    if (found == m_polls.end()) {
        return;
    }
    const auto poll = found->second;
    m_polls.erase(found);
    poll->handler(poll->agreeing, poll->asked);
}

void GroupCoordination::claim(const std::string &database, const GroupRecord &wanted, TimePoint deadline, ClaimHandler handler)
{
    m_store.read(groupRecordKey(database), deadline,
                 [this, database, wanted, deadline,
                  handler = std::move(handler)](const tl::expected<VersionedObject, StoreError> &answer) {
                     if (!answer && answer.error().failure != StoreFailure::NotFound) {
                         handler(tl::unexpected(answer.error().error));
                         return;
                     }
                     const GroupRecord present = answer ? groupRecordFrom(answer->value) : GroupRecord{};
                     if (present.term >= wanted.term) {
                         handler(present);
                         return;
                     }
                     writeClaim(database, wanted, answer ? answer->version : 0, deadline, handler);
                 });
}

void GroupCoordination::writeClaim(const std::string &database, const GroupRecord &wanted, std::uint64_t expectedVersion,
                                   TimePoint deadline, ClaimHandler handler)
{
    m_store.write(
        groupRecordKey(database), toJson(wanted), expectedVersion, deadline,
        [this, database, wanted, deadline,
         handler = std::move(handler)](const tl::expected<VersionedObject, StoreError> &answer) {
            if (answer) {
                handler(wanted);
                return;
            }
            const bool lostOrBeaten = answer.error().failure == StoreFailure::Conflict || answer.error().mayHaveApplied();
            if (!lostOrBeaten) {
                handler(tl::unexpected(answer.error().error));
                return;
            }
            // The token in the record tells whether the lost answer was a yes.
            m_store.read(groupRecordKey(database), deadline, [handler](const tl::expected<VersionedObject, StoreError> &now) {
                if (now) {
                    handler(groupRecordFrom(now->value));
                } else {
                    handler(tl::unexpected(now.error().error));
                }
            });
        });
}

void GroupCoordination::record(const std::string &database, const GroupRecord &done, int attemptsLeft)
{
    if (attemptsLeft == 0) {
        log::warning("group_record_not_written", {{"database", database}, {"term", done.term}});
        return;
    }
    const TimePoint deadline = Clock::now() + recordTimeout;
    m_store.read(groupRecordKey(database), deadline, [=, this](const tl::expected<VersionedObject, StoreError> &answer) {
        if (!answer && answer.error().failure != StoreFailure::NotFound) {
            record(database, done, attemptsLeft - 1);
            return;
        }
        const GroupRecord present = answer ? groupRecordFrom(answer->value) : GroupRecord{};
        const bool isNews = present.term < done.term || (present.term == done.term && present.primary != done.primary);
        if (!isNews) {
            return;
        }
        m_store.write(groupRecordKey(database), toJson(done), answer ? answer->version : 0, deadline,
                      [=, this](const tl::expected<VersionedObject, StoreError> &written) {
                          if (!written) {
                              record(database, done, attemptsLeft - 1);
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
