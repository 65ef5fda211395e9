// Runs the remaining handlers of stopped contexts.

#include "runtime/host/postedwork.h"

namespace egrettide
{

namespace
{

std::size_t runReady(boost::asio::io_context &context, std::size_t limit)
{
    std::size_t ran = 0;
    context.restart();
    while (ran < limit && context.poll_one() > 0) {
        ++ran;
    }
    return ran;
}

} // namespace

std::size_t finishPosted(const std::vector<boost::asio::io_context *> &contexts)
{
    std::size_t total = 0;
    std::size_t before = 0;
    do {
        before = total;
        for (boost::asio::io_context *context : contexts) {
            total += runReady(*context, maxPostedHandlers - total);
        }
    } while (total > before);
    return total;
}

} // namespace egrettide
