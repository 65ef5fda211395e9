// What is left in contexts after their threads have ended.

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

// A part that belongs to one context, as an observer does to the control thread.
struct Part {
    explicit Part(asio::io_context &context) : timer(context)
    {
    }
    Timer timer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PostedWork)

// Symptom: a host ends by a signal at its very end, rarely (seen by the address sanitizer:
// a timer is destroyed after its context).
// Sequence: the host stops while an observer tells the homes of a change: the control
// context, run after the traffic contexts, posts to them once more.
// Cause: that work was destroyed with the traffic context, held the last reference to
// the observer, and so destroyed a timer of the control context, which was gone.
BOOST_AUTO_TEST_CASE(RunsAlsoWhatOtherContextsPostMeanwhile)
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
    BOOST_TEST(observed.expired(), "work that nobody will run any more still holds a part of another context");
    control.reset();
    traffic.reset();
}

// Symptom: a stop never ends.
// Sequence: a handler posts itself again each time, as a timer does that is always due.
// Cause: run until nothing is left.
BOOST_AUTO_TEST_CASE(EndsAlthoughAHandlerAlwaysPostsAgain)
{
    asio::io_context context(1);
    std::function<void()> again = [&] { asio::post(context, again); };
    again();
    BOOST_TEST(finishPosted({&context}) == maxPostedHandlers);
}

BOOST_AUTO_TEST_SUITE_END()
