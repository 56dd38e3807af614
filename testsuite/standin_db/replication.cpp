#include "replication.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <chrono>
#include <thread>

#include "protocol.h"

namespace standin {

namespace {

constexpr int kPeerTimeoutMs = 400;
constexpr int kLongPollMs = 50;
constexpr int kBatchEntries = 200;
constexpr std::chrono::milliseconds kScanPause { 100 };
constexpr std::chrono::milliseconds kPullPause { 10 };

QString text(std::uint64_t number)
{
    return QString::number(number);
}

std::uint64_t number(const QJsonValue &value)
{
    return value.toString().toULongLong();
}

std::string toLine(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString() + "\n";
}

QJsonObject fromLine(const std::string &line)
{
    return QJsonDocument::fromJson(QByteArray::fromStdString(line)).object();
}

QJsonObject statusAnswer(const Status &status)
{
    return { { "term", text(status.term) },
             { "serves", status.acceptsWrites() },
             { "primary", status.primary } };
}

QJsonObject runsAnswer(const TermRuns &runs)
{
    QJsonObject result;
    for (const auto &[term, last] : runs)
        result[text(term)] = text(last);
    return result;
}

/// Entries after the position asked for, if the entry there has the term asked for; else the runs
/// of this log, from which the replica finds the last common point.
QJsonObject pullAnswer(Storage &storage, const QJsonObject &request)
{
    const std::uint64_t after = number(request["after"]);
    storage.waitForEntryAfter(after, kLongPollMs);
    QJsonObject answer = statusAnswer(storage.status());
    if (storage.termAt(after) != number(request["after_term"])) {
        answer["runs"] = runsAnswer(storage.runs());
        return answer;
    }
    QJsonArray entries;
    for (const LogEntry &entry : storage.entriesAfter(after, kBatchEntries)) {
        entries.append(QJsonArray { text(entry.position), text(entry.term),
                                    text(static_cast<std::uint64_t>(entry.committedMs)),
                                    QString::fromStdString(entry.writes) });
    }
    answer["entries"] = entries;
    return answer;
}

/// The last point that both logs share. An entry's term and position identify the whole log up to
/// it, so runs of the same term agree up to the shorter one.
std::uint64_t commonPoint(const TermRuns &own, const QJsonObject &theirs)
{
    for (auto run = own.rbegin(); run != own.rend(); ++run) {
        const QJsonValue last = theirs[text(run->first)];
        if (!last.isUndefined())
            return std::min(run->second, static_cast<std::uint64_t>(number(last)));
    }
    return 0;
}

Socket openPeer(const Address &address)
{
    Socket socket = connectTo(address, kPeerTimeoutMs);
    std::string hello { 0, 0, 0, 8 };
    for (const unsigned shift : { 24U, 16U, 8U, 0U })
        hello += static_cast<char>(kPeerCode >> shift);
    if (socket.valid() && !socket.sendAll(hello))
        return Socket();
    return socket;
}

std::optional<QJsonObject> ask(Socket &socket, const QJsonObject &request)
{
    if (!socket.valid() || !socket.sendAll(toLine(request)))
        return std::nullopt;
    const auto line = socket.receiveLine();
    if (!line)
        return std::nullopt;
    return fromLine(*line);
}

} // namespace

void servePeer(Storage &storage, Faults &faults, Socket socket)
{
    while (const auto line = socket.receiveLine()) {
        faults.waitWhileFrozen();
        const QJsonObject request = fromLine(*line);
        if (faults.isCut(request["from"].toString().toStdString(), Direction::In))
            return;
        const QJsonObject answer = request["op"].toString() == "pull"
            ? pullAnswer(storage, request)
            : statusAnswer(storage.status());
        faults.waitWhileFrozen();
        // A cut also stops the answer to a request that has been waiting for new entries.
        if (faults.isCut(request["from"].toString().toStdString(), Direction::In)
            || !socket.sendAll(toLine(answer)))
            return;
    }
}

Replicator::Replicator(std::string id, Storage &storage, Faults &faults)
    : m_id(std::move(id))
    , m_storage(storage)
    , m_faults(faults)
{
}

std::optional<std::string> Replicator::findPrimary()
{
    std::optional<std::string> best;
    std::uint64_t bestTerm = 0;
    for (const auto &[peer, address] : m_faults.peers()) {
        m_faults.waitWhileFrozen();
        if (peer == m_id || m_faults.isCut(peer, Direction::Out))
            continue;
        Socket socket = openPeer(address);
        const auto answer =
            ask(socket, { { "op", "status" }, { "from", QString::fromStdString(m_id) } });
        if (!answer || !(*answer)["primary"].toBool() || number((*answer)["term"]) <= bestTerm)
            continue;
        bestTerm = number((*answer)["term"]);
        best = peer;
    }
    m_storage.demoteBelow(bestTerm);
    const Status own = m_storage.status();
    if (own.primary || bestTerm < own.term || bestTerm < own.fencedTerm)
        return std::nullopt;
    return best;
}

void Replicator::scanPeers()
{
    for (;;) {
        auto found = findPrimary();
        {
            const std::lock_guard lock(m_mutex);
            m_source = std::move(found);
        }
        std::this_thread::sleep_for(kScanPause);
    }
}

std::optional<std::string> Replicator::source()
{
    const std::lock_guard lock(m_mutex);
    return m_source;
}

void Replicator::pullEntries()
{
    for (;;) {
        std::this_thread::sleep_for(kPullPause);
        const auto peer = source();
        const auto peers = m_faults.peers();
        if (!peer || peers.count(*peer) == 0)
            continue;
        Socket socket = openPeer(peers.at(*peer));
        while (socket.valid() && source() == peer && pullOnce(socket, *peer)) { }
    }
}

bool Replicator::pullOnce(Socket &socket, const std::string &peer)
{
    m_faults.waitWhileFrozen();
    if (m_faults.isCut(peer, Direction::Out))
        return false;
    const Status own = m_storage.status();
    const auto answer = ask(socket,
                            { { "op", "pull" },
                              { "from", QString::fromStdString(m_id) },
                              { "after", text(own.position) },
                              { "after_term", text(own.term) } });
    // A fenced primary serves no stream of its lower term.
    if (!answer || m_faults.isCut(peer, Direction::Out) || !(*answer)["serves"].toBool())
        return false;
    m_faults.waitWhileFrozen();
    const std::uint64_t term = number((*answer)["term"]);
    if (!answer->contains("entries"))
        return m_storage.truncate(commonPoint(m_storage.runs(), (*answer)["runs"].toObject()),
                                  term);
    const QJsonArray entries = (*answer)["entries"].toArray();
    for (const QJsonValue &value : entries) {
        const QJsonArray item = value.toArray();
        const LogEntry entry { number(item[0]), number(item[1]),
                               static_cast<std::int64_t>(number(item[2])),
                               item[3].toString().toStdString() };
        if (!waitUntilDue(entry) || !m_storage.append(entry, term))
            return false;
    }
    return true;
}

bool Replicator::waitUntilDue(const LogEntry &entry)
{
    while (wallClockMs() < entry.committedMs + m_faults.replicationDelayMs) {
        if (m_storage.status().primary)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    m_faults.waitWhileFrozen();
    return true;
}

} // namespace standin
