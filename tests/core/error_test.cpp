// Tests of the outcome of each kind of error.

#define BOOST_TEST_MODULE Error
#include <boost/test/unit_test.hpp>

#include "egrettide/core/error.h"

using namespace egrettide;

BOOST_AUTO_TEST_SUITE(ErrorKinds)

BOOST_AUTO_TEST_CASE(OnlyALostAnswerOrAnInternalFaultLeavesTheOutcomeUnknown)
{
    for (int kind = 0; kind <= static_cast<int>(ErrorKind::Internal); ++kind) {
        const auto errorKind = static_cast<ErrorKind>(kind);
        const bool unknown = errorKind == ErrorKind::UnknownOutcome || errorKind == ErrorKind::Internal;
        BOOST_TEST((outcomeOf(errorKind) == Outcome::Unknown) == unknown,
                   "kind " << nameOf(errorKind) << " has the wrong outcome");
    }
}

BOOST_AUTO_TEST_SUITE_END()
