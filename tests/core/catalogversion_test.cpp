// Tests of the order of catalog versions.

#define BOOST_TEST_MODULE CatalogVersion
#include <boost/test/unit_test.hpp>

#include "egrettide/core/catalogversion.h"

using namespace egrettide;

BOOST_AUTO_TEST_SUITE(CatalogVersions)

// Versions must stay ordered beyond 2^32 changes of the store; otherwise hosts would stop
// getting changes.
BOOST_AUTO_TEST_CASE(KeepTheirOrderAtAnyRevision)
{
    constexpr std::uint64_t many = std::uint64_t{1} << 32;
    const CatalogVersion before{many - 2, many - 1};
    const CatalogVersion after{many - 2, many};
    BOOST_TEST((before < after));
    BOOST_TEST(before.lacks(after));
    BOOST_TEST(!after.lacks(before));
}

BOOST_AUTO_TEST_CASE(ThatDoNotCoverEachOtherAreStillOrdered)
{
    const CatalogVersion intent{8, 3};
    const CatalogVersion registrations{7, 9};
    BOOST_TEST(intent.lacks(registrations));
    BOOST_TEST(registrations.lacks(intent));
    BOOST_TEST((registrations < intent));
}

BOOST_AUTO_TEST_CASE(JoinToTheGreaterRevisions)
{
    BOOST_TEST((CatalogRevisions{8, 3}.joined({7, 9}) == CatalogRevisions{8, 9}));
}

BOOST_AUTO_TEST_SUITE_END()
