#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

namespace shallotlever::support {

/// What callers were told about the writes and boards of a load.
struct LoadCounts
{
    /// Ids of rows by what their caller was told.
    std::vector<int> acknowledged;
    std::vector<int> unknown;
    std::vector<int> notRun;
    std::map<std::string, int> refusals;
    int boards = 0;
    /// Requests that ended without a complete answer.
    int interrupted = 0;
    /// Boards and reads that were not answered; each with its kind or "interrupted".
    std::map<std::string, int> failedReads;
    /// Reads of a session that did not find its own acknowledged write.
    int missingOwnWrites = 0;
    /// Longest time between two acknowledgements.
    std::chrono::milliseconds writeGap { 0 };
};

/// Runs writers and board readers in threads against the nodes until it is stopped. Each writer
/// inserts rows with ids of its own, rotating over the nodes, and reads them back in its session.
class Load
{
public:
    struct Options
    {
        std::vector<int> nodes;
        int writers = 2;
        int firstRow = 100000;
        bool idempotent = false;
        int deadlineMs = 2000;
        bool readBack = false;
    };

    Load(const Cluster &cluster, Options options);
    ~Load();
    /// Ends the threads and gives the counts.
    LoadCounts stop();
    /// Acknowledged writes so far.
    int acknowledged() const { return m_acknowledged; }
    /// Writes of unknown outcome so far.
    int unknown() const { return m_unknown; }
    /// No further requests go to the node.
    void avoid(int node) { m_avoided |= 1U << node; }
    void use(int node) { m_avoided &= ~(1U << node); }

private:
    int nextNode(int &counter) const;
    void runWriter(int writer);
    void runBoards();
    void noteWrite(int row, const HttpReply &reply);
    void noteRead(const HttpReply &reply);

    const Cluster &m_cluster;
    Options m_options;
    std::atomic<bool> m_stop = false;
    std::atomic<int> m_acknowledged = 0;
    std::atomic<int> m_unknown = 0;
    std::atomic<unsigned> m_avoided = 0;
    std::mutex m_mutex;
    LoadCounts m_counts;
    std::chrono::steady_clock::time_point m_lastAcknowledged;
    std::vector<std::thread> m_threads;
};

/// Rows of table t that exist, read from the primary through this node.
std::vector<int> rowsOf(const Cluster &cluster, int node, const std::string &session = {});

} // namespace shallotlever::support
