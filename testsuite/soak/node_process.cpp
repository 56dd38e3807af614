#include "node_process.h"

#include <csignal>
#include <sys/prctl.h>

#include <QDir>

namespace shallotlever::soak {

namespace {

constexpr std::chrono::milliseconds kBackAfterUnplannedEnd { 300 };

} // namespace

NodeProcess::NodeProcess(NodeCommand command, std::function<RunTime()> clock)
    : m_command(std::move(command))
    , m_clock(std::move(clock))
{
    const QString log = QString::fromStdString(m_command.logFile);
    m_process.setProcessChannelMode(QProcess::MergedChannels);
    m_process.setStandardOutputFile(log, QIODevice::Append);
    // The nodes must not outlive a soak that crashes.
    m_process.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
    QObject::connect(&m_process, &QProcess::finished, &m_process, [this] { handleEnd(); });
    m_graceTimer.setSingleShot(true);
    QObject::connect(&m_graceTimer, &QTimer::timeout, &m_graceTimer, [this] {
        m_plannedStops.back().killedAfterGrace = true;
        m_process.kill();
    });
}

NodeProcess::~NodeProcess()
{
    m_process.disconnect();
    m_process.kill();
    m_process.waitForFinished();
}

void NodeProcess::start(bool mayFound)
{
    m_endExpected = false;
    if (!m_command.dataDirectory.empty())
        QDir().mkpath(QString::fromStdString(m_command.dataDirectory));
    QProcessEnvironment environment = QProcessEnvironment::systemEnvironment();
    environment.insert("SHALLOTLEVER_MAY_FOUND", mayFound ? "true" : "false");
    m_process.setProcessEnvironment(environment);
    QStringList arguments;
    for (const std::string &argument : m_command.arguments)
        arguments.append(QString::fromStdString(argument));
    m_process.start(QString::fromStdString(m_command.program), arguments);
}

void NodeProcess::kill(std::chrono::milliseconds back, bool loseData)
{
    m_endExpected = true;
    m_back = back;
    m_loseData = loseData;
    m_graceTimer.stop();
    m_process.kill();
}

void NodeProcess::stop(std::chrono::milliseconds grace, std::chrono::milliseconds back)
{
    m_endExpected = true;
    m_back = back;
    m_plannedStops.push_back({ m_command.host, m_clock(), std::nullopt, false });
    m_process.terminate();
    m_graceTimer.start(grace);
}

void NodeProcess::freeze(std::chrono::milliseconds duration)
{
    const auto id = static_cast<pid_t>(m_process.processId());
    if (id <= 0)
        return;
    ::kill(id, SIGSTOP);
    QTimer::singleShot(duration, &m_process, [this, id] {
        if (m_process.processId() == id)
            ::kill(id, SIGCONT);
    });
}

void NodeProcess::handleEnd()
{
    m_graceTimer.stop();
    if (!m_endExpected) {
        ++m_unplannedEnds;
        m_back = kBackAfterUnplannedEnd;
    }
    if (!m_plannedStops.empty() && !m_plannedStops.back().endedAt)
        m_plannedStops.back().endedAt = m_clock();
    if (std::exchange(m_loseData, false) && !m_command.dataDirectory.empty())
        QDir(QString::fromStdString(m_command.dataDirectory)).removeRecursively();
    QTimer::singleShot(m_back, &m_process, [this] {
        if (m_process.state() == QProcess::NotRunning)
            start(false);
    });
}

} // namespace shallotlever::soak
