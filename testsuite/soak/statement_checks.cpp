#include "statement_checks.h"

#include <algorithm>
#include <map>

#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include "statement_judge.h"

namespace shallotlever::soak {

namespace {

/// Of each rule.
constexpr std::size_t kDescribedStatements = 20;

/// Callers have ended, so that nothing is added meanwhile.
reference::StatementJudge judgeRuns(const Deployment &deployment)
{
    reference::StatementJudge judge;
    for (const reference::AskedStatement &asked : deployment.records().asked)
        judge.noteAsked(asked);
    for (const auto &[service, group] : deployment.groups()) {
        group->call([&](const DatabaseGroup &databases) {
            for (const reference::RunStatement &run : databases.runs())
                judge.noteRun(run);
        });
    }
    return judge;
}

} // namespace

std::vector<Finding> judgeStatements(const Deployment &deployment)
{
    const reference::StatementJudge judge = judgeRuns(deployment);
    const std::string judged =
        fmt::format(R"("judged":{},"executions":{})", judge.judged(), judge.judgedExecutions());
    const int unknown = deployment.records().unknownStatements;
    std::string figures = fmt::format(R"({},"unknown":{})", judged, unknown);
    for (const reference::StatementRule rule : reference::kStatementRules) {
        const auto broken = std::count_if(judge.broken().begin(), judge.broken().end(),
                                          [&](const auto &entry) { return entry.rule == rule; });
        figures += fmt::format(R"(,"{}":{})", reference::ruleName(rule), broken);
    }
    return { { "statements", unknown > 0 || !judge.broken().empty(), figures },
             { "judged", judge.judged() == 0 || judge.judgedExecutions() == 0, judged } };
}

std::vector<std::string> describeStatements(const Deployment &deployment)
{
    const reference::StatementJudge judge = judgeRuns(deployment);
    std::vector<std::string> lines;
    std::map<reference::StatementRule, std::size_t> described;
    for (const reference::BrokenRule &broken : judge.broken()) {
        if (++described[broken.rule] > kDescribedStatements)
            continue;
        const QJsonObject line {
            { "statement", QString::fromStdString(broken.id) },
            { "broken", QString::fromStdString(std::string(reference::ruleName(broken.rule))) },
            { "details", QString::fromStdString(broken.details) }
        };
        lines.push_back(QJsonDocument(line).toJson(QJsonDocument::Compact).toStdString());
    }
    return lines;
}

} // namespace shallotlever::soak
