#pragma once

#include <map>
#include <string>
#include <vector>

#include "options.h"
#include "statement_judge.h"

namespace shallotlever::soak {

/// An operation of a caller, from its first attempt to its last answer.
struct OperationRecord
{
    RunTime sentAt { 0 };
    RunTime endedAt { 0 };
    /// Empty if the operation was served.
    std::string failure;
};

/// A statement whose connection ended before its answer did.
struct CutRecord
{
    /// Address of the node.
    std::string host;
    std::string service;
    std::string statement;
    RunTime sentAt { 0 };
    RunTime cutAt { 0 };
};

/// What callers saw.
struct CallerRecords
{
    std::vector<OperationRecord> operations;
    std::vector<CutRecord> cuts;
    /// When each acknowledged commit was acknowledged, by service and statement.
    std::map<std::string, std::map<std::string, RunTime>> acknowledged;
    /// What was sent, in order.
    std::vector<reference::AskedStatement> asked;
    int wrongAnswers = 0;
    /// Executions of a name whose preparation was acknowledged, and that was reported as unknown.
    int unknownStatements = 0;
    /// Reads that did not find an acknowledged write of their session.
    int missedOwnWrites = 0;
};

} // namespace shallotlever::soak
