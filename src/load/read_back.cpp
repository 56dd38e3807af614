#include <QJsonDocument>

#include "runner.h"
#include "runner_impl.h"

/// Reads the tables back through the system after the load has ended.
namespace shallotlever::load {

namespace {

constexpr int kPageRows = 2000;
constexpr int kMaxReadBackAttempts = 20;
constexpr std::chrono::milliseconds kReadBackPause { 500 };
constexpr std::chrono::milliseconds kReadBackTimeout { 8000 };
constexpr const char *kReadBackDeadlineMs = "6000";
/// Team whose key reads the tables back, so that no team's rate is used up.
constexpr const char *kVerifierTeam = "verifier";

} // namespace

HttpRequest Runner::verifierRequest(const std::string &service, const QJsonObject &body) const
{
    HttpRequest request;
    request.path = QByteArray::fromStdString("/v1/services/" + service + "/statements");
    request.body = QJsonDocument(body).toJson(QJsonDocument::Compact);
    request.timeout = kReadBackTimeout;
    const auto key = m_keys.find(kVerifierTeam);
    const std::string text = key == m_keys.end() ? std::string() : key->second;
    request.headers = { { "Authorization", "Bearer " + QByteArray::fromStdString(text) },
                        { "Content-Type", "application/json" },
                        { "Shallotlever-Deadline-Ms", kReadBackDeadlineMs } };
    return request;
}

void Runner::readBack()
{
    readBackService(0, 1);
}

void Runner::readBackFailed(std::size_t index, int attempt)
{
    if (attempt >= kMaxReadBackAttempts) {
        m_unread.push_back(m_workload.services[index]);
        readBackService(index + 1, 1);
        return;
    }
    QTimer::singleShot(kReadBackPause, this,
                       [this, index, attempt] { readBackService(index, attempt + 1); });
}

void Runner::readBackService(std::size_t index, int attempt)
{
    if (index >= m_workload.services.size()) {
        m_done();
        return;
    }
    // The token of a write makes the reads after it see everything acknowledged before.
    const QJsonObject body {
        { "sql",
          QStringLiteral("DELETE FROM %1 WHERE id = 'read-back'").arg(QLatin1String(kLoadTable)) },
        { "mode", "write" }
    };
    const HttpRequest request = verifierRequest(m_workload.services[index], body);
    m_nodes.send(m_nodes.readyAtRandom(m_random), request, [=, this](const HttpReply &reply) {
        const QJsonObject answer = QJsonDocument::fromJson(reply.body).object();
        if (reply.status != 200) {
            readBackFailed(index, attempt);
            return;
        }
        readBackPage(index, attempt, answer["session"].toString().toUtf8(),
                     std::make_shared<TableContent>(), {});
    });
}

void Runner::readBackPage(std::size_t index, int attempt, const QByteArray &token,
                          const std::shared_ptr<TableContent> &content, const QString &after)
{
    const QJsonObject body { { "sql",
                               QStringLiteral("SELECT id, count(*) FROM %1 WHERE id > $1 "
                                              "GROUP BY id ORDER BY id LIMIT %2")
                                   .arg(QLatin1String(kLoadTable))
                                   .arg(kPageRows) },
                             { "params", QJsonArray { after } },
                             { "mode", "read" } };
    HttpRequest request = verifierRequest(m_workload.services[index], body);
    request.headers.append({ "Shallotlever-Session", token });
    m_nodes.send(m_nodes.readyAtRandom(m_random), request, [=, this](const HttpReply &reply) {
        if (reply.status != 200) {
            readBackFailed(index, attempt);
            return;
        }
        const QJsonArray rows = QJsonDocument::fromJson(reply.body)["rows"].toArray();
        for (const QJsonValue &row : rows)
            (*content)[row[0].toString().toStdString()] = row[1].toString().toULongLong();
        if (rows.size() == kPageRows) {
            readBackPage(index, attempt, token, content, rows.last()[0].toString());
            return;
        }
        m_checker.checkTable(m_workload.services[index], *content);
        readBackService(index + 1, 1);
    });
}

} // namespace shallotlever::load
