// Tests the observers of three hosts over one group: failover, a frozen primary that
// resumes, and planned changes, while callers write continuously.

#define BOOST_TEST_MODULE GroupObserver
#include <boost/test/unit_test.hpp>

#include "tests/runtime/homecluster.h"

#include <set>

using namespace egrettide;
using namespace egrettide::testing;

namespace
{

std::string insert(int id)
{
    return "INSERT INTO pitch VALUES (" + std::to_string(id) + ", 'v')";
}

// Writes rows one at a time, as a caller with a driver does.
class Writer
{
public:
    Writer(Cluster &cluster, int firstId) : m_cluster(cluster), m_nextId(firstId), m_thread([this] { run(); })
    {
    }
    ~Writer()
    {
        stop();
    }
    Writer(const Writer &) = delete;
    Writer &operator=(const Writer &) = delete;

    void stop()
    {
        m_stopped = true;
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }
    // Valid only after stop().
    std::set<std::string> acknowledged;
    std::vector<std::string> failures;
    std::atomic<int> count{0};

private:
    void run()
    {
        while (!m_stopped) {
            const int id = m_nextId++;
            const StatementReply reply = m_cluster.write(insert(id));
            if (!reply.error && sqlStateIn(reply).empty()) {
                acknowledged.insert(std::to_string(id));
                ++count;
            } else {
                failures.push_back(textOf(reply));
            }
        }
    }

    Cluster &m_cluster;
    std::atomic<bool> m_stopped{false};
    int m_nextId;
    std::thread m_thread;
};

void requireAllPresent(Cluster &cluster, const std::set<std::string> &acknowledged)
{
    const auto rows = cluster.idsAtPrimary();
    const std::set<std::string> present(rows.begin(), rows.end());
    BOOST_TEST(present.size() == rows.size(), "a row is there twice: a write was applied twice");
    for (const std::string &id : acknowledged) {
        BOOST_TEST(present.contains(id), "the acknowledged write " << id << " is lost");
    }
}

void awaitSuccessor(Cluster &cluster, Term above)
{
    cluster.awaitSnapshot([above](const GroupSnapshot &view) { return view.primaryConfirmed && view.term > above; },
                          "a confirmed successor at every host");
}

} // namespace

BOOST_AUTO_TEST_SUITE(Failover)

// Acknowledged writes are lost when the primary fails and a replica is promoted, if a
// write was acknowledged before a majority held it, or if the promoted replica lagged
// behind.
BOOST_AUTO_TEST_CASE(AKilledPrimaryIsSucceededWithEveryAcknowledgedWrite)
{
    Cluster cluster;
    cluster.createTable();
    Writer first(cluster, 0);
    Writer second(cluster, 100000);
    Cluster::awaitTrue([&] { return first.count > 20 && second.count > 20; }, "writes before the failure");
    cluster.upstream("a").kill();
    awaitSuccessor(cluster, 1);
    const int before = first.count;
    Cluster::awaitTrue([&] { return first.count > before + 20; }, "writes at the successor");
    first.stop();
    second.stop();
    BOOST_TEST(cluster.view()->primary != "a");
    requireAllPresent(cluster, first.acknowledged);
    requireAllPresent(cluster, second.acknowledged);
    for (const std::string &failure : first.failures) {
        BOOST_TEST_MESSAGE("failed write: " << failure);
    }
    // Each change of term may interrupt the one statement that the writer has in
    // progress; on a busy machine there may be two changes.
    const auto changes = static_cast<std::size_t>(cluster.view()->term - 1);
    BOOST_TEST(first.failures.size() <= changes,
               "a writer with one statement at a time had " << first.failures.size() << " writes without an answer over "
                                                            << changes << " changes of term");
}

// A frozen primary resumes after a successor was promoted and executes the writes that
// it had received. If its answer is accepted although a majority has promised a higher
// term, two callers can book the same slot.
BOOST_AUTO_TEST_CASE(AFrozenPrimaryThatResumesAcknowledgesNothing)
{
    Cluster cluster;
    cluster.createTable();
    BOOST_REQUIRE(!cluster.write(insert(1)).error);
    cluster.upstream("a").freeze(true);
    auto pending = cluster.send(cluster.request("a", StatementKind::Write, insert(2), milliseconds{8000}));
    awaitSuccessor(cluster, 1);
    BOOST_REQUIRE(!cluster.write(insert(3)).error);
    cluster.upstream("a").freeze(false);
    const StatementReply reply = Cluster::await(std::move(pending));
    const auto rows = cluster.idsAtPrimary();
    const bool present = std::ranges::find(rows, "2") != rows.end();
    BOOST_TEST((reply.error.has_value() || present), "the resumed primary's write was acknowledged and is not in the successor");
    if (reply.error && reply.sent) {
        BOOST_TEST((outcomeOf(reply.error->kind) == Outcome::Unknown),
                   "a write that was sent is reported as not executed: " << textOf(reply));
    }
    // The old primary comes back as a replica.
    Cluster::awaitTrue([&] { return cluster.upstream("a").status().followingTerm == cluster.view()->term; },
                       "the old primary to follow the new one");
    BOOST_TEST((cluster.upstream("a").status().role == UpstreamRole::Replica));
}

