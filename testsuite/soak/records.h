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

/// A time in which a process did not run, or its disk did not write, as the process noticed it.
struct Stall
{
    /// Name of the node, or kSoakName.
    std::string process;
    /// Event of the node's log; empty for the soak.
    std::string event;
    RunTime endedAt { 0 };
    RunTime length { 0 };
};

constexpr const char *kSoakName = "soak";

/// A statement whose connection ended before its answer did.
struct CutRecord
{
    /// Address of the node.
    std::string host;
    std::string service;
    std::string statement;
    RunTime sentAt { 0 };
    RunTime cutAt { 0 };
    /// The node closed the connection while nothing was outstanding and no transaction open, and
    /// that had arrived at the soak when it sent the statement.
    bool sentAfterEnd = false;
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
