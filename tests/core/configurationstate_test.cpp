// Proves that what a host holds only moves forward.

#define BOOST_TEST_MODULE ConfigurationState
#include <boost/test/unit_test.hpp>

#include "egrettide/core/configurationstate.h"

#include <rapidcheck.h>

#include <array>
#include <random>
#include <string>

using namespace egrettide;

namespace
{

constexpr std::uint64_t Versions = 12;
constexpr std::size_t Hosts = 4;

Configuration configuration(std::uint64_t version)
{
    Configuration made;
    made.version = version;
    made.applyId = "id" + std::to_string(version);
    return made;
}

// How often a schedule reached what it is about.
struct Reached {
    int staleOffers = 0;
    int replacements = 0;
    int accepted = 0;
};

// Hosts that read the store, often late, and pass on what they hold; now and then
// one is replaced by a fresh host. Returns the first broken promise, or nothing.
std::string firstReversion(const std::vector<std::uint16_t> &choices, ConfigurationState::Mutation mutation,
                           Reached *reached = nullptr)
{
    const auto note = [reached](OfferResult result) {
        if (reached != nullptr) {
            reached->staleOffers += result == OfferResult::Stale ? 1 : 0;
            reached->accepted += result == OfferResult::Accepted ? 1 : 0;
        }
    };
    std::array<std::unique_ptr<ConfigurationState>, Hosts> hosts;
    for (auto &host : hosts) {
        host = std::make_unique<ConfigurationState>(mutation);
    }
    std::uint64_t accepted = 0;
    for (const std::uint16_t choice : choices) {
        ConfigurationState &host = *hosts[(choice / 8) % Hosts];
        const std::uint64_t before = host.version();
        const ConfigurationState &peer = *hosts[(choice / 32) % Hosts];
        switch (choice % 8) {
        case 0:
        case 1:
            accepted = std::min(accepted + 1, Versions);
            break;
        case 2:
        case 3: // A read that the store answered some versions ago.
            note(host.offer(configuration(accepted - std::min<std::uint64_t>(accepted, (choice / 128) % 4))));
            break;
        case 4:
            hosts[(choice / 8) % Hosts] = std::make_unique<ConfigurationState>(mutation);
            if (reached != nullptr) {
                ++reached->replacements;
            }
            continue;
        default:
            if (peer.current()) {
                note(host.offer(*peer.current()));
            }
            break;
        }
        if (host.version() < before) {
            return "a host went from version " + std::to_string(before) + " to " + std::to_string(host.version());
        }
        if (host.current() && host.current()->applyId != "id" + std::to_string(host.version())) {
            return "version " + std::to_string(host.version()) + " holds the file of " + host.current()->applyId;
        }
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationStateOfAHost)

BOOST_AUTO_TEST_CASE(NeverReverts)
{
    Reached reached;
    const bool held = rc::check("versions at a host only rise, whatever the store and fresh hosts bring", [&reached] {
        const auto choices = *rc::gen::container<std::vector<std::uint16_t>>(120, rc::gen::arbitrary<std::uint16_t>());
        RC_ASSERT(firstReversion(choices, {}, &reached) == "");
    });
    BOOST_TEST_MESSAGE(reached.accepted << " accepted, " << reached.staleOffers << " stale, " << reached.replacements
                                        << " replaced");
    BOOST_TEST(reached.staleOffers > 100, "hardly any offer was stale; the proof proves little");
    BOOST_TEST(reached.replacements > 100, "hardly any host was replaced");
    BOOST_TEST(reached.accepted > 100);
    BOOST_TEST(held, "a host went back to an earlier file; the shrunk case above says by which offer");
}

BOOST_AUTO_TEST_CASE(ProofNoticesAHostThatTakesLowerVersions)
{
    // Symptom: a change that was in force vanishes from some hosts.
    // Sequence: a fresh host reads an old value and passes it to its peers.
    // Cause: a host that takes what came last in place of what is newest.
    std::mt19937_64 random(7);
    int noticed = 0;
    for (int run = 0; run < 100; ++run) {
        std::vector<std::uint16_t> choices(120);
        for (std::uint16_t &choice : choices) {
            choice = static_cast<std::uint16_t>(random());
        }
        noticed += firstReversion(choices, {true}).empty() ? 0 : 1;
    }
    BOOST_TEST(noticed > 0, "reverting hosts went unnoticed; the proof is blind");
}

BOOST_AUTO_TEST_CASE(SaysWhatBecameOfAnOffer)
{
    ConfigurationState state;
    BOOST_TEST((state.current() == nullptr));
    BOOST_TEST((state.offer(configuration(0)) == OfferResult::Stale));
    BOOST_TEST((state.offer(configuration(5)) == OfferResult::Accepted));
    BOOST_TEST((state.offer(configuration(5)) == OfferResult::Same));
    BOOST_TEST((state.offer(configuration(4)) == OfferResult::Stale));
    BOOST_TEST(state.version() == 5u);
}

BOOST_AUTO_TEST_CASE(KnowsThatItIsBehindOnceItHearsOfANewerVersion)
{
    ConfigurationState state;
    state.offer(configuration(5));
    BOOST_TEST(!state.isBehind());
    state.heardOf(8);
    state.heardOf(6);
    BOOST_TEST(state.isBehind());
    BOOST_TEST(state.newestHeard() == 8u);
    state.offer(configuration(9));
    BOOST_TEST(!state.isBehind());
}

BOOST_AUTO_TEST_CASE(ReadersKeepTheSnapshotTheyTook)
{
    ConfigurationState state;
    state.offer(configuration(5));
    const auto taken = state.current();
    state.offer(configuration(6));
    BOOST_TEST(taken->version == 5u);
    BOOST_TEST(state.current()->version == 6u);
}

BOOST_AUTO_TEST_SUITE_END()
