#include "load.h"

#include <QJsonArray>

namespace shallotlever::support {

namespace {

constexpr int kRowsPerWriter = 100000;
/// Limits the load, so that several tests can share a machine.
constexpr std::chrono::milliseconds kPause { 5 };

} // namespace

Load::Load(const Cluster &cluster, Options options)
    : m_cluster(cluster)
    , m_options(std::move(options))
    , m_lastAcknowledged(std::chrono::steady_clock::now())
{
    for (int writer = 0; writer < m_options.writers; ++writer)
        m_threads.emplace_back([this, writer] { runWriter(writer); });
    m_threads.emplace_back([this] { runBoards(); });
}

Load::~Load()
{
    stop();
}

LoadCounts Load::stop()
{
    m_stop = true;
    for (std::thread &thread : m_threads)
        thread.join();
    m_threads.clear();
    return m_counts;
}

int Load::nextNode(int &counter) const
{
    int node = m_options.nodes[counter++ % m_options.nodes.size()];
    while ((m_avoided & (1U << node)) != 0)
        node = m_options.nodes[counter++ % m_options.nodes.size()];
    return node;
}

void Load::runWriter(int writer)
{
    int counter = writer;
    int row = m_options.firstRow + writer * kRowsPerWriter;
    HttpRequest request;
    request.deadlineMs = m_options.deadlineMs;
    for (; !m_stop; ++row) {
        const std::string id = std::to_string(row);
        if (m_options.idempotent)
            request.idempotencyKey = "row-" + id;
        const HttpReply reply = m_cluster.write(
            nextNode(counter), "INSERT INTO t VALUES (" + id + ", 'load')", request);
        noteWrite(row, reply);
        if (reply.ok() && m_options.readBack) {
            HttpRequest own;
            own.session = reply.session;
            const HttpReply found =
                m_cluster.read(nextNode(counter), "SELECT count(*) FROM t WHERE id = " + id, own);
            noteRead(found);
            const std::lock_guard lock(m_mutex);
            m_counts.missingOwnWrites += found.ok() && found.cell() != "1" ? 1 : 0;
        }
        if (!reply.session.empty())
            request.session = reply.session;
        std::this_thread::sleep_for(kPause);
    }
}

void Load::runBoards()
{
    for (int counter = 0; !m_stop; std::this_thread::sleep_for(kPause))
        noteRead(m_cluster.board(nextNode(counter)));
}

void Load::noteRead(const HttpReply &reply)
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.boards;
    if (!reply.ok())
        ++m_counts.failedReads[reply.status == 0 ? "interrupted" : reply.kind()];
}

void Load::noteWrite(int row, const HttpReply &reply)
{
    const std::lock_guard lock(m_mutex);
    if (reply.ok()) {
        const auto now = std::chrono::steady_clock::now();
        const auto gap =
            std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastAcknowledged);
        m_counts.writeGap = std::max(m_counts.writeGap, gap);
        m_lastAcknowledged = now;
        m_counts.acknowledged.push_back(row);
        ++m_acknowledged;
        return;
    }
    ++m_counts.refusals[reply.status == 0 ? "interrupted" : reply.kind()];
    m_counts.interrupted += reply.status == 0 ? 1 : 0;
    const bool notRun = reply.outcome() == "not_run";
    (notRun ? m_counts.notRun : m_counts.unknown).push_back(row);
    m_unknown += notRun ? 0 : 1;
}

std::vector<int> rowsOf(const Cluster &cluster, int node, const std::string &session)
{
    HttpRequest request;
    request.session = session;
    std::vector<int> rows;
    const HttpReply reply = cluster.read(node, "SELECT id FROM t ORDER BY id", request);
    for (const QJsonValue &row : reply.body["rows"].toArray())
        rows.push_back(row.toArray()[0].toString().toInt());
    return rows;
}

} // namespace shallotlever::support