BOOST_AUTO_TEST_CASE(AnUnconfirmedWriteOfACutOffPrimaryIsNeverAcknowledged)
{
    Cluster cluster;
    cluster.createTable();
    Writer writer(cluster, 0);
    Cluster::awaitTrue([&] { return writer.count > 10; }, "writes before the cut");
    cluster.upstream("a").cut(true);
    awaitSuccessor(cluster, 1);
    const int before = writer.count;
    Cluster::awaitTrue([&] { return writer.count > before + 10; }, "writes at the successor");
    cluster.upstream("a").cut(false);
    std::this_thread::sleep_for(milliseconds{50});
    writer.stop();
    requireAllPresent(cluster, writer.acknowledged);
}

// Guards against reads that miss the session's own write after an announced primary.
BOOST_AUTO_TEST_CASE(AnAnnouncedPrimaryIsPublishedWithoutMarksOfTheReplacedOne)
{
    ClusterOptions options;
    options.settings.observer.monitor.primaryProvesItself = true;
    Cluster cluster(options);
    BOOST_REQUIRE(!cluster.view(2)->watermarks.empty());
    cluster.home("c").onAnnounce(databaseName, 2, "b");
    Cluster::awaitTrue([&] { return cluster.view(2)->term == 2; }, "the announced term");
    BOOST_TEST(cluster.view(2)->watermarks.empty(), "a mark of the replaced primary counts for the announced one");
}

BOOST_AUTO_TEST_CASE(AFailedReplicaDoesNotChangeThePrimary)
{
    Cluster cluster;
    cluster.createTable();
    cluster.upstream("c").kill();
    for (int id = 0; id < 30; ++id) {
        const StatementReply reply = cluster.write(insert(id));
        BOOST_TEST(!reply.error.has_value(), textOf(reply));
        std::this_thread::sleep_for(milliseconds{10});
    }
    BOOST_TEST(cluster.view()->term == 1U);
    BOOST_TEST(cluster.view()->primary == "a");
}

// Hosts that are suspended with probes in progress check the clock before the answers
// when they resume. If they take their own pause for silence of the primary, they replace
// a healthy primary.
BOOST_AUTO_TEST_CASE(SuspendedHostsPromoteNoSuccessor)
{
    Cluster cluster;
    cluster.createTable();
    for (int round = 0; round < 3; ++round) {
        cluster.blockControlThreads(milliseconds{1200});
        cluster.awaitSnapshot(Cluster::isWhole, "a proven view after the gap");
    }
    BOOST_TEST(cluster.view()->term == 1U, "term " << cluster.view()->term << " was started although the primary was healthy");
    BOOST_TEST(!cluster.write(insert(1)).error.has_value());
}

// Injects the fault that the commit gate accepts the primary's answer without a majority:
// no replica has the write when it is acknowledged, so the failover must lose it.
BOOST_AUTO_TEST_CASE(WouldLoseAcknowledgedWritesWithoutTheMajority)
{
    ClusterOptions options;
    options.settings.observer.commitFaults.withoutMajority = true;
    Cluster cluster(options);
    cluster.createTable();
    Cluster::awaitTrue([&] { return cluster.upstream("b").status().received == cluster.upstream("a").status().received; },
                       "the replica to have the table");
    Cluster::awaitTrue([&] { return cluster.upstream("c").status().received == cluster.upstream("a").status().received; },
                       "the replica to have the table");
    cluster.upstream("b").cut(true);
    cluster.upstream("c").cut(true);
    const StatementReply reply = cluster.run("a", StatementKind::Write, insert(7), milliseconds{300});
    BOOST_REQUIRE_MESSAGE(!reply.error, "the switched-off gate still held the write back: " << textOf(reply));
    cluster.upstream("a").kill();
    cluster.upstream("b").cut(false);
    cluster.upstream("c").cut(false);
    awaitSuccessor(cluster, 1);
    const auto rows = cluster.idsAtPrimary();
    BOOST_TEST((std::ranges::find(rows, "7") == rows.end()), "the check for lost acknowledged writes does not detect the fault");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PlannedChange)

