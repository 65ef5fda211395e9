// Typed errors. Each kind determines the outcome that a caller may assume and the
// SQLSTATE that reports it. Each message names the remedy.

#pragma once

#include "egrettide/core/types.h"

#include <string>
#include <string_view>

namespace egrettide
{

// What a caller may assume about a failed request.
enum class Outcome {
    // No part of the request ran; it is safe to send it again.
    NotRun,
    // It may or may not have run; the caller has to check its effect.
    Unknown,
    // The upstream executed it and answered with an error, which is passed on.
    Failed,
};

enum class ErrorKind {
    Overloaded, // no slot within the deadline
    DeadlineExceeded, // the deadline passed before the request was sent
    NoPrimary, // no primary is reachable for a write
    NotFresh, // no upstream became fresh enough before the deadline
    NoConfiguration, // this host has not received a configuration yet
    UnknownDatabase, // there is no database service of that name
    Leaving, // the host or upstream is being taken out of service
    Moved, // this home no longer serves the upstream, or the primary changed
    ConnectionLimit, // all connections of the upstream are in use
    UnknownOutcome, // the request was sent and its answer was lost or could not be confirmed
    Unsupported, // egrettide does not support this kind of statement
    InvalidInput, // malformed frame, setting or file
    Conflict, // a conditional update failed because of a concurrent one
    StoreUnavailable, // the platform's store did not answer
    AuthenticationFailed,
    Internal,
    UnknownStatement, // the session has no prepared statement of that name
    QuotaExceeded, // the workspace has used up its request quota
};

// An error, with its remedy.
struct Error {
    ErrorKind kind = ErrorKind::Internal;
    // A full sentence that states what happened and what to do.
    std::string message;
    // The delay after which to try again; zero if a retry does not help.
    milliseconds retryAfter{0};
};

// The outcome that a caller may assume for an error of this kind.
Outcome outcomeOf(ErrorKind kind);

// The five-character SQLSTATE sent to callers: most NotRun kinds use class 53 or 57,
// unknown outcomes use 08007 (transaction resolution unknown).
std::string_view sqlStateOf(ErrorKind kind);

// The stable name used in logs, metrics and JSON output.
std::string_view nameOf(ErrorKind kind);

} // namespace egrettide
