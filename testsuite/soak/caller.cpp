#include "caller.h"

#include <cstdlib>

#include <fmt/format.h>

namespace shallotlever::soak {

namespace {

constexpr std::chrono::milliseconds kDeadline { 4000 };
constexpr std::chrono::milliseconds kRetryDelay { 100 };
constexpr int kMaxAttempts = 3;
/// Share of operations after which a caller leaves its session.
constexpr double kLeaveShare = 0.03;
/// Share of the steps of a transaction behind which a caller leaves its session.
constexpr double kLeaveTransactionShare = 0.01;

std::string failureText(const StatementResult &result)
{
    switch (result.outcome) {
    case StatementOutcome::NoAnswer:
        return "no answer";
    case StatementOutcome::WrongAnswer:
        return "wrong answer";
    default:
        return result.error;
    }
}

} // namespace

Caller::Caller(std::string item, CallerProfile profile, std::uint64_t seed,
               Surroundings surroundings, CallerRecords &records)
    : m_item(std::move(item))
    , m_profile(std::move(profile))
    , m_surroundings(std::move(surroundings))
    , m_records(records)
    , m_random(seed)
    , m_session(records.asked)
{
    m_pause.setSingleShot(true);
    m_deadline.setSingleShot(true);
    QObject::connect(&m_deadline, &QTimer::timeout, &m_deadline, [this] {
        ++m_itemGeneration;
        m_session.reset();
        finish("deadline");
    });
}

void Caller::start()
{
    m_pause.callOnTimeout([this] {
        if (m_deadline.isActive())
            attempt();
        else
            begin();
    });
    pause();
}

void Caller::end()
{
    m_pause.stop();
    m_deadline.stop();
    m_session.reset();
}

void Caller::pause()
{
    std::exponential_distribution<double> factor(1.0);
    const auto pause = std::chrono::duration<double, std::milli>(m_profile.meanPause);
    m_pause.start(std::chrono::duration_cast<std::chrono::milliseconds>(pause * factor(m_random)));
}

void Caller::begin()
{
    m_kind = drawOperation(m_profile.readsOnly, m_random);
    m_operation = { m_surroundings.clock(), {}, {} };
    m_attempts = 0;
    m_deadline.start(kDeadline);
    attempt();
}

void Caller::attempt()
{
    ++m_attempts;
    if (m_session.isOpen()) {
        runOperation();
        return;
    }
    m_ownValue = 0;
    m_session.open({ m_surroundings.chooseNode(), m_profile.database, m_profile.key, m_profile.team,
                     m_surroundings.nextSession() },
                   [this](const StatementResult &result) { handleOpened(result); });
}

void Caller::handleOpened(const StatementResult &result)
{
    if (result.outcome == StatementOutcome::Done && m_session.isOpen())
        runOperation();
    else
        handleFailure(result, false);
}

void Caller::runOperation()
{
    m_steps = drawSteps(m_kind, m_random);
    runStep();
}

void Caller::runStep()
{
    if (m_steps.empty())
        return finish({});
    const StepKind step = m_steps.front();
    m_steps.pop_front();
    if (step == StepKind::Write)
        ++m_lastValue;
    const StatementText statement =
        drawStatement(step, m_session.model(), fmt::format("{}.{}", m_item, m_itemGeneration),
                      std::to_string(m_lastValue), m_random);
    m_statementSentAt = m_surroundings.clock();
    m_session.query(m_surroundings.nextStatement(), statement.text,
                    [this, step, readsItem = statement.readsItem](const StatementResult &result) {
                        handleStep(step, readsItem, result);
                    });
}

bool Caller::commits(StepKind step) const
{
    return (step == StepKind::Write && m_kind == OperationKind::Write)
        || (step == StepKind::Commit && m_kind == OperationKind::Transaction);
}

void Caller::handleStep(StepKind step, bool readsItem, const StatementResult &result)
{
    if (result.outcome != StatementOutcome::Done)
        return handleFailure(result, commits(step) && result.outcome != StatementOutcome::NotRun);
    if (commits(step)) {
        m_ownValue = m_lastValue;
        m_records.acknowledged[m_profile.service][result.statement] = m_surroundings.clock();
    }
    if (readsItem && std::strtoull(result.value.c_str(), nullptr, 10) < m_ownValue)
        ++m_records.missedOwnWrites;
    if (m_session.isInTransaction() && chance(kLeaveTransactionShare)) {
        m_session.reset();
        m_steps.clear();
    }
    runStep();
}

void Caller::handleFailure(const StatementResult &result, bool mayHaveEffect)
{
    if (result.outcome == StatementOutcome::NoAnswer && !result.statement.empty())
        noteCut(result);
    if (result.outcome == StatementOutcome::WrongAnswer)
        ++m_records.wrongAnswers;
    m_records.unknownStatements += result.isUnknownStatement ? 1 : 0;
    if (mayHaveEffect)
        ++m_itemGeneration;
    // A repetition goes to another node, as does the next operation.
    m_session.reset();
    const bool repeatable =
        !mayHaveEffect && result.outcome != StatementOutcome::Failed && m_attempts < kMaxAttempts;
    if (repeatable)
        m_pause.start(kRetryDelay * m_attempts);
    else
        finish(failureText(result));
}

void Caller::noteCut(const StatementResult &result)
{
    m_records.cuts.push_back({ m_session.node().host, m_profile.service, result.statement,
                               m_statementSentAt, m_surroundings.clock(), result.sentAfterEnd });
}

void Caller::finish(const std::string &failure)
{
    m_deadline.stop();
    m_operation.endedAt = m_surroundings.clock();
    m_operation.failure = failure;
    m_records.operations.push_back(m_operation);
    if (chance(kLeaveShare))
        m_session.reset();
    pause();
}

bool Caller::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

} // namespace shallotlever::soak
