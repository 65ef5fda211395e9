// When a host writes again what a restored store may have lost: all hosts learn of the
// restore within a second, and the store takes only so many calls.

#pragma once

#include "egrettide/core/types.h"

#include <chrono>
#include <cstddef>
#include <random>

namespace egrettide
{

// What all hosts together write in a second, on average; a store takes several hundred
// calls that write, and operators and upstreams write again at the same time.
constexpr double rewritesPerSecond = 100;

// How long one of that many hosts waits: evenly spread over the time that all of them take.
inline milliseconds rewriteDelay(std::size_t hosts, std::mt19937_64 &random)
{
    const std::chrono::duration<double> span(static_cast<double>(hosts) / rewritesPerSecond);
    return std::chrono::duration_cast<milliseconds>(span * std::uniform_real_distribution<double>(0, 1)(random));
}

} // namespace egrettide
