// How a follower keeps its copy of a collection current.

#define BOOST_TEST_MODULE Collection
#include <boost/test/unit_test.hpp>

#include "egrettide/core/storeepoch.h"
#include "runtime/configuration/collection.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

using namespace egrettide;

namespace
{

// A store that adds an object whenever the previous one has been returned, up to a number of
// them.
struct BusyStore {
    boost::asio::io_context &context;
    int objects;
    int reported = 0;
    std::vector<TimePoint> calls{};

    CollectionSource source()
    {
        CollectionSource source;
        source.list = [this](TimePoint, const auto &handler) {
            boost::asio::post(context, [handler] { handler(CollectionPage{{}, 1}); });
        };
        source.changes = [this](std::uint64_t since, TimePoint, const auto &handler) {
            calls.push_back(Clock::now());
            if (reported == objects) {
                return;
            }
            ++reported;
            const CollectionChange change{{"object-" + std::to_string(reported), reported}, false};
            boost::asio::post(context, [handler, change, since] { handler(CollectionChanges{{change}, since + 1}); });
        };
        return source;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(CollectionFollowerOfAStore)

// Without batching, each change answers the waiting call and the next call leaves at once, so
// upstreams that register one by one cause as many calls from every host.
BOOST_AUTO_TEST_CASE(BatchesConsecutiveChanges)
{
    boost::asio::io_context context;
    BusyStore store{context, 3};
    std::size_t seen = 0;
    CollectionFollower follower(
        context, store.source(),
        CollectionFollowerHooks{[&seen](const auto &copy, const auto &) { seen = copy.size(); }, [](bool) {}});
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

// If a waiting call returns every one of twelve quick changes of a large object whole, it fills a
// slow link, and hosts suspect each other of having failed. With an object that takes the link
// 100 ms, waiting transfers all twelve; listing transfers at most one per list.
BOOST_AUTO_TEST_CASE(ListsALargeCollectionThatChangesQuickly)
{
    boost::asio::io_context context;
    int changed = 12;
    int reported = 0;
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
        reported += 1;
        CollectionChanges changes{{{{"main", 2, 2}, false}}, 2, 1000};
        boost::asio::post(context, [handler, changes] { handler(changes); });
    };
    nlohmann::json seen;
    CollectionFollowerHooks hooks{[&seen](const auto &copy, const auto &) { seen = nlohmann::json::parse(*copy.text("main")); },
                                  [](bool) {}};
    hooks.pauseAfter = [](std::size_t) { return milliseconds{100}; };
    CollectionFollower follower(context, source, std::move(hooks));
    follower.setWaiting(true);
    follower.start();
    context.run_until(Clock::now() + std::chrono::seconds{3});
    BOOST_TEST(seen == 13);
    BOOST_TEST(reported == 1, "changes were requested " << reported << " times before the list");
    BOOST_TEST(lists == 3, "it lists until nothing changes any more, and then waits: " << lists);
}

// A large object changes quickly while the zone's reader hands over. If only a follower that has
// itself received a large answer lists, the new reader gets eight changes whole, which fill its
// link until the call's end and delay what its neighbors send: the host stays 9 s behind its
// zone.
BOOST_AUTO_TEST_CASE(ListsALargeCollectionWhenItBecomesReader)
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
    CollectionFollowerHooks hooks{[&seen](const auto &copy, const auto &) { seen = nlohmann::json::parse(*copy.text("main")); },
                                  [](bool) {}};
    hooks.pauseAfter = [](std::size_t bytes) { return milliseconds{bytes / 10}; };
    CollectionFollower follower(context, source, std::move(hooks));
    follower.start();
    context.run_until(Clock::now() + milliseconds{200});
    BOOST_TEST_REQUIRE(follower.adopt(CollectionDelta{0, 2, 2, {{"main", 2, "2"}}}, 1000).has_value());
    follower.setWaiting(true);
    context.restart();
    context.run_until(Clock::now() + std::chrono::seconds{3});
    BOOST_TEST(seen == 9);
    BOOST_TEST_REQUIRE(waitedFrom.size() == 1U);
    BOOST_TEST(waitedFrom.front() == 9U, "it waited from " << waitedFrom.front());
}

// Guards against a host that lists a store ten times a second, and treats it as unreachable,
// because its waits are refused.
BOOST_AUTO_TEST_CASE(BacksOffItsListsWhileItsWaitsAreRefused)
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
    CollectionFollower follower(
        context, source,
        CollectionFollowerHooks{[](const auto &, const auto &) {}, [&lost](bool reached) { lost += reached ? 0 : 1; }});
    follower.setWaiting(true);
    follower.start();
    context.run_until(Clock::now() + std::chrono::seconds{3});
    BOOST_TEST(lists <= 7, "it listed " << lists << " times in 3 s");
    BOOST_TEST(lists >= 3, "it listed " << lists << " times in 3 s");
    BOOST_TEST(lost == 0, "a store that answers counted as out of reach " << lost << " times");
}

// Guards against hosts that request from each other what they already have, because each
// announces the revision of its own list.
BOOST_AUTO_TEST_CASE(ReportsTheRevisionOfItsContentAndNotOfItsList)
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
    int reported = 0;
    CollectionFollower follower(context, source,
                                CollectionFollowerHooks{[&reported](const auto &, const auto &) { ++reported; }, [](bool) {}});
    follower.start();
    context.run_until(Clock::now() + milliseconds{500});
    BOOST_TEST(follower.contentRevision() == in(1, 40));
    follower.setWaiting(true);
    context.restart();
    context.run_until(Clock::now() + milliseconds{2000});
    BOOST_TEST(follower.through() == in(2, 70));
    BOOST_TEST(follower.contentRevision() == in(2, 40));
    BOOST_TEST(reported == 2, "a restore that changed nothing must be reported all the same");
}

