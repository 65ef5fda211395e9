// Requests and quotas: when a request counts, and what the caller receives when it must not
// start.

#define BOOST_TEST_MODULE RequestRunner
#include <boost/test/unit_test.hpp>

#include "runtime/callers/requestrunner.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace egrettide;

namespace
{

// Runs requests without sockets. `answer` replies in place of the homes; `quota` requests are
// admitted.
struct Runner {
    using Answer = std::function<StatementReply(const StatementRequest &)>;

    explicit Runner(Answer homeAnswer) : answer(std::move(homeAnswer))
    {
        auto configuration = std::make_shared<Configuration>();
        DatabaseSpec database;
        database.name = "bookings";
        for (const char *name : {"u1", "u2", "u3"}) {
            UpstreamSpec upstream;
            upstream.name = name;
            database.upstreams.push_back(upstream);
        }
        configuration->databases = {database};
        FrontHooks hooks;
        hooks.configuration = [configuration] { return configuration; };
        hooks.execute = [this](const StatementRequest &request, const ReplyHandler &handler) {
            ++sends;
            StatementReply reply = answer(request);
            reply.id = request.id;
            handler(std::move(reply));
        };
        hooks.admit = [this](const std::string &, TimePoint, const std::function<void(tl::expected<void, Error>)> &handler) {
            if (++counted > quota) {
                handler(tl::unexpected(Error{ErrorKind::QuotaExceeded, "beyond", milliseconds{70}}));
            } else {
                handler({});
            }
        };
        shard = std::make_shared<detail::TrafficShard>(context, std::make_shared<detail::FrontCommon>(FrontOptions{}, hooks), 1);
        shard->configuration();
    }

    StatementReply run(StatementRequest request)
    {
        request.database = "bookings";
        request.deadline = Clock::now() + std::chrono::seconds(20);
        std::optional<StatementReply> result;
        auto done = [&result](StatementReply reply, const std::string &) { result = std::move(reply); };
        std::make_shared<detail::RequestRunner>(shard, std::move(request), done)->start();
        while (!result) {
            context.restart();
            context.run_one_for(milliseconds{50});
        }
        return *result;
    }

    boost::asio::io_context context;
    Answer answer;
    int quota = 1;
    int counted = 0;
    int sends = 0;
    std::shared_ptr<detail::TrafficShard> shard;
};

StatementRequest readOf(const std::string &workspace)
{
    StatementRequest request;
    request.kind = StatementKind::Read;
    request.tenant = workspace;
    return request;
}

StatementReply lost(const StatementRequest &)
{
    StatementReply reply;
    reply.sent = true;
    reply.error = Error{ErrorKind::UnknownOutcome, "lost", milliseconds{0}};
    return reply;
}

} // namespace

BOOST_AUTO_TEST_SUITE(RequestRunners)

BOOST_AUTO_TEST_CASE(CountAnAnsweredRequestOnce)
{
    Runner runner([](const StatementRequest &) { return StatementReply{}; });
    BOOST_TEST(!runner.run(readOf("desk")).error.has_value());
    BOOST_TEST(runner.counted == 1);
    BOOST_TEST(!runner.run(readOf("")).error.has_value());
    BOOST_TEST(runner.counted == 1, "a caller without a workspace was counted");
}

BOOST_AUTO_TEST_CASE(SendNothingBeyondTheQuota)
{
    Runner runner([](const StatementRequest &) { return StatementReply{}; });
    runner.quota = 0;
    const StatementReply reply = runner.run(readOf("desk"));
    BOOST_TEST_REQUIRE(reply.error.has_value());
    BOOST_TEST((reply.error->kind == ErrorKind::QuotaExceeded));
    BOOST_TEST(!reply.sent);
    BOOST_TEST(runner.sends == 0);
}

BOOST_AUTO_TEST_CASE(CountRetriesOfRequestsThatMayHaveRun)
{
    // A read is sent, its answer is lost, and the retry is sent to another upstream or refused
    // by the quota. If only the first attempt counted, the workspace would exceed its quota
    // while answers are lost. If the refusal of the retry were reported for both attempts, the
    // caller would receive "not run" for a request that may have run.
    Runner counting(lost);
    counting.quota = 100;
    counting.run(readOf("desk"));
    BOOST_TEST(counting.sends > 1);
    BOOST_TEST(counting.counted == counting.sends);

    Runner refusing(lost);
    const StatementReply reply = refusing.run(readOf("desk"));
    BOOST_TEST(refusing.sends == 1);
    BOOST_TEST(reply.sent, "a request that was sent is reported as never sent");
}

BOOST_AUTO_TEST_SUITE_END()
