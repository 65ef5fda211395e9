// What one statement does, by the kind of its parse tree.

#pragma once

#include "core/sessions/parsetree.h"

#include "egrettide/core/classifier.h"

#include <optional>
#include <string>

namespace egrettide::detail
{

// How a statement changes the transaction block.
enum class BlockEffect { None, Begin, BeginReadOnly, Commit, Rollback };

// What one statement of a text was found to do.
struct Finding {
    StatementKind kind = StatementKind::Write;
    BlockEffect block = BlockEffect::None;
    std::optional<Error> refusal;
    std::optional<Setting> setting;
    bool transactionOnly = false;
};

// A finding that refuses its statement; the message names the remedy.
Finding refused(std::string message);
// A finding of a kind and nothing else.
Finding plain(StatementKind kind);

// Finds out about a statement from the parser's name for its type, such as
// "SelectStmt", and its tree.
Finding findStatement(const std::string &type, const parsetree::Json &node);

} // namespace egrettide::detail
