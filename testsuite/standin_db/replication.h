#pragma once

#include <mutex>
#include <optional>
#include <string>

#include "faults.h"
#include "net.h"
#include "storage.h"

namespace standin {

/// Answers a peer's JSON lines: `status`, and `pull` for log entries.
void servePeer(Storage &storage, Faults &faults, Socket socket);

/// Finds the primary among the peers and copies its log.
class Replicator
{
public:
    Replicator(std::string id, Storage &storage, Faults &faults);

    /// Asks each peer for its status; demotes this database if a peer is primary at a higher term.
    /// Does not return.
    void scanPeers();
    /// Pulls and applies entries from the primary found. Does not return.
    void pullEntries();

private:
    std::optional<std::string> findPrimary();
    std::optional<std::string> source();
    /// False if the source cannot be followed.
    bool pullOnce(Socket &socket, const std::string &peer);
    bool waitUntilDue(const LogEntry &entry);

    const std::string m_id;
    Storage &m_storage;
    Faults &m_faults;
    std::mutex m_mutex;
    std::optional<std::string> m_source;
};

} // namespace standin