namespace
{

using Change = std::future<tl::expected<void, Error>>;

Change startSwitchover(Cluster &cluster, const std::string &from, const std::string &to)
{
    const auto promise = std::make_shared<std::promise<tl::expected<void, Error>>>();
    auto future = promise->get_future();
    cluster.home(from).switchover(databaseName, to, [promise](const auto &result) { promise->set_value(result); });
    return future;
}

tl::expected<void, Error> ended(Change change)
{
    BOOST_REQUIRE_MESSAGE(change.wait_for(maxWait) == std::future_status::ready, "the planned change never ended");
    return change.get();
}

} // namespace

BOOST_AUTO_TEST_CASE(FailsNoWriteAndLosesNone)
{
    Cluster cluster;
    cluster.createTable();
    std::vector<std::unique_ptr<Writer>> writers;
    for (int i = 0; i < 4; ++i) {
        writers.push_back(std::make_unique<Writer>(cluster, i * 100000));
    }
    Cluster::awaitTrue([&] { return writers.front()->count > 20; }, "writes before the change");
    const auto changed = ended(startSwitchover(cluster, "a", "b"));
    BOOST_REQUIRE_MESSAGE(changed.has_value(), "the change failed: " << changed.error().message);
    awaitSuccessor(cluster, 1);
    BOOST_TEST(cluster.view()->primary == "b");
    const int before = writers.front()->count;
    Cluster::awaitTrue([&] { return writers.front()->count > before + 20; }, "writes after the change");
    for (auto &writer : writers) {
        writer->stop();
        for (const std::string &failure : writer->failures) {
            BOOST_TEST(false, "a planned change failed a write: " << failure);
        }
        requireAllPresent(cluster, writer->acknowledged);
    }
}

BOOST_AUTO_TEST_CASE(WaitsForOpenTransactionsToEnd)
{
    Cluster cluster;
    cluster.createTable();
    const StatementReply begun = cluster.run("a", StatementKind::Begin, "BEGIN");
    BOOST_REQUIRE(begun.transaction != 0U);
    auto change = startSwitchover(cluster, "a", "b");
    std::this_thread::sleep_for(milliseconds{50});
    StatementRequest inside = cluster.request("a", StatementKind::Write, insert(1));
    inside.transaction = begun.transaction;
    BOOST_TEST(!cluster.run(inside).error.has_value());
    StatementRequest commit = cluster.request("a", StatementKind::Commit, "COMMIT");
    commit.transaction = begun.transaction;
    const StatementReply committed = cluster.run(commit);
    BOOST_TEST(!committed.error.has_value(), textOf(committed));
    const auto changed = ended(std::move(change));
    BOOST_REQUIRE_MESSAGE(changed.has_value(), "the change failed: " << changed.error().message);
    awaitSuccessor(cluster, 1);
    requireAllPresent(cluster, {"1"});
}

BOOST_AUTO_TEST_CASE(IsRefusedWhereThePrimaryIsNotAtHome)
{
    Cluster cluster;
    const auto changed = ended(startSwitchover(cluster, "b", "c"));
    BOOST_REQUIRE(!changed.has_value());
    BOOST_TEST((changed.error().kind == ErrorKind::Moved), changed.error().message);
}

BOOST_AUTO_TEST_CASE(StartsAutomaticallyWhenThePrimaryIsLeaving)
{
    Cluster cluster;
    cluster.createTable();
    Writer writer(cluster, 0);
    Configuration next = *cluster.currentConfiguration();
    next.version = 2;
    next.databases.front().upstreams.front().leaving = true;
    cluster.configure(next);
    awaitSuccessor(cluster, 1);
    const int before = writer.count;
    Cluster::awaitTrue([&] { return writer.count > before + 10; }, "writes after the change");
    writer.stop();
    BOOST_TEST(cluster.view()->primary != "a");
    BOOST_TEST(writer.failures.empty(),
               "a leaving primary failed a write: " << (writer.failures.empty() ? "" : writer.failures.front()));
    requireAllPresent(cluster, writer.acknowledged);
}

BOOST_AUTO_TEST_SUITE_END()
