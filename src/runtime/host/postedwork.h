// What is still posted to contexts whose threads have ended.

#pragma once

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <vector>

namespace egrettide
{

// Runs what is posted to stopped contexts on the calling thread, round by round, until
// a whole round finds nothing ready, and `maxPostedHandlers` at most. Returns how many
// handlers ran. No thread may run the contexts any more, and all objects that their
// handlers use have to be alive.
//
// What goes wrong without it: work that is posted to a context is destroyed with the
// context. What it holds may be the last to hold a timer or a connection of another context
// that is gone by then, and the process ends by a signal at its very end. One round
// is not enough, since handlers of one context post to the others: an observer that stops
// answers the homes that wait for it.
std::size_t finishPosted(const std::vector<boost::asio::io_context *> &contexts);

// A busy host leaves some hundred handlers. Bounded, since a handler that always posts
// itself again would go on for ever.
constexpr std::size_t maxPostedHandlers = 100'000;

} // namespace egrettide
