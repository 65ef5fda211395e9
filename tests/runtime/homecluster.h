// A database group of three upstream stand-ins and up to three hosts in one process.
// Each host has a HomeService, a control thread and a traffic thread. Hosts request
// opinions and announce primaries by direct calls.

#pragma once

#include "egrettide/core/configuration.h"
#include "runtime/upstreams/homeservice.h"
#include "testing/upstream/upstreamstandin.h"
#include "wire/pgwire.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace egrettide::testing
{

constexpr std::chrono::seconds maxWait{20};
inline const std::string databaseName = "booking";
inline const std::array<std::string, 3> upstreamNames{"a", "b", "c"};

// An io_context and the thread that runs it.
class ContextThread
{
public:
    ContextThread() : m_guard(boost::asio::make_work_guard(m_context)), m_thread([this] { m_context.run(); })
    {
    }
    ~ContextThread()
    {
        end();
    }
    ContextThread(const ContextThread &) = delete;
    ContextThread &operator=(const ContextThread &) = delete;

    boost::asio::io_context &context()
    {
        return m_context;
    }
    void end()
    {
        m_guard.reset();
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

// The rows of an answer, as text.
inline std::vector<std::vector<std::string>> rowsOf(const StatementReply &reply)
{
    std::vector<std::vector<std::string>> rows;
    pg::FrameReader reader;
    reader.feed(reply.bytes);
    for (auto next = reader.next(); next && *next; next = reader.next()) {
        if ((*next)->type != 'D') {
            continue;
        }
        std::vector<std::string> row;
        for (const auto &value : pg::parseDataRow((*next)->payload).value_or(std::vector<std::optional<std::string>>{})) {
            row.push_back(value.value_or("NULL"));
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

inline std::string sqlStateIn(const StatementReply &reply)
{
    pg::FrameReader reader;
    reader.feed(reply.bytes);
    for (auto next = reader.next(); next && *next; next = reader.next()) {
        if ((*next)->type == 'E') {
            return pg::parseErrorFields((*next)->payload).sqlState;
        }
    }
    return {};
}

inline std::string textOf(const StatementReply &reply)
{
    return reply.error ? std::string(nameOf(reply.error->kind)) + ": " + reply.error->message : "answered " + sqlStateIn(reply);
}

struct ClusterOptions {
    int hosts = 3;
    int slots = 4;
    int connections = 30;
    std::chrono::microseconds serviceTime{0};
    milliseconds replicationLag{0};
    HomeServiceSettings settings;
};

class Cluster
{
public:
    explicit Cluster(const ClusterOptions &options = {}) : m_options(options)
    {
        startUpstreams();
        m_configuration = std::make_shared<Configuration>(configuration());
        for (int i = 0; i < options.hosts; ++i) {
            m_hosts.push_back(std::make_unique<Host>());
        }
        for (int i = 0; i < options.hosts; ++i) {
            startHost(i);
        }
        awaitSnapshot(isWhole, "a confirmed primary that all members follow");
    }

    ~Cluster()
    {
        for (const auto &host : m_hosts) {
            host->service->stop();
        }
        for (const auto &host : m_hosts) {
            host->control.end();
            host->traffic.end();
        }
        for (const auto &upstream : m_upstreams) {
            upstream->freeze(false);
            upstream->cut(false);
            upstream->stop();
        }
    }
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    UpstreamStandIn &upstream(const std::string &name)
    {
        return *m_upstreams.at(static_cast<std::size_t>(name.front() - 'a'));
    }

    // The host that is home of an upstream.
    HomeService &home(const std::string &upstreamName)
    {
        return *m_hosts.at(homeIndex(upstreamName))->service;
    }

    // The state of all hosts and upstreams, for failure messages.
    std::string describe()
    {
        std::ostringstream out;
        for (const auto &host : m_hosts) {
            const auto view = host->service->snapshot(databaseName);
            out << "\nhost sees " << view->primary << " at term " << view->term << (view->primaryConfirmed ? " confirmed" : "");
            for (const MemberView &member : view->members) {
                out << "; " << member.upstream << (member.reachable ? " " : " unreachable ") << member.received << " follows "
                    << member.followingTerm;
            }
        }
        for (const std::string &name : upstreamNames) {
            const MemberStatus status = upstream(name).status();
            out << "\n"
                << name << " role " << static_cast<int>(status.role) << " promised " << status.promisedTerm << " to "
                << status.promisedTo << " received " << status.received << " follows " << status.followingTerm;
            const UpstreamStatistics statistics = upstream(name).statistics();
            out << " connections " << statistics.connections << " refused " << statistics.refusedConnections << " queue "
                << statistics.queue;
        }
        return out.str();
    }

    // The number of requests that the home of an upstream has sent to it.
    std::uint64_t sentBy(const std::string &upstreamName)
    {
        std::promise<std::uint64_t> promise;
        auto future = promise.get_future();
        home(upstreamName).stats([&promise, &upstreamName](const std::vector<UpstreamHomeStats> &all) {
            std::uint64_t sent = 0;
            for (const UpstreamHomeStats &stats : all) {
                sent += stats.upstream == upstreamName ? stats.sent : 0;
            }
            promise.set_value(sent);
        });
        return future.get();
    }

    std::shared_ptr<const GroupSnapshot> view(int host = 0)
    {
        return m_hosts.at(static_cast<std::size_t>(host))->service->snapshot(databaseName);
    }

    std::shared_ptr<const Configuration> currentConfiguration() const
    {
        return m_configuration;
    }

    void configure(const Configuration &next)
    {
        m_configuration = std::make_shared<Configuration>(next);
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            updateHost(i);
        }
    }

    // Makes the host of an upstream leave its home, and waits until the home is removed. Only for
    // a host that is home of no other upstream.
    void leaveHome(const std::string &upstreamName)
    {
        m_left.insert(upstreamName);
        updateHost(homeIndex(upstreamName));
        awaitTrue([&] { return !home(upstreamName).snapshot(databaseName); }, "the end of the home");
    }

    void takeHomeAgain(const std::string &upstreamName)
    {
        m_left.erase(upstreamName);
        updateHost(homeIndex(upstreamName));
        awaitSnapshot(isWhole, "a confirmed primary that all members follow");
    }

    // Blocks the control thread of every host, as if the process were suspended.
    void blockControlThreads(milliseconds time)
    {
        std::vector<std::future<void>> unblocked;
        for (const auto &host : m_hosts) {
            const auto promise = std::make_shared<std::promise<void>>();
            unblocked.push_back(promise->get_future());
            boost::asio::post(host->control.context(), [promise, time] {
                std::this_thread::sleep_for(time);
                promise->set_value();
            });
        }
        for (auto &future : unblocked) {
            future.wait();
        }
    }

    static bool isWhole(const GroupSnapshot &view)
    {
        return view.primaryConfirmed && std::ranges::all_of(view.members, [&view](const MemberView &member) {
                   return member.reachable && member.followingTerm == view.term;
               });
    }

    // Waits until the snapshot of every host satisfies `condition`.
    void awaitSnapshot(const std::function<bool(const GroupSnapshot &)> &condition, const std::string &what)
    {
        awaitTrue(
            [&] {
                return std::ranges::all_of(m_hosts, [&](const auto &host) {
                    const auto view = host->service->snapshot(databaseName);
                    return view && condition(*view);
                });
            },
            what);
    }

    static void awaitTrue(const std::function<bool()> &condition, const std::string &what)
    {
        const TimePoint end = Clock::now() + maxWait;
        while (!condition()) {
            BOOST_REQUIRE_MESSAGE(Clock::now() < end, "waited too long for " << what << "; look at the observer's rounds");
            std::this_thread::sleep_for(milliseconds{2});
        }
    }

    StatementRequest request(const std::string &upstreamName, StatementKind kind, const std::string &sql,
                             milliseconds timeout = milliseconds{5000})
    {
        StatementRequest request;
        request.id = ++m_lastId;
        request.database = databaseName;
        request.upstream = upstreamName;
        request.kind = kind;
        request.className = "desk";
        request.tenant = "branch";
        request.receivedAt = Clock::now();
        request.deadline = request.receivedAt + timeout;
        pg::appendQuery(request.batch, sql);
        return request;
    }

    std::future<StatementReply> send(StatementRequest request, const std::string &frontKey = "front")
    {
        const auto promise = std::make_shared<std::promise<StatementReply>>();
        auto future = promise->get_future();
        const std::string upstreamName = request.upstream;
        home(upstreamName).execute(std::move(request), frontKey, [promise](StatementReply reply) {
            promise->set_value(std::move(reply));
        });
        return future;
    }

    StatementReply run(StatementRequest request, const std::string &frontKey = "front")
    {
        return await(send(std::move(request), frontKey));
    }

    StatementReply run(const std::string &upstreamName, StatementKind kind, const std::string &sql,
                       milliseconds timeout = milliseconds{5000})
    {
        return run(request(upstreamName, kind, sql, timeout));
    }

    // Throws instead of using Boost.Test, which must not be used on the threads of writers.
    static StatementReply await(std::future<StatementReply> future)
    {
        if (future.wait_for(maxWait) != std::future_status::ready) {
            throw std::runtime_error("a request got no answer at all; every request must be answered by its deadline");
        }
        return future.get();
    }

    // Writes as a front does: sends to the primary in the snapshot, and retries only
    // requests that are proven not to have run.
    StatementReply write(const std::string &sql, milliseconds timeout = milliseconds{10000})
    {
        const TimePoint end = Clock::now() + timeout;
        while (true) {
            const auto view = this->view();
            const std::string target = view->primary.empty() ? upstreamNames.front() : view->primary;
            StatementReply reply = run(request(target, StatementKind::Write, sql, milliseconds{2000}));
            const bool again = reply.error && outcomeOf(reply.error->kind) == Outcome::NotRun && Clock::now() < end;
            if (!again) {
                return reply;
            }
            std::this_thread::sleep_for(milliseconds{5});
        }
    }

    void createTable()
    {
        const StatementReply reply = write("CREATE TABLE pitch (id int PRIMARY KEY, vendor text)");
        BOOST_REQUIRE_MESSAGE(!reply.error && sqlStateIn(reply).empty(), "the table was not created: " << textOf(reply));
    }

    // The ids in the table at the current primary.
    std::vector<std::string> idsAtPrimary()
    {
        StatementReply reply;
        awaitTrue(
            [&] {
                const std::string primary = view()->primary;
                if (primary.empty()) {
                    return false;
                }
                reply = run(request(primary, StatementKind::Write, "SELECT id FROM pitch ORDER BY id", milliseconds{2000}));
                return !reply.error && sqlStateIn(reply).empty();
            },
            "a read of the table at the primary");
        std::vector<std::string> ids;
        for (const auto &row : rowsOf(reply)) {
            ids.push_back(row.front());
        }
        return ids;
    }

private:
    struct Host {
        ContextThread control;
        ContextThread traffic;
        std::unique_ptr<HomeService> service;
    };

    std::size_t homeIndex(const std::string &upstreamName) const
    {
        return static_cast<std::size_t>(upstreamName.front() - 'a') % m_hosts.size();
    }

    void startUpstreams()
    {
        for (const std::string &name : upstreamNames) {
            UpstreamOptions upstream;
            upstream.name = name;
            upstream.zone = "zone-" + name;
            upstream.slots = m_options.slots;
            upstream.connections = m_options.connections;
            upstream.serviceTime = m_options.serviceTime;
            upstream.replicationLag = m_options.replicationLag;
            upstream.primaryTerm = name == "a" ? 1 : 0;
            upstream.follow = name == "a" ? "" : m_upstreams.front()->endpoint();
            m_upstreams.push_back(std::make_unique<UpstreamStandIn>(upstream));
            m_upstreams.back()->start();
        }
    }

    Configuration configuration() const
    {
        DatabaseSpec database;
        database.name = databaseName;
        database.replicaWait = milliseconds{50};
        for (std::size_t i = 0; i < upstreamNames.size(); ++i) {
            UpstreamSpec upstream;
            upstream.name = upstreamNames[i];
            upstream.address = m_upstreams[i]->endpoint();
            upstream.zone = "zone-" + upstreamNames[i];
            upstream.slots = m_options.slots;
            upstream.connections = m_options.connections;
            database.upstreams.push_back(upstream);
        }
        Configuration configuration;
        configuration.version = 1;
        configuration.databases.push_back(database);
        configuration.classes.push_back(ClassSpec{"desk", 0.5, milliseconds{5000}, 1});
        configuration.tenants.push_back(TenantSpec{"branch", "desk", "", 1.0});
        return configuration;
    }

    HomePredicate predicate(std::size_t host) const
    {
        return [this, host](const DatabaseSpec &, const UpstreamSpec &upstream) {
            return homeIndex(upstream.name) == host && !m_left.contains(upstream.name);
        };
    }

    void updateHost(std::size_t host)
    {
        m_hosts.at(host)->service->update(m_configuration, predicate(host));
    }

    void startHost(int index)
    {
        Host &host = *m_hosts.at(static_cast<std::size_t>(index));
        HomeServiceSettings settings = m_options.settings;
        settings.observer.incarnation = "host-" + std::to_string(index);
        settings.observer.seed = static_cast<std::uint64_t>(index) + 1;
        settings.home.transactionIds = std::make_shared<TransactionIds>(1000U * (static_cast<std::uint64_t>(index) + 1));
        host.service = std::make_unique<HomeService>(
            host.control.context(), std::vector<boost::asio::io_context *>{&host.traffic.context()}, settings, hooks(index));
        host.service->update(m_configuration, predicate(static_cast<std::size_t>(index)));
    }

    HomeServiceHooks hooks(int index)
    {
        HomeServiceHooks hooks;
        hooks.observer.askOpinion = [this](const OpinionQuestion &question, TimePoint, std::function<void(bool)> handler) {
            const auto passOn = [handler](std::optional<bool> agrees) {
                if (agrees) {
                    handler(*agrees);
                }
            };
            home(question.home).giveOpinion(question, passOn);
        };
        hooks.observer.readRecord = [this](const std::string &, TimePoint, auto handler) {
            const std::scoped_lock lock(m_storeMutex);
            handler(m_record);
        };
        hooks.observer.claimRecord = [this](const std::string &, std::uint64_t expected, const GroupRecord &record, TimePoint,
                                            auto handler) {
            const std::scoped_lock lock(m_storeMutex);
            const bool current = expected == m_record.version;
            if (current) {
                m_record = VersionedRecord{expected + 1, record};
            }
            handler(ClaimAnswer{current ? ClaimResult::Claimed : ClaimResult::Conflict, m_record});
        };
        hooks.observer.writeRecord = [this](const std::string &, const GroupRecord &record) {
            const std::scoped_lock lock(m_storeMutex);
            m_record = VersionedRecord{m_record.version + 1, record};
        };
        hooks.observer.announce = [this, index](const std::string &database, Term term, const std::string &primary) {
            for (std::size_t i = 0; i < m_hosts.size(); ++i) {
                if (i != static_cast<std::size_t>(index)) {
                    m_hosts[i]->service->onAnnounce(database, term, primary);
                }
            }
        };
        return hooks;
    }

    const ClusterOptions m_options;
    std::vector<std::unique_ptr<UpstreamStandIn>> m_upstreams;
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<std::unique_ptr<Host>> m_hosts;
    // Upstreams whose host has left their home.
    std::set<std::string> m_left;
    std::atomic<std::uint64_t> m_lastId{0};
    std::mutex m_storeMutex;
    VersionedRecord m_record;
};

} // namespace egrettide::testing
