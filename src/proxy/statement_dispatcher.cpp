#include "statement_dispatcher.h"

#include <algorithm>
#include <utility>

#include "shallotlever/base/clock.h"

namespace shallotlever {

namespace {

/// A node that has sent nothing for this long while it owes an answer is asked for a sign of life.
constexpr Duration kLivenessCheckDelay = 150ms;
/// A node that has not answered that for this long is not used until it sends a message again.
constexpr Duration kLivenessTimeout = 400ms;
/// The links to a node that has sent nothing for this long are opened anew: they may be dead while
/// new ones work.
constexpr Duration kPeerResetTimeout = 1500ms;
/// Interval at which the owners of replicas request the end of the primary's log, while there are
/// reads that replicas may serve. Well below the staleness that reads usually accept.
constexpr Duration kPositionInterval = 200ms;
/// Requests continue for this long after the last such read.
constexpr Duration kPositionDemandPeriod = 5s;
/// Bounds the time for which reads avoid a replica that lags.
constexpr std::uint32_t kMaxLaggingDoublings = 3;
/// Pending position requests older than this are forgotten.
constexpr Duration kPositionRequestTimeout = 5s;

} // namespace

StatementDispatcher::StatementDispatcher(ProxyState &state, ProxyPeers peers)
    : m_state(state)
    , m_peers(std::move(peers))
    , m_runner(state)
    , m_forwardedCount(state.metrics->registry().counter(
          "shallotlever_forwarded_statements_total",
          "Statements sent to the node that holds the connections to their database."))
{
}

std::optional<NodeId> StatementDispatcher::owner(const UpstreamInfo &info,
                                                 const std::set<NodeId> &excluded) const
{
    if (info.poolOwners.empty())
        return m_state.self;
    for (const NodeId &owner : info.poolOwners) {
        if (excluded.contains(owner))
            continue;
        const auto liveness = m_liveness.find(owner);
        const bool responsive = liveness == m_liveness.end() || liveness->second.responsive;
        if (owner == m_state.self || (responsive && m_peers.isConnected(owner)))
            return owner;
    }
    return std::nullopt;
}

std::uint64_t StatementDispatcher::run(const NodeId &owner, StatementRequest request,
                                       Callback callback, TimePoint now)
{
    const bool local = owner == m_state.self;
    std::string message = local ? std::string() : encodeStatementRequest(request);
    if (message.size() > kMaxPayloadBytes) {
        callback(unansweredReply(StatementResult::NotRun, RetryReason::Unsendable));
        return 0;
    }
    const std::uint64_t id = ++m_lastId;
    Forwarded &forwarded = m_forwarded[id];
    forwarded.owner = owner;
    forwarded.repeatable = request.transaction == 0 && !request.writes;
    forwarded.service = request.service;
    forwarded.upstream = request.upstream;
    forwarded.sentAt = now;
    forwarded.callback = std::move(callback);
    if (DatabaseRoute *used = route(forwarded)) {
        ++used->pending;
        used->sentSinceReport += local ? 0U : 1U;
        if (local && used->pool)
            recordOutstanding(*used, used->pool->load().outstanding);
    }
    if (local) {
        const std::uint64_t localId = m_runner.run(
            { m_state.self, m_state.incarnation }, std::move(request),
            [this, id](const StatementReply &reply) { answer(id, reply, monotonicNow()); }, now);
        const auto running = m_forwarded.find(id);
        if (running != m_forwarded.end())
            running->second.local = localId;
    } else {
        m_forwardedCount.increment();
        if (!m_peers.send(owner, MessageType::StatementRequest, id, std::move(message)))
            answer(id, unansweredReply(StatementResult::NotRun, RetryReason::OwnerUnavailable),
                   now);
    }
    return m_forwarded.contains(id) ? id : 0;
}

DatabaseRoute *StatementDispatcher::route(const Forwarded &forwarded)
{
    const auto service = m_state.services.find(forwarded.service);
    return service == m_state.services.end() ? nullptr : service->second.route(forwarded.upstream);
}

void StatementDispatcher::answer(std::uint64_t id, const StatementReply &reply, TimePoint now)
{
    const auto found = m_forwarded.find(id);
    if (found == m_forwarded.end())
        return;
    const Forwarded forwarded = std::move(found->second);
    m_forwarded.erase(found);
    if (DatabaseRoute *used = route(forwarded)) {
        endPending(*used);
        noteLag(*used, reply, now);
        if (forwarded.owner != m_state.self)
            noteLoad(*used, reply, now);
    }
    forwarded.callback(reply);
}

/// A replica that lags far behind is tried ever less often, as reads sent to it only lose time.
void StatementDispatcher::noteLag(DatabaseRoute &route, const StatementReply &reply, TimePoint now)
{
    const bool lagging = reply.result == StatementResult::Answered
        ? reply.error && reply.error->kind == UpstreamErrorKind::Lagging
        : reply.reason == RetryReason::ReplicaStale;
    if (reply.succeeded())
        route.laggingReplies = 0;
    if (!lagging)
        return;
    const std::uint32_t doublings = std::min(route.laggingReplies++, kMaxLaggingDoublings);
    route.avoidLaggingUntil = now + kRefusalCooldown * (1U << doublings);
}

void StatementDispatcher::noteLoad(DatabaseRoute &route, const StatementReply &reply, TimePoint now)
{
    UpstreamLoad &load = route.ownerLoad;
    if (!reply.succeeded())
        load.avoidUntil = now + kRefusalCooldown;
    if (reply.result != StatementResult::Answered)
        return;
    load.serviceTime = reply.load.serviceTime;
    load.serviceTimeUpdatedAt = now;
    if (now >= route.reportedAt + kMaxServiceTimeAge)
        route.meanOutstanding = reply.load.outstanding;
    recordOutstanding(route, reply.load.outstanding);
    route.reportedOutstanding = reply.load.outstanding;
    route.reportedAt = now;
    route.sentSinceReport = 0;
}

bool StatementDispatcher::cancel(std::uint64_t id)
{
    const auto found = m_forwarded.find(id);
    if (found == m_forwarded.end())
        return false;
    const bool dropped = found->second.local != 0 && m_runner.cancel(found->second.local);
    if (DatabaseRoute *used = route(found->second))
        endPending(*used);
    m_forwarded.erase(found);
    return dropped;
}

void StatementDispatcher::endTransaction(const NodeId &owner, std::uint64_t transaction,
                                         TimePoint now)
{
    if (owner == m_state.self)
        m_runner.endTransaction({ m_state.self, m_state.incarnation }, transaction, now);
    else
        // If the message is lost, the owner rolls back the transaction when it has been idle.
        m_peers.send(owner, MessageType::TransactionEnd, 0, encodeTransactionEnd(transaction));
}

void StatementDispatcher::onMessage(const PeerMessage &message, TimePoint now)
{
    PeerLiveness &liveness = m_liveness[message.sender];
    liveness.lastMessageAt = now;
    liveness.requestedAt.reset();
    if (!liveness.responsive)
        m_state.logger->info("owner_responsive", { { "peer", message.sender.value() } });
    liveness.responsive = true;
    switch (message.type) {
    case MessageType::StatementRequest:
        onStatement(message, now);
        break;
    case MessageType::StatementReply:
        if (const auto reply = decodeStatementReply(message.payload); reply.ok())
            onStatementReply(message, *reply, now);
        break;
    case MessageType::TransactionEnd:
        if (const auto transaction = decodeTransactionEnd(message.payload); transaction.ok())
            m_runner.endTransaction(message.senderProcess(), *transaction, now);
        break;
    case MessageType::PositionRequest:
        onPositionRequest(message, now);
        break;
    case MessageType::PositionReply:
        onPositionReply(message);
        break;
    default:
        break;
    }
}

void StatementDispatcher::onStatement(const PeerMessage &message, TimePoint now)
{
    const auto reply = [this, process = message.senderProcess(),
                        id = message.requestId](const StatementReply &answer) {
        m_peers.reply(process, MessageType::StatementReply, id, encodeBounded(answer));
    };
    absl::StatusOr<StatementRequest> request = decodeStatementRequest(message.payload);
    if (!request.ok()) {
        reply(unansweredReply(StatementResult::NotRun, RetryReason::OwnerUnavailable));
        return;
    }
    m_runner.run(message.senderProcess(), *std::move(request), reply, now);
}

/// Encodes the reply, or if it is too long for a message, one that says that it is.
std::string StatementDispatcher::encodeBounded(const StatementReply &reply)
{
    std::string message = encodeStatementReply(reply);
    if (message.size() <= kMaxPayloadBytes)
        return message;
    if (acquireLogToken(m_state.logRateLimiter, LogTopic::Failure, monotonicNow()))
        m_state.logger->warning("answer_too_large", { { "bytes", message.size() } });
    StatementReply failure = unansweredReply(StatementResult::Unknown, RetryReason::AnswerTooLarge);
    failure.load = reply.load;
    return encodeStatementReply(failure);
}

void StatementDispatcher::onStatementReply(const PeerMessage &message, const StatementReply &reply,
                                           TimePoint now)
{
    const auto forwarded = m_forwarded.find(message.requestId);
    if (forwarded != m_forwarded.end() && forwarded->second.owner == message.sender)
        answer(message.requestId, reply, now);
}

void StatementDispatcher::onPositionRequest(const PeerMessage &message, TimePoint now)
{
    const auto services = decodePositionRequest(message.payload);
    if (!services.ok())
        return;
    std::vector<ServicePosition> positions;
    for (const ServiceId &id : *services) {
        const auto service = m_state.services.find(id);
        if (service == m_state.services.end() || !service->second.primary)
            continue;
        service->second.positionRequestedAt = now;
        const auto &observations = service->second.positions.observations;
        if (!observations.empty())
            positions.push_back({ id, *service->second.primary, observations.back().point,
                                  std::max(now - observations.back().requestedAt, Duration(0)) });
    }
    m_peers.reply(message.senderProcess(), MessageType::PositionReply, message.requestId,
                  encodePositionReply(positions));
}

void StatementDispatcher::onPositionReply(const PeerMessage &message)
{
    const auto request = m_positionRequests.find(message.requestId);
    const auto positions = decodePositionReply(message.payload);
    if (request == m_positionRequests.end() || request->second.peer != message.sender
        || !positions.ok())
        return;
    // The other node observed the position at most `age` before it received the request, so not
    // earlier than `age` before the request was sent.
    for (const ServicePosition &position : *positions)
        m_state.recordHistoryPoint(position.service, position.primary, position.point,
                                   request->second.sentAt - position.age);
    m_positionRequests.erase(request);
}

void StatementDispatcher::onPeerDisconnected(const NodeId &peer, TimePoint now)
{
    m_liveness.erase(peer);
    loseStatements(peer, false, now);
}

/// Answers the statements sent to the node, because their answers may never arrive.
void StatementDispatcher::loseStatements(const NodeId &peer, bool repeatableOnly, TimePoint now)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[id, forwarded] : m_forwarded) {
        if (forwarded.owner == peer && (forwarded.repeatable || !repeatableOnly))
            lost.push_back(id);
    }
    for (const std::uint64_t id : lost)
        answer(id, unansweredReply(StatementResult::Unknown, RetryReason::ReadConnectionLost), now);
}

