#pragma once

#include <QJsonObject>
#include <QProcess>
#include <cstdint>
#include <string>
#include <vector>

namespace shallotlever::support {

/// A child process that prints one JSON line when it is ready. Killed and reaped on destruction.
class Program
{
public:
    /// Starts the program and waits for its ready line; throws std::runtime_error.
    /// Standard error is appended to `log`, or forwarded if it is empty.
    Program(const std::string &path, const std::vector<std::string> &arguments,
            const std::string &log = {});
    ~Program();
    Program(const Program &) = delete;
    Program &operator=(const Program &) = delete;

    const QJsonObject &ready() const { return m_ready; }
    std::uint16_t port(const char *field) const;
    std::int64_t processId() const { return m_process.processId(); }

    /// SIGKILL; returns after the process is reaped.
    void kill();
    /// SIGTERM; returns the exit status, or -1 if the process did not exit normally.
    int terminate();
    /// SIGTERM without waiting.
    void stop() { m_process.terminate(); }
    /// Waits for the end of a program that was told to stop; status as of terminate().
    int terminated();
    /// SIGSTOP and SIGCONT.
    void freeze() const;
    void thaw() const;

private:
    QProcess m_process;
    QJsonObject m_ready;
};

} // namespace shallotlever::support
