// Linked into test programs that run hosts in process: creates the logging library's core
// before main. The product does so in log::open(), which these tests do not call; the core
// would be created by whichever thread logs first. The library does that safely, but the
// thread sanitizer does not see its lock and reports a race with the thread that logs next.

#include <boost/log/core.hpp>

namespace
{

[[maybe_unused]] const auto logCore = boost::log::core::get();

} // namespace
