// Timers on the clock of the host. A suspension of the machine is detected as a timer that
// fires late.

#pragma once

#include "egrettide/core/clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace egrettide
{

using Timer = boost::asio::basic_waitable_timer<Clock>;

} // namespace egrettide
