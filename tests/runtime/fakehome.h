// In-process homes of all upstreams of one database: run requests at fake upstreams,
// or answer them from a script of the test. Replies arrive from a separate thread, as
// with real homes.

#pragma once

#include "egrettide/core/request.h"
#include "tests/runtime/fakeupstream.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace egrettide::test
{

// Each request outside a transaction runs on a new connection.
class FakeHome
{
public:
    // Returns the reply in place of the upstream, or nothing to run the request there.
    using Script = std::function<std::optional<StatementReply>(const StatementRequest &request)>;

    FakeHome() : m_work(boost::asio::make_work_guard(m_context)), m_thread([this] { m_context.run(); })
    {
    }

    ~FakeHome()
    {
        m_context.stop();
        m_thread.join();
    }
    FakeHome(const FakeHome &) = delete;
    FakeHome &operator=(const FakeHome &) = delete;

    ExecuteHook executeHook()
    {
        return [this](StatementRequest request, ReplyHandler handler) {
            boost::asio::post(m_context,
                              [this, request = std::move(request), handler = std::move(handler)] { handle(request, handler); });
        };
    }

    std::function<void(std::uint64_t)> cancelHook()
    {
        return [this](std::uint64_t id) { boost::asio::post(m_context, [this, id] { cancel(id); }); };
    }

    void setScript(Script script)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_script = std::move(script);
    }

    // Delays requests whose batch contains `text` until release().
    void hold(const std::string &text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_holdText = text;
    }

    void release()
    {
        hold({});
        boost::asio::post(m_context, [this] {
            const auto held = std::move(m_held);
            m_held.clear();
            for (const auto &[request, handler] : held) {
                handle(request, handler);
            }
        });
    }

    // Waits until `isMet` returns true for the requests so far; false after 20 s.
    bool waitFor(const std::function<bool(const std::vector<StatementRequest> &)> &isMet)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(20), [&] { return isMet(m_requests); });
    }

    bool waitForRequest(const std::string &text)
    {
        return waitFor([&](const std::vector<StatementRequest> &requests) {
            return std::any_of(requests.begin(), requests.end(),
                               [&](const StatementRequest &request) { return request.batch.find(text) != std::string::npos; });
        });
    }

    std::vector<StatementRequest> requests() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_requests;
    }

    // The executed statements, in order.
    std::vector<std::string> ran() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_ran;
    }

    std::size_t timesRan(const std::string &sql) const
    {
        const auto all = ran();
        return static_cast<std::size_t>(std::count(all.begin(), all.end(), sql));
    }

    // Waits until the statement has run at an upstream; false after 20 s.
    bool waitUntilRan(const std::string &sql)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(20),
                                  [&] { return std::find(m_ran.begin(), m_ran.end(), sql) != m_ran.end(); });
    }

    static GroupHint hint()
    {
        GroupHint hint;
        hint.database = "bookings";
        hint.term = 1;
        hint.primary = "u1";
        for (const char *name : {"u1", "u2"}) {
            MemberHint member;
            member.upstream = name;
            member.replayed = LogMark{1, 1000};
            member.reachable = true;
            hint.members.push_back(member);
        }
        return hint;
    }

    static StatementReply refusal(ErrorKind kind, bool sent, milliseconds retryAfter = milliseconds{0})
    {
        StatementReply reply;
        reply.error = Error{kind, "The fake home refuses the request; this is expected.", retryAfter};
        reply.sent = sent;
        return reply;
    }

private:
    using Connection = std::shared_ptr<FakeUpstreamConnection>;

    void handle(const StatementRequest &request, const ReplyHandler &handler)
    {
        Script script;
        bool holds = false;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_requests.push_back(request);
            holds = !m_holdText.empty() && request.batch.find(m_holdText) != std::string::npos;
            script = m_script;
        }
        m_changed.notify_all();
        if (holds) {
            m_held.emplace_back(request, handler);
            return;
        }
        auto scripted = script ? script(request) : std::nullopt;
        StatementReply reply = scripted ? std::move(*scripted) : runAtUpstream(request);
        reply.id = request.id;
        reply.hint = hint();
        handler(std::move(reply));
    }

    StatementReply runAtUpstream(const StatementRequest &request)
    {
        if (request.transaction != 0 && !m_transactions.contains(request.transaction)) {
            return refusal(ErrorKind::Moved, false);
        }
        const Connection connection = request.transaction != 0 ? m_transactions[request.transaction] : newConnection();
        m_transactions.erase(request.transaction);
        StatementReply reply;
        for (const PreparedStatement &statement : request.prepared) {
            const std::string answer = connection->run(statement.parseMessage);
            if (answer.starts_with('E')) {
                reply.bytes = answer;
            }
        }
        reply.bytes.append(connection->run(request.batch));
        reply.sent = true;
        reply.transactionState = connection->state();
        if (connection->state() != 'I') {
            reply.transaction = request.transaction != 0 ? request.transaction : ++m_lastTransaction;
            m_transactions[reply.transaction] = connection;
        }
        reply.seen = LogMark{1, request.kind == StatementKind::Read ? m_position : ++m_position};
        return reply;
    }

    Connection newConnection()
    {
        return std::make_shared<FakeUpstreamConnection>([this](const std::string &sql) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_ran.push_back(sql);
            m_changed.notify_all();
        });
    }

    // Treats a held request as running at its upstream.
    void cancel(std::uint64_t id)
    {
        const auto found = std::find_if(m_held.begin(), m_held.end(), [id](const auto &held) { return held.first.id == id; });
        if (found == m_held.end()) {
            return;
        }
        const ReplyHandler handler = found->second;
        m_held.erase(found);
        StatementReply reply;
        reply.id = id;
        reply.sent = true;
        reply.hint = hint();
        pg::appendErrorResponse(reply.bytes, "57014", "canceling statement due to user request", {});
        pg::appendReadyForQuery(reply.bytes, 'I');
        handler(std::move(reply));
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<StatementRequest> m_requests;
    std::vector<std::string> m_ran;
    Script m_script;
    std::string m_holdText;

    // Used only on m_thread.
    std::vector<std::pair<StatementRequest, ReplyHandler>> m_held;
    std::map<std::uint64_t, Connection> m_transactions;
    std::uint64_t m_lastTransaction = 0;
    Position m_position = 0;

    std::thread m_thread;
};

} // namespace egrettide::test
