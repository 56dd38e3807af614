#include "program.h"

#include <sys/prctl.h>

#include <QDeadlineTimer>
#include <QJsonDocument>
#include <QStringList>
#include <csignal>
#include <stdexcept>

#include "event_loop.h"

namespace shallotlever::support {

namespace {

constexpr int kWaitLimitMs = std::chrono::milliseconds(kWaitLimit).count();

} // namespace

Program::Program(const std::string &path, const std::vector<std::string> &arguments,
                 const std::string &log)
{
    ensureApplication();
    QStringList list;
    for (const std::string &argument : arguments)
        list.append(QString::fromStdString(argument));
    if (log.empty())
        m_process.setProcessChannelMode(QProcess::ForwardedErrorChannel);
    else
        m_process.setStandardErrorFile(QString::fromStdString(log), QIODevice::Append);
    // A test that crashes must not leave processes behind, which would also hold its output open.
    m_process.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
    m_process.start(QString::fromStdString(path), list);
    const QDeadlineTimer deadline(kWaitLimit);
    while (!m_process.canReadLine()) {
        if (deadline.hasExpired() || !m_process.waitForReadyRead(kWaitLimitMs))
            throw std::runtime_error("no ready line from " + path);
    }
    m_ready = QJsonDocument::fromJson(m_process.readLine()).object();
}

Program::~Program()
{
    kill();
}

std::uint16_t Program::port(const char *field) const
{
    return static_cast<std::uint16_t>(m_ready[QLatin1String(field)].toInt());
}

void Program::kill()
{
    if (m_process.state() == QProcess::NotRunning)
        return;
    m_process.kill();
    m_process.waitForFinished(kWaitLimitMs);
}

int Program::terminate()
{
    m_process.terminate();
    return terminated();
}

int Program::terminated()
{
    // The event loop runs meanwhile: the program may talk to a server inside the test.
    const bool ended = spinUntil([this] { return m_process.state() == QProcess::NotRunning; });
    return ended && m_process.exitStatus() == QProcess::NormalExit ? m_process.exitCode() : -1;
}

void Program::freeze() const
{
    ::kill(static_cast<pid_t>(processId()), SIGSTOP);
}

void Program::thaw() const
{
    ::kill(static_cast<pid_t>(processId()), SIGCONT);
}

} // namespace shallotlever::support
