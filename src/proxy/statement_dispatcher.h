#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "shallotlever/proxy/proxy.h"
#include "statement_runner.h"

namespace shallotlever {

/// Sends statements to the nodes that hold the connections to their databases: to this node's own
/// runner or, as messages, to other nodes. Answers the statements that other nodes send here.
///
/// A statement that was sent to another node is answered with Unknown when the link to that node is
/// lost, or when the node gives no sign of life and the statement may be repeated. Not thread-safe.
class StatementDispatcher
{
public:
    using Callback = StatementRunner::Callback;

    StatementDispatcher(ProxyState &state, ProxyPeers peers);

    /// Node to send a statement for the database to: the first owner that is reachable and not
    /// excluded, or this node if every node holds connections of its own. nullopt if there is none.
    std::optional<NodeId> owner(const UpstreamInfo &info, const std::set<NodeId> &excluded) const;

    /// Network round trip to the node, if known.
    std::optional<Duration> roundTrip(const NodeId &node) const { return m_peers.roundTrip(node); }

    /// Runs a statement. The callback is called once unless the statement is cancelled, possibly
    /// before this function returns. Returns an id to pass to cancel(), or 0 if it has been
    /// answered.
    std::uint64_t run(const NodeId &owner, StatementRequest request, Callback callback,
                      TimePoint now);
    /// Forgets a statement, whose callback is not called any more. Returns whether it will
    /// certainly not run.
    bool cancel(std::uint64_t id);
    /// Rolls back a transaction of a session of this node.
    void endTransaction(const NodeId &owner, std::uint64_t transaction, TimePoint now);

    /// Called with each message of another node's proxy.
    void onMessage(const PeerMessage &message, TimePoint now);
    /// Called when the last link to the node is lost.
    void onPeerDisconnected(const NodeId &peer, TimePoint now);
    /// Keeps links to the owners of all databases.
    void connectOwners();
    bool usesPeer(const NodeId &peer) const { return m_connected.contains(peer); }
    void tick(TimePoint now);
    /// When tick() has something to do if nothing else happens; kNever if it does not.
    TimePoint nextTick(TimePoint now) const;

    StatementRunner &runner() { return m_runner; }
    const StatementRunner &runner() const { return m_runner; }

private:
    /// A statement that another node has not answered.
    struct Forwarded
    {
        NodeId owner;
        /// Id at this node's runner; 0 if the statement was sent to another node.
        std::uint64_t local = 0;
        bool repeatable = false;
        ServiceId service;
        UpstreamId upstream;
        TimePoint sentAt;
        Callback callback;
    };

    /// Signs of life of another node.
    struct PeerLiveness
    {
        TimePoint lastMessageAt;
        /// When a sign of life was requested that has not arrived yet.
        std::optional<TimePoint> requestedAt;
        bool responsive = true;
    };

    struct PendingPositionRequest
    {
        NodeId peer;
        TimePoint sentAt;
    };

    DatabaseRoute *route(const Forwarded &forwarded);
    void answer(std::uint64_t id, const StatementReply &reply, TimePoint now);
    static void noteLag(DatabaseRoute &route, const StatementReply &reply, TimePoint now);
    static void noteLoad(DatabaseRoute &route, const StatementReply &reply, TimePoint now);
    void onStatement(const PeerMessage &message, TimePoint now);
    std::string encodeBounded(const StatementReply &reply);
    void onStatementReply(const PeerMessage &message, const StatementReply &reply, TimePoint now);
    void onPositionRequest(const PeerMessage &message, TimePoint now);
    void onPositionReply(const PeerMessage &message);
    void checkLiveness(TimePoint now);
    std::map<NodeId, TimePoint> oldestForwarded() const;
    TimePoint nextLivenessCheck() const;
    TimePoint nextPositionRequest(TimePoint now) const;
    void requestPositions(TimePoint now);
    void sendPositionRequest(const NodeId &peer, const std::vector<ServiceId> &services,
                             TimePoint now);
    void loseStatements(const NodeId &peer, bool repeatableOnly, TimePoint now);

    ProxyState &m_state;
    ProxyPeers m_peers;
    StatementRunner m_runner;
    std::map<std::uint64_t, Forwarded> m_forwarded;
    std::uint64_t m_lastId = 0;
    std::map<NodeId, PeerLiveness> m_liveness;
    /// Position requests that have not been answered, by request id.
    std::map<std::uint64_t, PendingPositionRequest> m_positionRequests;
    std::uint64_t m_lastPositionRequest = 0;
    TimePoint m_nextPositionRequests;
    std::set<NodeId> m_connected;
    Counter &m_forwardedCount;
};

} // namespace shallotlever