/// For each other node that owes an answer, when the oldest of these statements was sent.
std::map<NodeId, TimePoint> StatementDispatcher::oldestForwarded() const
{
    std::map<NodeId, TimePoint> oldest;
    for (const auto &[id, forwarded] : m_forwarded) {
        if (forwarded.owner == m_state.self)
            continue;
        const auto entry = oldest.try_emplace(forwarded.owner, forwarded.sentAt).first;
        entry->second = std::min(entry->second, forwarded.sentAt);
    }
    return oldest;
}

/// Finds nodes that are suspended or cut off while the links to them appear to be open.
void StatementDispatcher::checkLiveness(TimePoint now)
{
    for (const auto &[peer, sentAt] : oldestForwarded()) {
        PeerLiveness &liveness = m_liveness[peer];
        const TimePoint waitingSince = std::max(sentAt, liveness.lastMessageAt);
        if (!liveness.requestedAt && now >= waitingSince + kLivenessCheckDelay) {
            sendPositionRequest(peer, {}, now);
            liveness.requestedAt = now;
        } else if (liveness.requestedAt && now >= *liveness.requestedAt + kLivenessTimeout) {
            if (liveness.responsive)
                m_state.logger->warning("owner_unresponsive", { { "peer", peer.value() } });
            liveness.responsive = false;
            loseStatements(peer, true, now);
        }
    }
    std::vector<NodeId> silent;
    for (const auto &[peer, liveness] : m_liveness) {
        if (!liveness.responsive && now >= *liveness.requestedAt + kPeerResetTimeout)
            silent.push_back(peer);
    }
    for (const NodeId &peer : silent) {
        m_peers.reset(peer);
        onPeerDisconnected(peer, now);
    }
}

