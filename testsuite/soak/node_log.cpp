#include "node_log.h"

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>

namespace shallotlever::soak {

namespace {

bool isStall(const QString &event)
{
    return event == "control_thread_delayed" || event == "control_write_delayed";
}

bool isControlEvent(const QString &event)
{
    return event == "controller_elected" || event == "controller_stepped_down"
        || event == "lease_lost";
}

} // namespace

NodeLog readNodeLog(const std::string &node, const std::string &logFile, const QDateTime &startedAt)
{
    NodeLog log;
    QFile file(QString::fromStdString(logFile));
    if (!file.open(QIODevice::ReadOnly))
        return log;
    while (!file.atEnd()) {
        const QJsonObject line = QJsonDocument::fromJson(file.readLine()).object();
        const QString event = line["event"].toString();
        const QDateTime time = QDateTime::fromString(line["ts"].toString(), Qt::ISODateWithMs);
        const RunTime at(startedAt.msecsTo(time));
        if (isStall(event))
            log.stalls.push_back(
                { node, event.toStdString(), at, RunTime(line["delay_ms"].toInteger()) });
        else if (isControlEvent(event))
            log.controlEvents.push_back({ event.toStdString(), at });
        else if (event == "sessions_closed")
            log.closedSessions.push_back({ line["unread"].toInt(), line["unanswered"].toInt() });
        else if (event == "statement_unanswered")
            log.unansweredStatements.insert(line["request"].toString().toStdString());
    }
    return log;
}

std::uint64_t controlTermOf(const std::string &logFile)
{
    QFile file(QString::fromStdString(logFile));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    std::uint64_t term = 0;
    while (!file.atEnd()) {
        const QByteArray line = file.readLine();
        if (line.contains("controller_stepped_down"))
            term = 0;
        else if (line.contains("controller_elected"))
            term = static_cast<std::uint64_t>(
                QJsonDocument::fromJson(line).object()["control_term"].toInteger());
    }
    return term;
}

} // namespace shallotlever::soak
