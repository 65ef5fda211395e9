// The narrow interface through which egrettide controls upstreams: status,
// fence, promote and follow. Everything else of the system knows upstreams'
// control functions through GroupControlHooks alone, so that another adapter
// takes the place of the SQL one without a change elsewhere.

#pragma once

#include "egrettide/core/configuration.h"
#include "egrettide/core/error.h"
#include "egrettide/core/types.h"
#include "runtime/upstreamconnection.h"

#include <boost/asio/io_context.hpp>
#include <tl/expected.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace egrettide
{

// The answer to fence, promote or follow.
struct ControlAnswer {
    bool granted = false;
    MemberStatus status;
};

using StatusHandler = std::function<void(tl::expected<MemberStatus, Error>)>;
using ControlHandler = std::function<void(tl::expected<ControlAnswer, Error>)>;

// The four control functions. Each handler is called exactly once, at the latest
// at the deadline. An error says nothing about whether the upstream acted: the
// functions are idempotent for one token, so the caller may repeat them.
struct GroupControlHooks {
    std::function<void(const std::string &upstream, TimePoint deadline, StatusHandler)> status;
    std::function<void(const std::string &upstream, Term term, const std::string &token, TimePoint deadline, ControlHandler)>
        fence;
    std::function<void(const std::string &upstream, Term term, const std::string &token, TimePoint deadline, ControlHandler)>
        promote;
    std::function<void(const std::string &upstream, Term term, const std::string &token, const std::string &primaryAddress,
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
    GroupControl(boost::asio::io_context &context, DatabaseSpec database);
    ~GroupControl();
    GroupControl(const GroupControl &) = delete;
    GroupControl &operator=(const GroupControl &) = delete;

    // Connections of upstreams that are gone or have moved are closed.
    void update(const DatabaseSpec &database);
    GroupControlHooks hooks();

    void status(const std::string &upstream, TimePoint deadline, StatusHandler handler);
    void fence(const std::string &upstream, Term term, const std::string &token, TimePoint deadline, ControlHandler handler);
    void promote(const std::string &upstream, Term term, const std::string &token, TimePoint deadline, ControlHandler handler);
    void follow(const std::string &upstream, Term term, const std::string &token, const std::string &primaryAddress,
                TimePoint deadline, ControlHandler handler);

private:
    struct Channel;
    void call(const std::string &upstream, const std::string &sql, TimePoint deadline, ControlHandler handler);

    boost::asio::io_context &m_context;
    std::string m_database;
    // One for each upstream of the database.
    std::map<std::string, std::shared_ptr<Channel>> m_channels;
};

} // namespace egrettide
