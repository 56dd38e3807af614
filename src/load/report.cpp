#include "report.h"

#include <algorithm>

#include <QJsonArray>

namespace shallotlever::load {

namespace {

QString text(std::string_view value)
{
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

QJsonObject kindObject(const KindStatistics &kind)
{
    QJsonObject refused;
    for (const auto &[name, count] : kind.refused)
        refused[text(name)] = qint64(count);
    return { { "asked", qint64(kind.asked) },
             { "answered", qint64(kind.answered) },
             { "refused", refused },
             { "by_replica", qint64(kind.byReplica) },
             { "degraded", qint64(kind.degraded) },
             { "repeated", qint64(kind.repeated) },
             { "p50_ms", kind.latency.quantile(0.5) },
             { "p99_ms", kind.latency.quantile(0.99) },
             { "p999_ms", kind.latency.quantile(0.999) } };
}

QJsonObject teamObject(const TeamStatistics &team)
{
    QJsonObject kinds;
    for (const auto &[kind, statistics] : team.kinds)
        kinds[text(kindName(kind))] = kindObject(statistics);
    return { { "kinds", kinds },
             { "sent", qint64(team.sent) },
             { "sent_inside_rate", qint64(team.sentInsideRate) },
             { "answered_sends", qint64(team.answeredSends) },
             { "refused_inside_rate", qint64(team.refusedInError()) },
             { "served", team.served() } };
}

QJsonArray seriesArray(const std::vector<Bucket> &series)
{
    QJsonArray result;
    for (const Bucket &bucket : series) {
        QJsonObject answered;
        for (const auto &[kind, count] : bucket.answered)
            answered[text(kindName(kind))] = qint64(count);
        const double count = static_cast<double>(std::max<std::uint64_t>(bucket.latencyCount, 1));
        result.append(QJsonObject { { "answered", answered },
                                    { "refused", qint64(bucket.refused) },
                                    { "mean_ms", bucket.latencySumMs / count },
                                    { "max_ms", bucket.latencyMaxMs } });
    }
    return result;
}

QJsonObject gapObject(const std::map<std::string, GapMeter> &gaps)
{
    QJsonObject result;
    for (const auto &[service, gap] : gaps)
        result[text(service)] =
            QJsonObject { { "longest_ms", gap.longestMs() }, { "from_s", gap.startSeconds() } };
    return result;
}

QJsonObject violationObject(const Checker &checker)
{
    QJsonObject counts;
    for (const auto &[kind, count] : checker.counts())
        counts[text(violationName(kind))] = qint64(count);
    QJsonArray listed;
    for (const Violation &violation : checker.listed())
        listed.append(QJsonObject { { "kind", text(violationName(violation.kind)) },
                                    { "detail", text(violation.detail) } });
    return { { "total", qint64(checker.total()) }, { "counts", counts }, { "listed", listed } };
}

QJsonObject writeObject(const Checker &checker)
{
    return { { "acknowledged", qint64(checker.count(WriteState::Acknowledged)) },
             { "not_run", qint64(checker.count(WriteState::NotRun)) },
             { "unknown", qint64(checker.count(WriteState::Unknown)) } };
}

/// Sums over the teams that the targets are stated for.
QJsonObject summaryObject(const Statistics &statistics)
{
    std::map<Kind, KindStatistics> totals;
    std::uint64_t inside = 0;
    std::uint64_t refusedInside = 0;
    std::uint64_t lost = 0;
    QString worstTeam;
    double worst = 2;
    for (const auto &[id, team] : statistics.teams) {
        for (const auto &[kind, part] : team.kinds) {
            totals[kind].answered += part.answered;
            totals[kind].byReplica += part.byReplica;
            const auto found = part.refused.find("connection_lost");
            lost += found == part.refused.end() ? 0 : found->second;
        }
        inside += team.sentInsideRate;
        refusedInside += team.refusedInError();
        if (team.sent > 0 && team.served() < worst) {
            worst = team.served();
            worstTeam = text(id);
        }
    }
    const auto replicaShare = [&totals](Kind kind) {
        return share(totals[kind].byReplica, totals[kind].answered);
    };
    return { { "stale_reads_by_replica", replicaShare(Kind::StaleRead) },
             { "own_reads_by_replica", replicaShare(Kind::OwnRead) },
             { "boards_by_replica", replicaShare(Kind::Board) },
             { "sent_inside_rate", qint64(inside) },
             { "refused_inside_rate", qint64(refusedInside) },
             { "refused_inside_rate_share", share(refusedInside, inside) },
             { "connections_lost", qint64(lost) },
             { "worst_team", worstTeam },
             { "worst_team_served", worst } };
}

} // namespace

QJsonObject reportOf(const Runner &runner)
{
    QJsonObject teams;
    for (const auto &[id, team] : runner.statistics().teams)
        teams[text(id)] = teamObject(team);
    QJsonArray unread;
    for (const std::string &service : runner.unread())
        unread.append(text(service));
    return { { "workload", text(runner.workload().name) },
             { "seed", qint64(runner.workload().seed) },
             { "duration_s", runner.durationSeconds() },
             { "bucket_ms", kBucketMs },
             { "summary", summaryObject(runner.statistics()) },
             { "teams", teams },
             { "write_gaps", gapObject(runner.statistics().writeGaps) },
             { "read_gaps", gapObject(runner.statistics().readGaps) },
             { "writes", writeObject(runner.checker()) },
             { "blank_boards", qint64(runner.checker().blankBoards()) },
             { "violations", violationObject(runner.checker()) },
             { "tables_not_read_back", unread },
             { "series", seriesArray(runner.statistics().series) } };
}

} // namespace shallotlever::load
