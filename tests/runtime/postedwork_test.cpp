// Handlers that remain in contexts after their threads have ended.

#define BOOST_TEST_MODULE PostedWork
#include <boost/test/unit_test.hpp>

#include "runtime/host/postedwork.h"
#include "runtime/host/timer.h"

#include <boost/asio/post.hpp>

#include <functional>
#include <memory>

using namespace egrettide;

namespace asio = boost::asio;

namespace
{

// An object that belongs to one context, as an observer does to the control thread.
struct Part {
    explicit Part(asio::io_context &context) : timer(context)
    {
    }
    Timer timer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PostedWork)

// The control context, run after the traffic contexts, posts to them once more when an observer
// notifies the homes during a stop. If that handler does not run, it is destroyed with its traffic
// context, and with it the last reference to the observer, whose timer belongs to the control
// context that is already destroyed: the process crashes at its end (seen by the address sanitizer).
BOOST_AUTO_TEST_CASE(RunsHandlersThatOtherContextsPostMeanwhile)
{
    auto traffic = std::make_unique<asio::io_context>(1);
    auto control = std::make_unique<asio::io_context>(1);
    const std::weak_ptr<Part> observed = [&] {
        auto part = std::make_shared<Part>(*control);
        asio::post(*control,
                   [&traffic, &control, part] { asio::post(*traffic, [&control, part] { asio::post(*control, [part] {}); }); });
        return std::weak_ptr<Part>(part);
    }();
    traffic->stop();
    control->stop();
    BOOST_TEST(finishPosted({traffic.get(), control.get()}) == 3U);
    BOOST_TEST(observed.expired(), "a handler that will never run still holds an object of another context");
    control.reset();
    traffic.reset();
}

// A handler that always posts itself again, like a timer that is always due, must not keep a stop
// from completing.
BOOST_AUTO_TEST_CASE(EndsAlthoughAHandlerAlwaysPostsAgain)
{
    asio::io_context context(1);
    std::function<void()> again = [&] { asio::post(context, again); };
    again();
    BOOST_TEST(finishPosted({&context}) == maxPostedHandlers);
}

BOOST_AUTO_TEST_SUITE_END()
