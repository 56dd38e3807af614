#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonObject>
#include <QTimer>

#include "arrivals.h"
#include "checker.h"
#include "node_set.h"
#include "statistics.h"

namespace shallotlever::load {

struct RunOptions
{
    std::vector<quint16> ports;
    int connectionsPerNode = 64;
    double durationSeconds = 10;
    /// Each team sends to one node only, which changes after this time; 0 spreads the requests.
    double moveSeconds = 0;
};

/// Table that the tool writes to; the deployment creates it in each service.
inline constexpr const char *kLoadTable = "load_writes";

/// Sends the workload, checks the answers and reads the tables back. One thread; drives itself by
/// the event loop and calls `done` once.
class Runner : public QObject
{
public:
    Runner(Workload workload, std::map<std::string, std::string> keys, RunOptions options);
    ~Runner() override;
    void start(std::function<void()> done);

    const Workload &workload() const { return m_workload; }
    const Statistics &statistics() const { return m_statistics; }
    const Checker &checker() const { return m_checker; }
    /// Services whose table could not be read back.
    const std::vector<std::string> &unread() const { return m_unread; }
    /// Time series ends and gaps end here.
    double durationSeconds() const { return m_options.durationSeconds; }

private:
    struct Session
    {
        /// Latest token; it covers every acknowledged write of the session.
        QByteArray token;
        /// One request at a time: concurrent answers would overwrite each other's token.
        bool busy = false;
    };
    struct Team;
    struct Call;
    using CallPtr = std::shared_ptr<Call>;
    using Then = void (Runner::*)(const CallPtr &);

    double now() const { return static_cast<double>(m_clock.nsecsElapsed()) * 1e-9; }
    void sendDue();
    void startRequest(Team &team, double intended);
    Kind drawKind(const Team &team);
    std::string newId();
    std::size_t nodeFor(const Team &team);
    /// A session of the team without an open request; a new one if all are busy.
    Session *takeSession(Team &team);

    void startRead(const CallPtr &call);
    void startOwnRead(const CallPtr &write);
    void startWrite(const CallPtr &call);
    void startTransaction(const CallPtr &call);
    void transactionStep(const CallPtr &call);
    QByteArray statementBody(const CallPtr &call, const std::string &row) const;
    QJsonArray readParams(const CallPtr &call) const;

    void sendCall(const CallPtr &call, const QByteArray &path, const QByteArray &body, Then then);
    void onReply(const CallPtr &call, const HttpReply &reply, bool takesToken, Then then);
    void afterBoard(const CallPtr &call);
    void afterRead(const CallPtr &call);
    void afterWrite(const CallPtr &call);
    void afterStep(const CallPtr &call);
    /// Ends a transaction of which a statement was refused; the answer does not matter.
    void rollBack(const CallPtr &call);
    bool repeatWrite(const CallPtr &call);
    /// Records how the write ended, ends the call and lets the read of the own write follow.
    void settleWrite(const CallPtr &call);
    void finishCall(const CallPtr &call);

    void readBack();
    void readBackService(std::size_t index, int attempt);
    void readBackPage(std::size_t index, int attempt, const QByteArray &token,
                      const std::shared_ptr<TableContent> &content, const QString &after);
    void readBackFailed(std::size_t index, int attempt);
    HttpRequest verifierRequest(const std::string &service, const QJsonObject &body) const;

    Workload m_workload;
    std::map<std::string, std::string> m_keys;
    RunOptions m_options;
    NodeSet m_nodes;
    Random m_random;
    Checker m_checker;
    Statistics m_statistics;
    std::vector<std::unique_ptr<Team>> m_teams;
    std::vector<std::string> m_unread;
    QElapsedTimer m_clock;
    QTimer m_timer;
    std::uint64_t m_nextId = 0;
    std::uint64_t m_open = 0;
    bool m_readingBack = false;
    std::function<void()> m_done;
};

} // namespace shallotlever::load
