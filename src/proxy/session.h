#pragma once

#include <deque>
#include <memory>

#include "line_socket.h"
#include "session_work.h"

namespace shallotlever {

/// One caller's session: a connection with values, prepared statements and at most one transaction,
/// independent of the databases that serve it. A session occupies a connection to a database only
/// while a statement runs or a transaction is open.
class CallerSession
{
public:
    CallerSession(ProxyState &state, QTcpSocket *socket, TimePoint now);
    ~CallerSession();
    CallerSession(const CallerSession &) = delete;
    CallerSession &operator=(const CallerSession &) = delete;

    /// Acts on what has become due.
    void tick(TimePoint now);
    /// Nothing runs and no transaction is open.
    bool idle() const { return !m_work && !m_transaction; }
    /// The connection has ended and nothing of the session runs any more.
    bool finished() const { return m_gone && !m_work; }
    bool inTransaction() const { return m_transaction.has_value(); }
    /// Closes an idle session.
    void close();
    /// Ends the transaction; the next statement learns of it.
    void abortTransaction(TimePoint now);

private:
    using Phase = SessionPhase;
    using Work = SessionWork;
    using Transaction = SessionTransaction;

    void onLine(std::string_view line);
    void onClosed();
    void onStart(const SessionStart &start, TimePoint now);
    void onStatement(Statement statement, TimePoint now);
    void enqueue(Statement statement);
    void refuseStart(ErrorKind kind);
    void answerStart(TimePoint now);

    // Statements that need no database.
    bool answerLocally(const Statement &statement, TimePoint now);
    bool resolvePrepared(const Statement &statement);

    // Operations.
    void startWork(Statement statement, TimePoint now);
    /// Ends a wait for a token or a connection, if there is one.
    void endWait();
    void beginOperation(Statement statement, TimePoint now);
    void admit(TimePoint now);
    void takeToken(TimePoint now);
    void startAdmitted(TimePoint now);
    void runInTransaction(Statement statement, TimePoint now);
    void commit(Statement statement, TimePoint now);
    void rollback(TimePoint now);
    bool insideRate(TimePoint now) const;
    std::optional<ErrorKind> unauthorized(TimePoint now) const;

    // Attempts.
    const DatabaseConfig &database() const;
    bool writes(const Statement &statement) const;
    bool needsPrimary() const;
    std::optional<HistoryPoint> requiredPosition(TimePoint now) const;
    void place(TimePoint now);
    void onLink(const LinkResult &result);
    void setUpLink(TimePoint now);
    void sendValues();
    void onSetupReply(const UpstreamReply &reply);
    void beginOnLink(TimePoint now);
    void run(TimePoint now);
    std::string statementText();
    Duration attemptTimeout(TimePoint now) const;
    void onReply(const UpstreamReply &reply);
    void onSuccess(const UpstreamReply &reply, TimePoint now);
    void onError(const UpstreamReply &reply, TimePoint now);
    /// `readReason` tells how a read that was sent was lost.
    void onLost(RetryReason readReason, TimePoint now);
    void onSilence(TimePoint now);
    /// The attempt has not run, or may run again.
    void retry(RetryReason reason, TimePoint now);
    /// No attempt is left to be made in time.
    void giveUp(TimePoint now);
    void linkLostWhileIdle();

    // Ends.
    void releaseLink(TimePoint now);
    void discardLink(TimePoint now);
    void rollBackLink(TimePoint now);
    void finishWork();
    void answer(const std::string &lines);
    /// `retryAfter` replaces the usual pause of the kind.
    void fail(ErrorKind kind, TimePoint now, std::optional<Duration> retryAfter = std::nullopt);
    TransactionState state() const;
    /// Refuses a statement that the session's state does not permit.
    void refuse(ErrorKind kind, const std::string &request);
    void logOutcome(std::string_view event, std::string_view reason, LineTopic topic,
                    TimePoint now);

    ProxyState &m_state;
    std::unique_ptr<LineSocket> m_socket;
    bool m_started = false;
    /// The session has been asked for and waits for the node's lease.
    bool m_starting = false;
    bool m_gone = false;
    TimePoint m_openedAt;
    DatabaseName m_database;
    KeyHash m_key {};
    TeamId m_team;
    SessionValues m_values;
    std::map<std::string, PreparedStatement> m_prepared;
    /// The session's last commit.
    std::optional<HistoryPoint> m_committed;
    std::optional<Work> m_work;
    std::optional<Transaction> m_transaction;
    /// Connection in use, and the pool it belongs to.
    PooledLink *m_link = nullptr;
    std::shared_ptr<UpstreamPool> m_linkPool;
    std::deque<Statement> m_queue;
    DatabaseConfig m_operation;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace shallotlever
