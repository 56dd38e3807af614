#include "caller.h"

#include <cstdlib>

#include <fmt/format.h>

namespace shallotlever::soak {

namespace {

constexpr std::chrono::milliseconds kDeadline { 4000 };
constexpr std::chrono::milliseconds kRetryDelay { 100 };
constexpr int kMaxAttempts = 3;
constexpr double kWriteShare = 0.2;
constexpr double kTransactionShare = 0.15;
/// Share of operations after which a caller leaves its session.
constexpr double kLeaveShare = 0.03;

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
    m_kind = OperationKind::Read;
    if (!m_profile.readsOnly && chance(kWriteShare))
        m_kind = OperationKind::Write;
    else if (!m_profile.readsOnly && chance(kTransactionShare))
        m_kind = OperationKind::Transaction;
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
    m_session.open(m_surroundings.chooseNode(), m_profile.database, m_profile.key,
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
    switch (m_kind) {
    case OperationKind::Read:
        return runRead();
    case OperationKind::Write:
        return runWrite();
    case OperationKind::Transaction:
        return runTransaction();
    }
}

void Caller::runRead()
{
    m_session.read(send(), fmt::format("{}.{}", m_item, m_itemGeneration),
                   [this](const StatementResult &result) { handleRead(result); });
}

void Caller::handleRead(const StatementResult &result)
{
    if (result.outcome != StatementOutcome::Done)
        return handleFailure(result, false);
    if (std::strtoull(result.value.c_str(), nullptr, 10) < m_ownValue)
        ++m_records.missedOwnWrites;
    finish({});
}

void Caller::runWrite()
{
    const std::string statement = send();
    m_session.write(
        statement, fmt::format("{}.{}", m_item, m_itemGeneration), std::to_string(++m_lastValue),
        [this, statement](const StatementResult &result) { handleCommitted(statement, result); });
}

void Caller::runTransaction()
{
    const auto onDone = [this](auto next) {
        return [this, next](const StatementResult &result) {
            if (result.outcome == StatementOutcome::Done)
                next();
            else
                handleFailure(result, false);
        };
    };
    const auto commit = [this] {
        const std::string statement = send();
        m_session.commit(statement, [this, statement](const StatementResult &result) {
            handleCommitted(statement, result);
        });
    };
    const auto write = [this, onDone, commit] {
        m_session.write(send(), fmt::format("{}.{}", m_item, m_itemGeneration),
                        std::to_string(++m_lastValue), onDone(commit));
    };
    m_session.begin(send(), onDone(write));
}

void Caller::handleCommitted(const std::string &statement, const StatementResult &result)
{
    if (result.outcome != StatementOutcome::Done)
        return handleFailure(result, result.outcome != StatementOutcome::NotRun);
    m_ownValue = m_lastValue;
    m_records.acknowledged[m_profile.service][statement] = m_surroundings.clock();
    finish({});
}

void Caller::handleFailure(const StatementResult &result, bool mayHaveEffect)
{
    if (result.outcome == StatementOutcome::NoAnswer && !result.statement.empty())
        noteCut(result);
    if (result.outcome == StatementOutcome::WrongAnswer)
        ++m_records.wrongAnswers;
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

std::string Caller::send()
{
    m_statementSentAt = m_surroundings.clock();
    return m_surroundings.nextStatement();
}

bool Caller::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

} // namespace shallotlever::soak
