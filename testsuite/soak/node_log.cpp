#include "node_log.h"

#include <QFile>
#include <QJsonDocument>
#include <QJsonObject>

namespace shallotlever::soak {

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