// Guards against a late configuration when the store accepts the waiting call and never answers
// it.
BOOST_AUTO_TEST_CASE(WaitsNoLongerThanAChangeMayTake)
{
    constexpr milliseconds inForceWithin{3000};
    // Covers the pause before the next call, its answer, and the way to the other hosts.
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
    CollectionFollower follower(context, source, CollectionFollowerHooks{[](const auto &, const auto &) {}, [](bool) {}});
    follower.setWaiting(true);
    follower.start();
    context.run_until(Clock::now() + milliseconds{500});
    BOOST_TEST(longest > milliseconds{0}, "it never waited");
    BOOST_TEST(longest <= inForceWithin - reserve, "it waits for " << longest.count() << " ms");
}

namespace
{

// A store that lists `size` objects in parts of 200 and counts the calls.
struct PagedStore {
    boost::asio::io_context &context;
    int size;
    int calls = 0;

    CollectionPage part(int from)
    {
        ++calls;
        CollectionPage page{{}, 9, 1000};
        for (int i = from; i < std::min(size, from + 200); ++i) {
            page.objects.emplace_back("object-" + std::to_string(i), i, 5);
        }
        if (from + 200 < size) {
            page.more = [this, from](TimePoint, const CollectionPage::Handler &handler) {
                boost::asio::post(context, [this, from, handler] { handler(part(from + 200)); });
            };
        }
        return page;
    }

    CollectionSource source()
    {
        CollectionSource source;
        source.list = [this](TimePoint, const CollectionPage::Handler &handler) {
            boost::asio::post(context, [this, handler] { handler(part(0)); });
        };
        source.changes = [](std::uint64_t, TimePoint, const auto &) {};
        return source;
    }
};

CollectionFollowerHooks waitingForPeers(milliseconds wait)
{
    CollectionFollowerHooks hooks{[](const auto &, const auto &) {}, [](bool) {}};
    hooks.peerWait = [wait] { return wait; };
    return hooks;
}

} // namespace

// Guards against hosts that each list the whole when many start: calls must not grow with the
// collection while another host can provide it.
BOOST_AUTO_TEST_CASE(MakesOneCallAtItsStartWhateverTheSizeWhenAnotherHostProvidesIt)
{
    for (const int size : {30, 3000}) {
        boost::asio::io_context context;
        PagedStore store{context, size};
        CollectionFollower follower(context, store.source(), waitingForPeers(milliseconds{500}));
        follower.start();
        context.run_until(Clock::now() + milliseconds{100});
        CollectionDelta whole{0, 20, 5, {}};
        for (int i = 0; i < size; ++i) {
            whole.entries.push_back({"object-" + std::to_string(i), 5, std::to_string(i)});
        }
        BOOST_TEST_REQUIRE(follower.adopt(std::move(whole), 1000).has_value());
        context.restart();
        context.run_until(Clock::now() + milliseconds{800});
        BOOST_TEST(store.calls == 1, "it made " << store.calls << " calls for " << size << " objects");
        BOOST_TEST(follower.copy().size() == static_cast<std::size_t>(size));
    }
}

BOOST_AUTO_TEST_CASE(ListsTheRestWhenNoOtherHostProvidesIt)
{
    boost::asio::io_context context;
    PagedStore store{context, 3000};
    CollectionFollower follower(context, store.source(), waitingForPeers(milliseconds{200}));
    follower.start();
    context.run_until(Clock::now() + milliseconds{100});
    BOOST_TEST(store.calls == 1);
    context.restart();
    context.run_until(Clock::now() + milliseconds{600});
    BOOST_TEST(follower.copy().size() == 3000U);
    BOOST_TEST(store.calls == 15);
}

BOOST_AUTO_TEST_CASE(ListsTheRestAtOnceWhenItBecomesReader)
{
    boost::asio::io_context context;
    PagedStore store{context, 3000};
    CollectionFollower follower(context, store.source(), waitingForPeers(std::chrono::minutes{1}));
    follower.start();
    context.run_until(Clock::now() + milliseconds{100});
    follower.setWaiting(true);
    context.restart();
    context.run_until(Clock::now() + milliseconds{400});
    BOOST_TEST(follower.copy().size() == 3000U);
}

BOOST_AUTO_TEST_SUITE_END()
