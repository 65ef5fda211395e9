// How a collection of objects in a store is followed.

#define BOOST_TEST_MODULE Collection
#include <boost/test/unit_test.hpp>

#include "egrettide/core/storeepoch.h"
#include "runtime/configuration/collection.h"

#include <boost/asio/post.hpp>

#include <string>
#include <vector>

using namespace egrettide;

namespace
{

// A store in which another object appears whenever the last one has been told, up to
// a number of them.
struct BusyStore {
    boost::asio::io_context &context;
    int objects;
    int told = 0;
    std::vector<TimePoint> calls{};

    CollectionSource source()
    {
        CollectionSource source;
        source.list = [this](TimePoint, const auto &handler) {
            boost::asio::post(context, [handler] { handler(CollectionPage{{}, 1}); });
        };
        source.changes = [this](std::uint64_t since, TimePoint, const auto &handler) {
            calls.push_back(Clock::now());
            if (told == objects) {
                return;
            }
            ++told;
            const CollectionChange change{{"object-" + std::to_string(told), told}, false};
            boost::asio::post(context, [handler, change, since] { handler(CollectionChanges{{change}, since + 1}); });
        };
        return source;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CollectionFollowerOfAStore)

// Symptom: when many upstreams register one after the other, the store counts as many
// calls from every host as there are upstreams.
// Sequence: each change answers the waiting call, and the next call leaves at once.
// Cause: changes that come in a row were not gathered.
BOOST_AUTO_TEST_CASE(GathersChangesThatComeInARow)
{
    boost::asio::io_context context;
    BusyStore store{context, 3};
    std::size_t seen = 0;
    CollectionFollower follower(context, store.source(),
                                CollectionFollowerHooks{[&seen](const auto &objects) { seen = objects.size(); }, [](bool) {}});
    follower.setWaiting(true);
    follower.start();
    context.run_until(Clock::now() + std::chrono::seconds{30});
    BOOST_TEST(seen == 3U, "only " << seen << " of 3 objects became known");
    BOOST_REQUIRE(store.calls.size() == 4U);
    for (std::size_t i = 1; i < store.calls.size(); ++i) {
        const auto gap = std::chrono::duration_cast<milliseconds>(store.calls[i] - store.calls[i - 1]);
        BOOST_TEST(gap.count() >= 400, "call " << i << " left " << gap.count() << " ms after the one before");
    }
}

// Symptom: hosts take each other for dead while an operator changes routes quickly.
// Sequence: a large object changes twelve times in four seconds; the follower's host has a
// slow link.
// Cause: the waiting call was told every one of the twelve whole.
// Of twelve changes of an object that fills the link for 100 ms: twelve objects before, at
// most one for each list now.
BOOST_AUTO_TEST_CASE(ListsALargeCollectionThatChangesQuickly)
{
    boost::asio::io_context context;
    int changed = 12;
    int told = 0;
    int lists = 0;
    CollectionSource source;
    source.list = [&](TimePoint, const auto &handler) {
        ++lists;
        const auto revision = static_cast<std::uint64_t>(lists == 1 ? 1 : 1 + changed);
        CollectionPage page{{{"main", static_cast<int>(revision), revision}}, revision, 1000};
        boost::asio::post(context, [handler, page] { handler(page); });
    };
    source.changes = [&](std::uint64_t since, TimePoint, const auto &handler) {
        if (since != 1) {
            return;
        }
        told += 1;
        CollectionChanges changes{{{{"main", 2, 2}, false}}, 2, 1000};
        boost::asio::post(context, [handler, changes] { handler(changes); });
    };
    nlohmann::json seen;
    CollectionFollowerHooks hooks{[&seen](const auto &objects) { seen = objects.at("main"); }, [](bool) {}};
    hooks.pauseAfter = [](std::size_t) { return milliseconds{100}; };
    CollectionFollower follower(context, source, std::move(hooks));
    follower.setWaiting(true);
    follower.start();
    context.run_until(Clock::now() + std::chrono::seconds{3});
    BOOST_TEST(seen == 13);
    BOOST_TEST(told == 1, "the waiting call was asked for " << told << " times before the list");
    BOOST_TEST(lists == 3, "it lists until nothing changes any more, and then waits: " << lists);
}

// Symptom: a host stays 9 s behind a configuration that the others of its zone have.
// Sequence: a large object changes quickly; the zone's reader hands its duty over; the next
// one waits from where it is, and is told eight changes whole, which fill its link until the
// call's end and hold up what its neighbours tell.
// Cause: only a follower that had seen a large answer itself listed.
BOOST_AUTO_TEST_CASE(ListsALargeCollectionWhenItsTurnComes)
{
    boost::asio::io_context context;
    int lists = 0;
    std::vector<std::uint64_t> waitedFrom;
    CollectionSource source;
    source.list = [&](TimePoint, const auto &handler) {
        ++lists;
        const std::uint64_t revision = lists == 1 ? 1 : 9;
        const CollectionPage page{{{"main", static_cast<int>(revision), revision}}, revision, 1000};
        boost::asio::post(context, [handler, page] { handler(page); });
    };
    source.changes = [&](std::uint64_t since, TimePoint, const auto &) { waitedFrom.push_back(since); };
    nlohmann::json seen;
    CollectionFollowerHooks hooks{[&seen](const auto &objects) { seen = objects.at("main"); }, [](bool) {}};
    hooks.pauseAfter = [](std::size_t bytes) { return milliseconds{bytes / 10}; };
    CollectionFollower follower(context, source, std::move(hooks));
    follower.start();
    context.run_until(Clock::now() + milliseconds{200});
    BOOST_TEST_REQUIRE(follower.adopt({{"main", 2}}, 2, 2, 1000));
    follower.setWaiting(true);
    context.restart();
    context.run_until(Clock::now() + std::chrono::seconds{3});
    BOOST_TEST(seen == 9);
    BOOST_TEST_REQUIRE(waitedFrom.size() == 1U);
    BOOST_TEST(waitedFrom.front() == 9U, "it waited from " << waitedFrom.front());
}

// Guards against a host that lists a store ten times a second, and takes it for out of reach, because its waits are refused.
BOOST_AUTO_TEST_CASE(ListsLessAndLessOftenWhileItsWaitsAreRefused)
{
    boost::asio::io_context context;
    int lists = 0;
    int lost = 0;
    CollectionSource source;
    source.list = [&](TimePoint, const auto &handler) {
        ++lists;
        boost::asio::post(context, [handler] { handler(CollectionPage{{}, 1}); });
    };
    source.changes = [&](std::uint64_t, TimePoint, const auto &handler) {
        boost::asio::post(context, [handler] { handler(tl::unexpected(CollectionFailure::HistoryGone)); });
    };
    CollectionFollower follower(context, source,
                                CollectionFollowerHooks{[](const auto &) {}, [&lost](bool reached) { lost += reached ? 0 : 1; }});
    follower.setWaiting(true);
    follower.start();
    context.run_until(Clock::now() + std::chrono::seconds{3});
    BOOST_TEST(lists <= 7, "it listed " << lists << " times in 3 s");
    BOOST_TEST(lists >= 3, "it listed " << lists << " times in 3 s");
    BOOST_TEST(lost == 0, "a store that answers counted as out of reach " << lost << " times");
}

// Guards against hosts that ask each other for what they have, since each tells the revision of its own list.
BOOST_AUTO_TEST_CASE(IsAsNewAsWhatItHoldsAndNotAsItsList)
{
    boost::asio::io_context context;
    const auto in = [](std::uint64_t epoch, std::uint64_t revision) { return StoreRevision{epoch, revision}.ordered(); };
    std::uint64_t listed = in(1, 90);
    std::uint64_t changed = in(1, 40);
    CollectionSource source;
    source.list = [&](TimePoint, const auto &handler) {
        const CollectionPage page{{{"main", 1, changed}}, listed};
        boost::asio::post(context, [handler, page] { handler(page); });
    };
    source.changes = [&](std::uint64_t since, TimePoint, const auto &handler) {
        if (since == in(1, 90)) {
            listed = in(2, 70);
            changed = in(2, 40);
            boost::asio::post(context, [handler] { handler(tl::unexpected(CollectionFailure::HistoryGone)); });
        }
    };
    int told = 0;
    CollectionFollower follower(context, source, CollectionFollowerHooks{[&told](const auto &) { ++told; }, [](bool) {}});
    follower.start();
    context.run_until(Clock::now() + milliseconds{500});
    BOOST_TEST(follower.contentRevision() == in(1, 40));
    follower.setWaiting(true);
    context.restart();
    context.run_until(Clock::now() + milliseconds{2000});
    BOOST_TEST(follower.through() == in(2, 70));
    BOOST_TEST(follower.contentRevision() == in(2, 40));
    BOOST_TEST(told == 2, "a restore that changed nothing has to be told all the same");
}

// Guards against a configuration that is late because the store took the waiting call and never answers it.
BOOST_AUTO_TEST_CASE(WaitsNoLongerThanAChangeMayTake)
{
    constexpr milliseconds inForceWithin{3000};
    // For the pause before the next call, its answer, and the way to the other hosts.
    constexpr milliseconds reserve{400};
    boost::asio::io_context context;
    milliseconds longest{0};
    CollectionSource source;
    source.list = [&context](TimePoint, const auto &handler) {
        boost::asio::post(context, [handler] { handler(CollectionPage{{}, 1}); });
    };
    source.changes = [&longest](std::uint64_t, TimePoint deadline, const auto &) {
        longest = std::chrono::duration_cast<milliseconds>(deadline - Clock::now());
    };
    CollectionFollower follower(context, source, CollectionFollowerHooks{[](const auto &) {}, [](bool) {}});
    follower.setWaiting(true);
    follower.start();
    context.run_until(Clock::now() + milliseconds{500});
    BOOST_TEST(longest > milliseconds{0}, "it never waited");
    BOOST_TEST(longest <= inForceWithin - reserve, "it waits for " << longest.count() << " ms");
}

BOOST_AUTO_TEST_SUITE_END()
