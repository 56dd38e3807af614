#pragma once

#include <deque>
#include <memory>

#include "line_socket.h"
#include "session_execution.h"
#include "session_limits.h"
#include "session_state.h"

namespace shallotlever {

/// Session of one caller: its connection, session variables, prepared statements and at most one
/// open transaction. It is not bound to a database: the node that holds the connections to one
/// lends it a connection only while a statement runs or a transaction is open.
class CallerSession
{
public:
    CallerSession(ProxyState &state, StatementDispatcher &dispatcher, QTcpSocket *socket,
                  TimePoint now);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /// Handles expired timeouts and due retries.
    void tick(TimePoint now);
    /// When tick() has something to do if nothing else happens; kNever if it does not.
    TimePoint nextTick(TimePoint now) const;
    /// No statement is being served and no transaction is open.
    bool idle() const { return !m_execution && !m_transaction; }
    /// Nothing more is sent to the caller.
    bool disconnected() const { return m_disconnected; }
    /// The connection was closed and no statement of the session is running.
    bool finished() const { return m_disconnected && !m_execution && m_socket->isClosed(); }
    bool inTransaction() const { return m_transaction.has_value(); }
    /// Closes a session whose caller has sent nothing for a while and is owed nothing, because the
    /// node stops. Returns whether it did.
    bool closeIfIdle(TimePoint now);
    /// Answers all statements of the session with an error that says truthfully whether they may
    /// have run, and closes it.
    void endOpenStatements(TimePoint now);
    /// Rolls back the transaction unless a statement is being served. The next statement fails
    /// unless it is a rollback.
    void abortTransaction(TimePoint now);
    SessionSummary summary() const;
    /// Counts and logs that the session is closed because of a limit, and closes it at once.
    void closeForLimit(LimitReason reason, TimePoint now);

private:
    using Phase = SessionPhase;
    using Execution = SessionExecution;
    using Transaction = SessionTransaction;

    void onLine(std::string_view line);
    void onClosed();
    void onStart(const SessionStart &start, TimePoint now);
    void onStatement(Statement statement, TimePoint now);
    void enqueue(CallerMessage message);
    void serveQueue();
    bool quiescent() const;
    void onLateMessage(std::string_view line, TimePoint now);
    void closeForStop(StopClose when);
    void failOpenStatement(TimePoint now);
    void refuseUnserved(const CallerMessage &message);
    void close();
    void refuseStart(ErrorKind kind);
    void answerStart(TimePoint now);

    // Limits of what the caller uses.
    static std::size_t messageBytes(const CallerMessage &message);
    bool hasRoomForInput() const;
    bool hasRoomForAnswer() const;
    bool takesInput(std::size_t bytes);
    void onSent();
    void updateCharges(TimePoint now);
    void applyLimits(TimePoint now);
    TimePoint nextLimit(TimePoint now) const;

    // Statements that need no database.
    bool answerLocally(const Statement &statement, TimePoint now);
    bool resolvePrepared(const Statement &statement);

    // Operations.
    void startExecution(Statement statement, TimePoint now);
    /// Cancels what the execution waits for. Returns whether its statement will certainly not run.
    bool cancelPendingWait();
    void beginOperation(Statement statement, TimePoint now);
    void admit(TimePoint now);
    void takeToken(TimePoint now);
    void startAdmitted(TimePoint now);
    void runInTransaction(Statement statement, TimePoint now);
    void commit(Statement statement, TimePoint now);
    void rollback(TimePoint now);
    bool insideRate(TimePoint now) const;
    /// Why the caller's operations can't be run, whatever they are; nullopt if they can.
    std::optional<ErrorKind> refusalReason(TimePoint now) const;
    TeamId teamOfKey() const;
    /// Admits the statement for the team that holds the key now. A transaction is lost instead,
    /// because it was begun for the other team.
    void onTeamChanged(TimePoint now);

    // Attempts to run a statement on a database.
    const DatabaseConfig &database() const;
    bool writes(const Statement &statement) const;
    bool needsPrimary() const;
    void startAttempt(TimePoint now);
    /// Sends the statement to the owner of the database that was selected.
    void dispatch(bool transactionBegun, TimePoint now);
    /// Whether the success of the statement means that the database has kept a write.
    bool commitsWrite() const;
    /// Whether the statement belongs to a transaction whose writes can't be committed any more.
    bool transactionReleased(TimePoint now) const;
    /// Answers a commit that may be missing at the next primary.
    void failUnacknowledged(TimePoint now);
    std::optional<UpstreamId> selectDatabase(TimePoint now) const;
    bool onlyEvacuated() const;
    StatementRequest makeRequest(TimePoint now) const;
    void onReply(const StatementReply &reply);
    void onSuccess(const StatementReply &reply, TimePoint now);
    void onError(const StatementReply &reply, TimePoint now);
    /// The database did not answer the attempt. `sent`: the statement may have run.
    void onUnanswered(RetryReason reason, bool sent, TimePoint now);
    void onDeadline(TimePoint now);
    /// Schedules another attempt. The statement did not run, or may safely run again.
    void retry(RetryReason reason, TimePoint now);
    /// Fails the statement because there is no time for another attempt.
    void giveUp(TimePoint now);

    // Completion.
    /// Rolls back the transaction at the owner of the database, if it has begun there.
    void endTransaction(TimePoint now);
    void finishExecution();
    void answer(const std::string &lines);
    /// Answers with an error. `retryAfter` overrides the default retry delay of the kind.
    void fail(ErrorKind kind, TimePoint now, std::optional<Duration> retryAfter = std::nullopt);
    TransactionState state() const;
    /// Rejects a statement that is not valid in the current state of the session.
    void refuse(ErrorKind kind, const std::string &request);
    void logOutcome(std::string_view event, std::string_view reason, LogTopic topic, TimePoint now);

    ProxyState &m_state;
    StatementDispatcher &m_dispatcher;
    MemoryAccount m_account;
    std::unique_ptr<LineSocket> m_socket;
    bool m_started = false;
    /// The first message was received; the response waits for the node's freshness lease.
    bool m_awaitingLease = false;
    /// The connection was closed or is being closed; nothing more is sent to the caller.
    bool m_disconnected = false;
    TimePoint m_openedAt;
    /// The caller last sent a message or received an answer.
    TimePoint m_lastActiveAt;
    DatabaseName m_database;
    KeyHash m_key {};
    /// Team that the current operation, or the last one, was admitted for.
    TeamId m_team;
    SessionState m_sessionState;
    /// Log position of the session's last commit, for read-your-writes consistency.
    std::optional<HistoryPoint> m_lastCommit;
    std::optional<Execution> m_execution;
    std::optional<Transaction> m_transaction;
    /// Messages that the caller sent ahead of responses.
    std::deque<CallerMessage> m_queue;
    std::size_t m_queuedBytes = 0;
    /// Output was last accepted, or began to wait.
    TimePoint m_sentAt;
    bool m_servingQueue = false;
    /// Configuration used by the current statement outside of a transaction.
    DatabaseConfig m_operationConfig;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
