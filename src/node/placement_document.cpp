#include "placement_document.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace shallotlever {

namespace {

template <typename Tag>
QString text(const Id<Tag> &id)
{
    return QString::fromStdString(id.value());
}

QString text(std::string_view value)
{
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

QString positionName(PositionReached reached)
{
    switch (reached) {
    case PositionReached::NotAsked:
        return QStringLiteral("not_asked");
    case PositionReached::Yes:
        return QStringLiteral("reached");
    case PositionReached::No:
        return QStringLiteral("behind");
    case PositionReached::Unknown:
        break;
    }
    return QStringLiteral("unknown");
}

QJsonObject candidateObject(const ExplainedDatabase &database)
{
    const PlacementCandidate &candidate = database.candidate;
    const LoadFigure &figure = candidate.figure;
    return {
        { "upstream", text(candidate.id) },
        { "owner", database.owner ? QJsonValue(text(*database.owner)) : QJsonValue() },
        { "role", database.primary ? "primary" : "replica" },
        { "left_out", text(leftOutName(candidate.leftOut)) },
        { "share", candidate.share },
        { "outstanding", figure.outstanding },
        { "mean_outstanding", figure.meanOutstanding },
        { "sent_since", figure.sentSince },
        { "pending", figure.pending },
        { "estimated_outstanding", estimatedOutstanding(figure) },
        { "age_ms", milliseconds(figure.age) },
        { "parallel", figure.parallel },
        { "service_ms", milliseconds(figure.serviceTime) },
        { "reach_ms", milliseconds(figure.reachTime) },
        { "wait_ms", milliseconds(estimatedWait(figure)) },
        { "position", positionName(database.position) },
    };
}

} // namespace

std::string placementDocument(const NodeId &node, const ExplainPlacementRequest &request,
                              const PlacementExplanation &explanation)
{
    QJsonArray candidates;
    for (const ExplainedDatabase &database : explanation.databases)
        candidates.append(candidateObject(database));
    QJsonObject document {
        { "node", text(node) },
        { "team", text(request.team) },
        { "database", text(request.database) },
        { "mode", request.mode == AccessMode::Write ? "write" : "read" },
        { "primary_only", explanation.primaryOnly },
        { "admitted", !explanation.refusal },
        { "refusal",
          explanation.refusal ? QJsonValue(text(errorRow(*explanation.refusal).name))
                              : QJsonValue() },
        { "token_wait_ms", milliseconds(explanation.tokenWait) },
        { "deadline_ms", milliseconds(explanation.deadline) },
        { "chosen", QJsonValue() },
        { "candidates", candidates },
    };
    if (explanation.chosen)
        document["chosen"] = text(explanation.databases[*explanation.chosen].candidate.id);
    return QJsonDocument(document).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace shallotlever
