// The random delay before a host rewrites the data that a restored store may have lost.
// All hosts detect the restore within a second, and the store's call rate is limited.

#pragma once

#include "egrettide/core/types.h"

#include <chrono>
#include <cstddef>
#include <random>

namespace egrettide
{

// The average rate at which all hosts together rewrite. A store accepts several hundred
// writes per second, and operators and upstreams rewrite their data at the same time.
constexpr double rewritesPerSecond = 100;

// The delay of one of `hosts` hosts: uniformly distributed over the time in which all of
// them write at rewritesPerSecond.
inline milliseconds rewriteDelay(std::size_t hosts, std::mt19937_64 &random)
{
    const std::chrono::duration<double> span(static_cast<double>(hosts) / rewritesPerSecond);
    return std::chrono::duration_cast<milliseconds>(span * std::uniform_real_distribution<double>(0, 1)(random));
}

} // namespace egrettide