void StatementDispatcher::sendPositionRequest(const NodeId &peer,
                                              const std::vector<ServiceId> &services, TimePoint now)
{
    const std::uint64_t id = ++m_lastPositionRequest;
    if (m_peers.send(peer, MessageType::PositionRequest, id, encodePositionRequest(services)))
        m_positionRequests[id] = { peer, now };
}

/// Requests the end of the logs of the services whose replicas this node serves.
void StatementDispatcher::requestPositions(TimePoint now)
{
    if (now < m_nextPositionRequests)
        return;
    m_nextPositionRequests = now + kPositionInterval;
    std::erase_if(m_positionRequests, [now](const auto &request) {
        return now >= request.second.sentAt + kPositionRequestTimeout;
    });
    std::map<NodeId, std::vector<ServiceId>> servicesByOwner;
    for (auto &[id, service] : m_state.services) {
        const auto primary =
            service.primary ? service.routes.find(*service.primary) : service.routes.end();
        if (primary == service.routes.end())
            continue;
        const auto owner = this->owner(primary->second.info, {});
        const bool wanted = now < service.replicaReadAt + kPositionDemandPeriod;
        if (owner && *owner != m_state.self && wanted)
            servicesByOwner[*owner].push_back(id);
        const bool local = owner == m_state.self
            && (wanted || now < service.positionRequestedAt + kPositionDemandPeriod);
        if (primary->second.pool)
            primary->second.pool->setMaxPositionAge(local ? kPositionInterval
                                                          : kDefaultPingInterval);
    }
    for (const auto &[owner, services] : servicesByOwner)
        sendPositionRequest(owner, services, now);
}

