#pragma once

#include <deque>
#include <functional>
#include <random>
#include <string>

#include <QTimer>

#include "caller_session.h"
#include "operations.h"
#include "records.h"

namespace shallotlever::soak {

/// Choices of a caller that don't change during a run.
struct CallerProfile
{
    std::string service;
    std::string database;
    std::string key;
    /// The team whose key it is.
    std::string team;
    /// Only reads, without a promise to find its own writes.
    bool readsOnly = false;
    std::chrono::milliseconds meanPause { 1000 };
};

/// A caller: runs one operation after the other in a session, with pauses between them. Repeats an
/// operation in a new session if an answer guarantees that it had no effect, or as long as nothing
/// that could have an effect was sent.
class Caller
{
public:
    struct Surroundings
    {
        std::function<RunTime()> clock;
        /// Node that accepts a new session.
        std::function<Endpoint()> chooseNode;
        std::function<std::string()> nextStatement;
        std::function<std::uint64_t()> nextSession;
    };

    Caller(std::string item, CallerProfile profile, std::uint64_t seed, Surroundings surroundings,
           CallerRecords &records);

    void start();
    /// Ends the current operation without a record, and starts no further one.
    void end();

private:
    void pause();
    void begin();
    void attempt();
    void runOperation();
    void runStep();
    /// Whether the step makes writes permanent.
    bool commits(StepKind step) const;
    void handleOpened(const StatementResult &result);
    void handleStep(StepKind step, bool readsItem, const StatementResult &result);
    /// Notes a result that isn't Done, and repeats the operation if that is permitted.
    void handleFailure(const StatementResult &result, bool mayHaveEffect);
    void noteCut(const StatementResult &result);
    void finish(const std::string &failure);
    bool chance(double probability);

    std::string m_item;
    CallerProfile m_profile;
    Surroundings m_surroundings;
    CallerRecords &m_records;
    std::mt19937_64 m_random;
    CallerSession m_session;
    QTimer m_pause;
    QTimer m_deadline;
    OperationKind m_kind = OperationKind::Read;
    /// Remaining steps of the attempt.
    std::deque<StepKind> m_steps;
    OperationRecord m_operation;
    RunTime m_statementSentAt { 0 };
    int m_attempts = 0;
    std::uint64_t m_lastValue = 0;
    /// Last acknowledged value of the present session.
    std::uint64_t m_ownValue = 0;
    /// Increases when the outcome of a write is unknown, so that it can't replace later values.
    int m_itemGeneration = 0;
};

} // namespace shallotlever::soak
