// The interface through which egrettide controls upstreams: status, fence, promote
// and follow. The rest of the system uses these functions only through
// GroupControlHooks; a ControlPort adapts them to a protocol.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/failuredetector.h"
#include "egrettide/core/promoter.h"
#include "egrettide/core/types.h"
#include "runtime/upstreams/upstreamlink.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egrettide
{

// Why a control call has no answer. The upstream may have executed the call all the
// same; the functions are idempotent for one token, so the caller may repeat it.
struct ControlFailure {
    ProbeFailure failure = ProbeFailure::Timeout;
    std::string message;
};

using StatusHandler = std::function<void(tl::expected<MemberStatus, ControlFailure>)>;
using ControlHandler = std::function<void(tl::expected<ControlAnswer, ControlFailure>)>;

// The four control functions. Each handler is called exactly once, at the deadline
// at the latest, and never from within the call.
struct GroupControlHooks {
    std::function<void(const std::string &upstream, TimePoint deadline, StatusHandler)> status;
    std::function<void(const std::string &upstream, Term term, const std::string &token, TimePoint deadline, ControlHandler)>
        fence;
    // `fencingToken` as in PromoteOrder.
    std::function<void(const std::string &upstream, Term term, const std::string &token, std::uint64_t fencingToken,
                       TimePoint deadline, ControlHandler)>
        promote;
    // `primary` names the upstream to follow.
    std::function<void(const std::string &upstream, Term term, const std::string &token, const std::string &primary,
                       TimePoint deadline, ControlHandler)>
        follow;
};

// Encodes the control calls of one protocol and decodes their answers.
struct ControlCodec {
    // Each of these encodes the batch of one call.
    std::function<std::string()> status;
    std::function<std::string(Term term, const std::string &token)> fence;
    std::function<std::string(Term term, const std::string &token)> promote;
    std::function<std::string(Term term, const std::string &token, const std::string &primaryAddress)> follow;
    // True when the answer to a granted fence contains the token that it was granted to.
    bool answersNameToken = true;
    // Decodes the answer to any of these calls.
    std::function<tl::expected<ControlAnswer, ControlFailure>(const BatchAnswer &)> answer;
};

// A promotion that is requested from another system than the upstream itself.
struct PromoteOrder {
    std::string database;
    std::string upstream;
    Term term = 0;
    // Increases with every holder of the group's claim; 0 when there is no claim.
    std::uint64_t fencingToken = 0;
};
using PromoteHook = std::function<void(const PromoteOrder &order, TimePoint deadline, ControlHandler handler)>;

// The protocol-specific part of GroupControl.
struct ControlPort {
    UpstreamLinkFactory makeLink;
    ControlCodec codec;
    // Set where the upstream itself has no function that promotes it.
    PromoteHook promote;
};

// Makes the calls over one long-lived connection for each upstream. Not thread-safe:
// used only from the thread of its io_context.
class GroupControl
{
public:
    GroupControl(boost::asio::io_context &context, ControlPort port, const DatabaseSpec &database, const std::string &user);
    ~GroupControl();
    GroupControl(const GroupControl &) = delete;
    GroupControl &operator=(const GroupControl &) = delete;

    // Closes the connections of upstreams that were removed or have a new address.
    void update(const DatabaseSpec &database);
    // Completes every pending call with a failure.
    void close();
    // Valid for as long as this object.
    GroupControlHooks hooks();

private:
    class Channel;
    void call(const std::string &upstream, std::string batch, TimePoint deadline, ControlHandler handler);
    ControlHandler namedToken(const std::string &token, ControlHandler handler) const;
    void promote(const PromoteOrder &order, const std::string &token, TimePoint deadline, ControlHandler handler);
    void status(const std::string &upstream, TimePoint deadline, StatusHandler handler);
    void follow(const std::string &upstream, Term term, const std::string &token, const std::string &primary, TimePoint deadline,
                ControlHandler handler);

    boost::asio::io_context &m_context;
    const ControlPort m_port;
    const std::string m_user;
    std::string m_database;
    // "IP:port" by upstream.
    std::map<std::string, std::string> m_addresses;
    // One for each upstream of m_addresses.
    std::map<std::string, std::shared_ptr<Channel>> m_channels;
};

} // namespace egrettide
