// Runs the handlers that stopped contexts have left.

#include "runtime/host/postedwork.h"

namespace egrettide
{

namespace
{

std::size_t runReady(boost::asio::io_context &context, std::size_t most)
{
    std::size_t ran = 0;
    context.restart();
    while (ran < most && context.poll_one() > 0) {
        ++ran;
    }
    return ran;
}

} // namespace

std::size_t finishPosted(const std::vector<boost::asio::io_context *> &contexts)
{
    std::size_t all = 0;
    std::size_t before = 0;
    do {
        before = all;
        for (boost::asio::io_context *context : contexts) {
            all += runReady(*context, maxPostedHandlers - all);
        }
    } while (all > before);
    return all;
}

} // namespace egrettide
