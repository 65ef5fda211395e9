// Accepts operators' requests for a planned change of the primary on any host and
// forwards them to the home of the current primary, the only host that can pause
// writes during the change.

#pragma once

#include "runtime/operators/operatorserver.h"
#include "runtime/upstreams/homeservice.h"
#include "wire/hopcodec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace egrettide
{

struct SwitchoverServiceHooks {
    std::function<void(const std::string &host, hop::HopMessage)> send;
    // The other hosts that are homes of the database's upstreams.
    std::function<std::vector<std::string>(const std::string &database)> otherHomes;
};

// Used from the control thread only.
class SwitchoverService
{
public:
    SwitchoverService(boost::asio::io_context &control, HomeService &homes, SwitchoverServiceHooks hooks);
    SwitchoverService(const SwitchoverService &) = delete;
    SwitchoverService &operator=(const SwitchoverService &) = delete;

    // Handles POST /switchover with {"database", "to"}; responds when the change has ended.
    void onOperator(const std::string &body, const OperatorResponder &respond);
    // Handles the request of another host.
    void onRequest(const hop::SwitchoverRequest &request, std::function<void(hop::SwitchoverReply)> reply);
    void onReply(const hop::SwitchoverReply &reply);

private:
    using DoneHandler = std::function<void(tl::expected<void, Error>)>;
    struct Job;
    // Changes the primary if this host is its home, to the most advanced replica where `to` is empty.
    void changePrimary(const std::string &database, const std::string &to, DoneHandler handler);
    void tryNext(const std::shared_ptr<Job> &job);
    void ask(const std::shared_ptr<Job> &job, const std::string &host);
    void finish(const std::shared_ptr<Job> &job, const tl::expected<void, Error> &result);

    boost::asio::io_context &m_control;
    HomeService &m_homes;
    SwitchoverServiceHooks m_hooks;
    std::map<std::uint64_t, std::shared_ptr<Job>> m_asked;
    std::uint64_t m_nextId = 1;
};

} // namespace egrettide
