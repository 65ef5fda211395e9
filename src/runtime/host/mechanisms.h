// Mechanisms that experts can disable to measure their effect on a deployment. All are enabled
// by default; no consistency guarantee depends on any of them.

#pragma once

#include "egrettide/core/joingate.h"
#include "egrettide/core/partitiondetector.h"
#include "egrettide/core/readerselection.h"
#include "egrettide/core/router.h"
#include "runtime/fleet/peernetwork.h"
#include "runtime/upstreams/homeservice.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace egrettide
{

class Mechanisms
{
public:
    Mechanisms() = default;
    // Takes the names of the settings; each must be one of names().
    explicit Mechanisms(const std::vector<std::string> &switchedOff);

    // All names that the settings may contain, in the order of the documentation.
    static const std::vector<std::string_view> &names();

    void applyTo(HomeServiceSettings &homes) const;
    void applyTo(RouterOptions &router) const;
    void applyTo(PeerNetworkOptions &network) const;
    void applyTo(JoinOptions &joining) const;
    void applyTo(PartitionOptions &partition) const;
    void applyTo(ReaderSelectionOptions &reader) const;
    bool isOff(std::string_view name) const;

private:
    std::set<std::string, std::less<>> m_off;
};

} // namespace egrettide
