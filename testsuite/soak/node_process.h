#pragma once

#include <optional>
#include <string>
#include <vector>

#include <QProcess>
#include <QTimer>

#include "options.h"

namespace shallotlever::soak {

struct NodeCommand
{
    std::string name;
    /// Address at which callers or operators reach the node.
    std::string host;
    std::string program;
    std::vector<std::string> arguments;
    /// Empty if the node keeps nothing on disk.
    std::string dataDirectory;
    std::string logFile;
};

/// A stop that was announced to a process, and its end.
struct PlannedStop
{
    std::string host;
    RunTime at { 0 };
    /// No value while the process runs.
    std::optional<RunTime> endedAt;
    bool killedAfterGrace = false;
};

/// A node as a process of its own. It is started again whenever it ends, after a delay.
class NodeProcess
{
public:
    /// `clock` gives the time since the start of the run, for events of the process.
    NodeProcess(NodeCommand command, std::function<RunTime()> clock);
    ~NodeProcess();
    NodeProcess(const NodeProcess &) = delete;
    NodeProcess &operator=(const NodeProcess &) = delete;

    const NodeCommand &command() const { return m_command; }
    /// `mayFound`: the node may found a control group.
    void start(bool mayFound);
    /// SIGKILL; starts again after `back`, without its data if `loseData`.
    void kill(std::chrono::milliseconds back, bool loseData = false);
    /// SIGTERM, and SIGKILL at the end of the grace period; starts again after `back`.
    void stop(std::chrono::milliseconds grace, std::chrono::milliseconds back);
    /// SIGSTOP, and SIGCONT after the duration.
    void freeze(std::chrono::milliseconds duration);

    const std::vector<PlannedStop> &plannedStops() const { return m_plannedStops; }
    /// Number of times that the process ended without a signal of the soak.
    int unplannedEnds() const { return m_unplannedEnds; }

private:
    void handleEnd();

    NodeCommand m_command;
    std::function<RunTime()> m_clock;
    QProcess m_process;
    QTimer m_graceTimer;
    std::vector<PlannedStop> m_plannedStops;
    std::chrono::milliseconds m_back { 0 };
    bool m_endExpected = false;
    bool m_loseData = false;
    int m_unplannedEnds = 0;
};

} // namespace shallotlever::soak
