// Analysis of a single statement by its parse tree.

#pragma once

#include "core/sessions/parsetree.h"

#include "egrettide/core/classifier.h"

#include <optional>
#include <string>

namespace egrettide::detail
{

// The effect of a statement on the transaction block.
enum class BlockEffect { None, Begin, BeginReadOnly, Commit, Rollback };

// The result of the analysis of one statement.
struct StatementAnalysis {
    StatementKind kind = StatementKind::Write;
    BlockEffect block = BlockEffect::None;
    std::optional<Error> refusal;
    std::optional<Setting> setting;
    bool transactionOnly = false;
};

// The analysis of a refused statement; the message has to name a remedy.
StatementAnalysis refusedStatement(std::string message);
// The analysis of a statement of which only the kind matters.
StatementAnalysis statementOfKind(StatementKind kind);

// Analyzes a statement. `type` is the parser's name of the node type, such as
// "SelectStmt"; `node` is its tree.
StatementAnalysis analyzeStatement(const std::string &type, const parsetree::Json &node);

} // namespace egrettide::detail
