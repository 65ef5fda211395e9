// Names of the basic types' values in logs.

#include "egrettide/core/types.h"

namespace egrettide
{

std::string_view nameOf(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Read:
        return "read";
    case StatementKind::Write:
        return "write";
    case StatementKind::Begin:
        return "begin";
    case StatementKind::BeginReadOnly:
        return "begin_read_only";
    case StatementKind::Commit:
        return "commit";
    case StatementKind::Rollback:
        return "rollback";
    case StatementKind::Setting:
        return "setting";
    case StatementKind::Refused:
        break;
    }
    return "refused";
}

} // namespace egrettide
