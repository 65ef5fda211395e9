// Routes planned changes of the primary to the primary's home.

#include "runtime/group/switchoverservice.h"

#include "egrettide/core/jsontext.h"
#include "runtime/host/timer.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace egrettide
{

namespace
{

// Longer than any switchover, which waits for open transactions.
constexpr std::chrono::seconds replyBound{40};
constexpr std::chrono::seconds retryDelay{1};

OperatorResponse failureResponse(const Error &error)
{
    const nlohmann::json body{
        {"error", nameOf(error.kind)}, {"message", error.message}, {"retryAfterMs", error.retryAfter.count()}};
    constexpr unsigned conflict = 409;
    constexpr unsigned badRequest = 400;
    // The message may come from another host; without `replace`, dump() throws on invalid UTF-8.
    std::string text = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return OperatorResponse{error.kind == ErrorKind::InvalidInput ? badRequest : conflict, "application/json", std::move(text)};
}

// True when the asked host is not the primary's home.
bool isElsewhere(const Error &error)
{
    return error.kind == ErrorKind::Moved || error.kind == ErrorKind::NoPrimary || error.kind == ErrorKind::UnknownDatabase;
}

// Returns the replica with the highest received mark, which keeps the pause of writes
// shortest; empty when there is none.
std::string mostAdvancedReplica(const GroupSnapshot &snapshot)
{
    const MemberView *best = nullptr;
    for (const MemberView &member : snapshot.members) {
        const bool fit = member.role == UpstreamRole::Replica && member.reachable && !member.leaving;
        if (fit && (best == nullptr || member.received > best->received)) {
            best = &member;
        }
    }
    return best != nullptr ? best->upstream : std::string();
}

} // namespace

struct SwitchoverService::Job {
    explicit Job(boost::asio::io_context &control) : timer(control)
    {
    }

    std::string database;
    std::string to;
    // Hosts that have not been asked yet.
    std::vector<std::string> hosts;
    Error lastError{ErrorKind::NoPrimary, "No home of the database's primary was found; check that its zone has a live host.",
                    std::chrono::duration_cast<milliseconds>(retryDelay)};
    OperatorResponder respond;
    Timer timer;
};

SwitchoverService::SwitchoverService(boost::asio::io_context &control, HomeService &homes, SwitchoverServiceHooks hooks)
    : m_control(control), m_homes(homes), m_hooks(std::move(hooks))
{
}

void SwitchoverService::onOperator(const std::string &body, const OperatorResponder &respond)
{
    const nlohmann::json document = parseJson(body).value_or(nlohmann::json());
    const bool named = document.is_object() && document.contains("database") && document["database"].is_string();
    if (!named) {
        respond(failureResponse(
            Error{ErrorKind::InvalidInput, "Name the database: {\"database\": \"...\", \"to\": \"...\"}.", milliseconds{0}}));
        return;
    }
    auto job = std::make_shared<Job>(m_control);
    job->database = document["database"];
    if (document.contains("to") && document["to"].is_string()) {
        job->to = document["to"];
    }
    job->hosts = m_hooks.otherHomes(job->database);
    job->respond = respond;
    changePrimary(job->database, job->to, [this, job](const tl::expected<void, Error> &result) {
        boost::asio::post(m_control, [this, job, result] { finish(job, result); });
    });
}

void SwitchoverService::changePrimary(const std::string &database, const std::string &to, DoneHandler handler)
{
    std::string successor = to;
    if (successor.empty()) {
        const auto snapshot = m_homes.snapshot(database);
        successor = snapshot ? mostAdvancedReplica(*snapshot) : std::string();
    }
    if (successor.empty()) {
        handler(tl::unexpected(Error{ErrorKind::NoPrimary,
                                     "No replica of \"" + database + "\" can take over according to this host's view.",
                                     std::chrono::duration_cast<milliseconds>(retryDelay)}));
        return;
    }
    m_homes.switchover(database, successor, std::move(handler));
}

void SwitchoverService::finish(const std::shared_ptr<Job> &job, const tl::expected<void, Error> &result)
{
    job->timer.cancel();
    if (result) {
        job->respond(
            OperatorResponse{200, "application/json", nlohmann::json{{"done", true}, {"database", job->database}}.dump()});
        return;
    }
    if (!isElsewhere(result.error())) {
        job->respond(failureResponse(result.error()));
        return;
    }
    job->lastError = result.error();
    tryNext(job);
}

void SwitchoverService::tryNext(const std::shared_ptr<Job> &job)
{
    if (job->hosts.empty()) {
        job->respond(failureResponse(job->lastError));
        return;
    }
    const std::string host = job->hosts.back();
    job->hosts.pop_back();
    ask(job, host);
}

void SwitchoverService::ask(const std::shared_ptr<Job> &job, const std::string &host)
{
    const std::uint64_t id = m_nextId++;
    m_asked[id] = job;
    m_hooks.send(host, hop::SwitchoverRequest{id, job->database, job->to});
    job->timer.expires_after(replyBound);
    job->timer.async_wait([this, job, id](const boost::system::error_code &failure) {
        if (failure || m_asked.erase(id) == 0) {
            return;
        }
        job->respond(failureResponse(Error{ErrorKind::UnknownOutcome,
                                           "The primary's home did not answer; look at the status before you try again.",
                                           std::chrono::duration_cast<milliseconds>(retryDelay)}));
    });
}

void SwitchoverService::onRequest(const hop::SwitchoverRequest &request, std::function<void(hop::SwitchoverReply)> reply)
{
    // An empty `to` leaves the choice of the successor to this host.
    changePrimary(request.database, request.to,
                  [id = request.id, reply = std::move(reply)](const tl::expected<void, Error> &result) {
                      hop::SwitchoverReply answer;
                      answer.id = id;
                      if (!result) {
                          answer.error = result.error();
                      }
                      reply(std::move(answer));
                  });
}

void SwitchoverService::onReply(const hop::SwitchoverReply &reply)
{
    const auto found = m_asked.find(reply.id);
    if (found == m_asked.end()) {
        return;
    }
    const auto job = found->second;
    m_asked.erase(found);
    if (reply.error) {
        finish(job, tl::unexpected(*reply.error));
    } else {
        finish(job, {});
    }
}

} // namespace egrettide
