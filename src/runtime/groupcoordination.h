// What a promotion needs from the rest of the system: the opinions of the group's
// other homes, the claim and the lasting record in the platform's store, and the
// announcement. None of it is what makes a promotion safe (the fence at a
// majority of the group is); it keeps promotions from being needless or duelling.

#pragma once

#include "runtime/groupobserver.h"
#include "runtime/storeclient.h"
#include "wire/hopcodec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egrettide
{

struct GroupCoordinationHooks {
    std::function<void(const std::string &host, hop::HopMessage)> send;
    // Names of the hosts, other than this one, that are homes of the database's
    // upstreams; one entry for each upstream.
    std::function<std::vector<std::string>(const std::string &database)> otherHomes;
    // All live hosts but this one.
    std::function<std::vector<std::string>()> otherHosts;
};

// Used from the control thread only.
class GroupCoordination
{
public:
    GroupCoordination(boost::asio::io_context &control, StoreClient &store, GroupCoordinationHooks hooks);
    GroupCoordination(const GroupCoordination &) = delete;
    GroupCoordination &operator=(const GroupCoordination &) = delete;

    // The hooks that observers call; pauseWrites and resumeWrites stay unset.
    GroupObserverHooks observerHooks();

    void onOpinionReply(const std::string &from, const hop::OpinionReply &reply);

private:
    using OpinionsHandler = std::function<void(std::size_t agreeing, std::size_t asked)>;
    using ClaimHandler = std::function<void(tl::expected<GroupRecord, Error>)>;
    struct Poll;

    void askOpinions(const std::string &database, const std::string &upstream, TimePoint deadline, OpinionsHandler handler);
    void finish(std::uint64_t id);
    void claim(const std::string &database, const GroupRecord &claim, TimePoint deadline, ClaimHandler handler);
    void writeClaim(const std::string &database, const GroupRecord &claim, std::uint64_t expectedVersion, TimePoint deadline,
                    ClaimHandler handler);
    void record(const std::string &database, const GroupRecord &record, int attemptsLeft);
    void announce(const std::string &database, Term term, const std::string &primary);

    boost::asio::io_context &m_control;
    StoreClient &m_store;
    GroupCoordinationHooks m_hooks;
    std::map<std::uint64_t, std::shared_ptr<Poll>> m_polls;
    std::uint64_t m_nextPoll = 1;
};

// The store's key of a group's record.
std::string groupRecordKey(const std::string &database);

} // namespace egrettide
