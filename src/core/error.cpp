// Names, SQLSTATEs and outcomes of the error kinds.

#include "egrettide/core/error.h"

namespace egrettide
{

namespace
{

struct KindProperties {
    std::string_view name;
    std::string_view sqlState;
    Outcome outcome;
};

KindProperties propertiesOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::Overloaded:
        return {"overloaded", "53400", Outcome::NotRun};
    case ErrorKind::DeadlineExceeded:
        return {"deadline_exceeded", "57014", Outcome::NotRun};
    case ErrorKind::NoPrimary:
        return {"no_primary", "57P03", Outcome::NotRun};
    case ErrorKind::NotFresh:
        return {"not_fresh", "57P03", Outcome::NotRun};
    case ErrorKind::NoConfiguration:
        return {"no_configuration", "57P03", Outcome::NotRun};
    case ErrorKind::UnknownDatabase:
        return {"unknown_database", "3D000", Outcome::NotRun};
    case ErrorKind::Leaving:
        return {"leaving", "57P01", Outcome::NotRun};
    case ErrorKind::Moved:
        return {"moved", "57P03", Outcome::NotRun};
    case ErrorKind::ConnectionLimit:
        return {"connection_limit", "53300", Outcome::NotRun};
    case ErrorKind::UnknownOutcome:
        return {"unknown_outcome", "08007", Outcome::Unknown};
    case ErrorKind::Unsupported:
        return {"unsupported", "0A000", Outcome::NotRun};
    case ErrorKind::InvalidInput:
        return {"invalid_input", "08P01", Outcome::NotRun};
    case ErrorKind::Conflict:
        return {"conflict", "40001", Outcome::NotRun};
    case ErrorKind::StoreUnavailable:
        return {"store_unavailable", "57P03", Outcome::NotRun};
    case ErrorKind::AuthenticationFailed:
        return {"authentication_failed", "28P01", Outcome::NotRun};
    case ErrorKind::UnknownStatement:
        return {"unknown_statement", "26000", Outcome::NotRun};
    case ErrorKind::QuotaExceeded:
        return {"quota_exceeded", "53400", Outcome::NotRun};
    case ErrorKind::Internal:
        break;
    }
    return {"internal", "XX000", Outcome::Unknown};
}

} // namespace

Outcome outcomeOf(ErrorKind kind)
{
    return propertiesOf(kind).outcome;
}

std::string_view sqlStateOf(ErrorKind kind)
{
    return propertiesOf(kind).sqlState;
}

std::string_view nameOf(ErrorKind kind)
{
    return propertiesOf(kind).name;
}

} // namespace egrettide