void StatementDispatcher::connectOwners()
{
    std::set<NodeId> owners;
    for (const auto &[id, service] : m_state.services) {
        for (const auto &[upstream, route] : service.routes)
            owners.insert(route.info.poolOwners.begin(), route.info.poolOwners.end());
    }
    owners.erase(m_state.self);
    for (const NodeId &owner : owners) {
        if (!m_connected.contains(owner))
            m_peers.connect(owner);
    }
    for (const NodeId &former : m_connected) {
        if (!owners.contains(former))
            m_peers.forget(former);
    }
    m_connected = std::move(owners);
    std::erase_if(m_liveness,
                  [this](const auto &entry) { return !m_connected.contains(entry.first); });
}

void StatementDispatcher::tick(TimePoint now)
{
    m_runner.tick(now);
    checkLiveness(now);
    requestPositions(now);
}

TimePoint StatementDispatcher::nextLivenessCheck() const
{
    TimePoint due = kNever;
    for (const auto &[peer, sentAt] : oldestForwarded()) {
        const auto liveness = m_liveness.find(peer);
        const bool known = liveness != m_liveness.end();
        const TimePoint heardAt = known ? liveness->second.lastMessageAt : TimePoint();
        due = std::min(due,
                       known && liveness->second.requestedAt
                           ? *liveness->second.requestedAt + kLivenessTimeout
                           : std::max(sentAt, heardAt) + kLivenessCheckDelay);
    }
    for (const auto &[peer, liveness] : m_liveness) {
        if (!liveness.responsive)
            due = std::min(due, *liveness.requestedAt + kPeerResetTimeout);
    }
    return due;
}

/// Positions are requested, and those of the own primaries kept recent, only while reads need them.
TimePoint StatementDispatcher::nextPositionRequest(TimePoint now) const
{
    const bool needed =
        std::any_of(m_state.services.begin(), m_state.services.end(), [now](const auto &service) {
            return now < service.second.replicaReadAt + kPositionDemandPeriod
                || now < service.second.positionRequestedAt + kPositionDemandPeriod;
        });
    return needed || !m_positionRequests.empty() ? m_nextPositionRequests : kNever;
}

TimePoint StatementDispatcher::nextTick(TimePoint now) const
{
    return std::min({ m_runner.nextTick(), nextLivenessCheck(), nextPositionRequest(now) });
}

} // namespace shallotlever
