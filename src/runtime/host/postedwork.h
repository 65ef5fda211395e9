// Completes work that is still posted to contexts whose threads have ended.

#pragma once

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <vector>

namespace egrettide
{

// Runs the posted handlers of stopped contexts on the calling thread, in rounds, until a whole
// round runs none, and at most `maxPostedHandlers`. Returns the number of handlers that ran. No
// thread may run the contexts any more, and all objects that the handlers use must be alive.
//
// Otherwise, posted handlers are destroyed with their context. A handler may hold the last
// reference to a timer or a connection of another context that is already destroyed, which
// crashes the process at its end. One round is not enough, since handlers of one context post
// to the others: an observer that stops answers the homes that wait for it.
std::size_t finishPosted(const std::vector<boost::asio::io_context *> &contexts);

// A busy host leaves some hundred handlers. The limit ends the loop when a handler always posts
// itself again.
constexpr std::size_t maxPostedHandlers = 100'000;

} // namespace egrettide
