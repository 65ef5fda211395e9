// The narrow interface through which egrettide controls upstreams: status,
// fence, promote and follow. Everything else of the system knows upstreams'
// control functions through GroupControlHooks alone, so that another adapter
// takes the place of the SQL one without a change elsewhere.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/failuredetector.h"
#include "egrettide/core/promoter.h"
#include "egrettide/core/types.h"
#include "runtime/upstreamconnection.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egrettide
{

// Why a control call has no answer. It says nothing about whether the upstream
// acted: the functions are idempotent for one token, so the caller may repeat.
struct ControlFailure {
    ProbeFailure failure = ProbeFailure::Timeout;
    std::string message;
};

using StatusHandler = std::function<void(tl::expected<MemberStatus, ControlFailure>)>;
using ControlHandler = std::function<void(tl::expected<ControlAnswer, ControlFailure>)>;

// The four control functions. Each handler is called exactly once, at the latest
// at the deadline, and never from within the call.
struct GroupControlHooks {
    std::function<void(const std::string &upstream, TimePoint deadline, StatusHandler)> status;
    std::function<void(const std::string &upstream, Term term, const std::string &token, TimePoint deadline, ControlHandler)>
        fence;
    std::function<void(const std::string &upstream, Term term, const std::string &token, TimePoint deadline, ControlHandler)>
        promote;
    // `primary` names the upstream to follow.
    std::function<void(const std::string &upstream, Term term, const std::string &token, const std::string &primary,
                       TimePoint deadline, ControlHandler)>
        follow;
};

// Reads one row of the control functions' columns; nothing when a column is
// missing or malformed.
std::optional<MemberStatus> memberStatusFromRow(const std::vector<std::string> &columns,
                                                const std::vector<std::optional<std::string>> &values);

// The adapter that calls the functions by SQL over one lasting connection for
// each upstream. Used from the thread of its io_context alone.
class GroupControl
{
public:
    GroupControl(boost::asio::io_context &context, const DatabaseSpec &database, const std::string &user);
    ~GroupControl();
    GroupControl(const GroupControl &) = delete;
    GroupControl &operator=(const GroupControl &) = delete;

    // Connections of upstreams that are gone or have moved are closed.
    void update(const DatabaseSpec &database);
    // Ends every call with a failure.
    void close();
    // Valid for as long as this object.
    GroupControlHooks hooks();

private:
    class Channel;
    void call(const std::string &upstream, const std::string &sql, TimePoint deadline, ControlHandler handler);
    void status(const std::string &upstream, TimePoint deadline, StatusHandler handler);
    void follow(const std::string &upstream, Term term, const std::string &token, const std::string &primary, TimePoint deadline,
                ControlHandler handler);

    boost::asio::io_context &m_context;
    const std::string m_user;
    std::string m_database;
    // "IP:port" by upstream.
    std::map<std::string, std::string> m_addresses;
    // One for each upstream of m_addresses.
    std::map<std::string, std::shared_ptr<Channel>> m_channels;
};

} // namespace egrettide
