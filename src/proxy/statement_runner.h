#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <vector>

#include "proxy_state.h"
#include "shallotlever/wire/peer.h"
#include "statement_messages.h"

namespace shallotlever {

/// Runs statements on the connections that this node holds to databases: those of its own sessions
/// and those that other nodes forward. Keeps the connection of an open transaction until it ends.
///
/// Each statement is answered exactly once. A statement that can't be run in its time is answered
/// with NotRun as soon as that is known. Not thread-safe.
class StatementRunner
{
public:
    using Callback = std::function<void(const StatementReply &)>;

    explicit StatementRunner(ProxyState &state);
    ~StatementRunner();
    StatementRunner(const StatementRunner &) = delete;
    StatementRunner &operator=(const StatementRunner &) = delete;

    /// `sender` is the process whose session the statement belongs to. Returns an id to pass to
    /// cancel(), or 0 if the statement has been answered already.
    std::uint64_t run(const PeerProcess &sender, StatementRequest request, Callback callback,
                      TimePoint now);
    /// Drops a statement that has not been sent, without an answer. Returns false if it has been
    /// sent; it is then answered.
    bool cancel(std::uint64_t id);
    /// Rolls back a transaction, if it is open.
    void endTransaction(const PeerProcess &sender, std::uint64_t transaction, TimePoint now);
    /// Handles expired timeouts.
    void tick(TimePoint now);
    /// When tick() has something to do if nothing else happens; kNever if it does not.
    TimePoint nextTick() const;
    /// Rolls back the transactions in which no statement is running.
    void abortIdleTransactions(TimePoint now);

    std::size_t openTransactions() const { return m_transactions.size(); }
    std::size_t runningStatements() const { return m_statements.size(); }

private:
    using TransactionKey = std::pair<PeerProcess, std::uint64_t>;

    enum class Phase : std::uint8_t {
        /// Waits for a connection of the pool.
        AwaitingLink,
        /// Sets up session variables or begins the transaction.
        Preparing,
        Running,
    };

    /// A transaction that is open on a connection.
    struct Transaction
    {
        std::shared_ptr<UpstreamPool> pool;
        PooledLink *link = nullptr;
        TimePoint lastUsedAt;
        bool running = false;
    };

    struct Execution
    {
        std::uint64_t id = 0;
        PeerProcess sender;
        StatementRequest request;
        Callback callback;
        TimePoint receivedAt;
        TimePoint deadline;
        /// Deadline of the current phase.
        TimePoint phaseDeadline;
        Phase phase = Phase::AwaitingLink;
        std::shared_ptr<UpstreamPool> pool;
        /// Identifies the pending acquire() call of `pool`.
        WaiterId waiterId;
        PooledLink *link = nullptr;
        std::size_t pendingSetupReplies = 0;
        bool setupFailed = false;
        /// No message can represent a part of the setup.
        bool unsendable = false;
        /// Execute: the statement's number on the connection.
        PreparedNumber preparedNumber;
        /// Not OK if the database has not prepared the statement.
        absl::Status prepareFailure;
        /// The session has ended the transaction: it is rolled back once the statement is answered.
        bool abandoned = false;
        /// Position that the database must have reached.
        std::optional<HistoryPoint> minPosition;
    };

    Execution *find(std::uint64_t id);
    StatementTraits traits(const Execution &execution) const;
    TransactionKey transactionKey(const Execution &execution) const;
    std::optional<RetryReason> refusal(Execution &execution, TimePoint now) const;
    std::optional<HistoryPoint> requiredPosition(const StatementRequest &request,
                                                 TimePoint now) const;
    bool isPrimary(const Execution &execution) const;
    bool knownToLag(const Execution &execution, TimePoint now) const;
    void acquireLink(Execution &execution, TimePoint now);
    void onLinkAcquired(std::uint64_t id, const LinkResult &result);
    void setUpLink(Execution &execution, TimePoint now);
    void sendSessionVariables(Execution &execution);
    void onSetupReply(std::uint64_t id, const UpstreamReply &reply);
    void beginTransaction(Execution &execution, TimePoint now);
    void onBegun(std::uint64_t id, const UpstreamReply &reply);
    void send(Execution &execution, TimePoint now);
    absl::StatusOr<std::string> statementText(const Execution &execution) const;
    void prepareStatement(Execution &execution);
    void logPrepared(const Execution &execution);
    void onPrepared(std::uint64_t id, const UpstreamReply &reply);
    void onReply(std::uint64_t id, const UpstreamReply &reply);
    void onError(Execution &execution, const UpstreamReply &reply, TimePoint now);
    void onLost(Execution &execution, RetryReason reason, TimePoint now);
    /// No message can represent the statement or its setup; it was not sent.
    void onUnsendable(Execution &execution, TimePoint now);
    void onTimeout(Execution &execution, TimePoint now);
    Duration attemptTimeout(const Execution &execution, TimePoint now) const;
    /// Rolls back and releases the connection of the statement and its transaction, if any. `state`
    /// is that of the connection as the database last reported it.
    void rollBackLink(Execution &execution, TransactionState state, TimePoint now);
    /// Closes the connection of the statement, and with it the transaction.
    void discardLink(Execution &execution, TimePoint now);
    void onTransactionConnectionLost(const TransactionKey &key);
    void keepTransactionOpen(Execution &execution, TimePoint now);
    void rollBack(std::map<TransactionKey, Transaction>::iterator entry, TimePoint now);
    void finish(Execution &execution, StatementReply reply);
    void notRun(Execution &execution, RetryReason reason, TimePoint now,
                Duration retryAfter = Duration(0));

    ProxyState &m_state;
    std::list<Execution> m_statements;
    std::map<TransactionKey, Transaction> m_transactions;
    std::uint64_t m_lastId = 0;
    /// Statements returned unrun, by RetryReason.
    std::vector<Counter *> m_returned;
    Counter &m_prepareFailures;
};

} // namespace shallotlever
