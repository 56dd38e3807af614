// Starts a deployment, runs a workload on it, injects one event and writes one report.

#include <cstdio>
#include <functional>
#include <iostream>
#include <map>

#include <docopt/docopt.h>
#include <sys/prctl.h>

#include <QElapsedTimer>
#include <QFile>
#include <QJsonDocument>
#include <QProcess>

#include <csignal>

#include "deployment.h"
#include "event_loop.h"

namespace shallotlever::experiment {
namespace {

constexpr const char *kUsage = R"(Runs one experiment on stand-in databases and local nodes.

Usage:
  run_experiment --workload=FILE --event=EVENT --report=FILE [options]

Options:
  --workload=FILE     Workload with a section "deployment".
  --event=EVENT       none, kill_primary, freeze_replica, freeze_primary, flood, move,
                      restart_nodes, withdraw, kill_controller.
  --report=FILE       Report, JSON; logs and metrics go to FILE.log and FILE.metrics.
  --svg=FILE          Plot.
  --duration=SECONDS  Length of the load [default: 12].
  --at=SECONDS        Time of the event [default: 4].
  --rate-wait-ms=MS   Longest wait for a rate token, in place of the preset's default.
)";

using Arguments = std::map<std::string, docopt::value>;

constexpr double kReadBackPatienceSeconds = 60;
constexpr const char *kFloodMultiple = "5";
constexpr const char *kMoveSeconds = "2";

QJsonObject readObject(const std::string &name)
{
    QFile file(QString::fromStdString(name));
    if (!file.open(QIODevice::ReadOnly))
        throw std::runtime_error("cannot read " + name);
    return QJsonDocument::fromJson(file.readAll()).object();
}

void writeText(const std::string &name, const QByteArray &text)
{
    QFile file(QString::fromStdString(name));
    if (!file.open(QIODevice::WriteOnly) || file.write(text) != text.size())
        throw std::runtime_error("cannot write " + name);
}

using Event = std::function<QJsonObject(Deployment &, const std::string &service)>;

QJsonObject restartNodes(Deployment &deployment, const std::string &)
{
    QJsonArray statuses;
    for (std::size_t i = 0; i < deployment.nodeCount(); ++i)
        statuses.append(deployment.restartNode(i));
    return { { "exit_statuses", statuses } };
}

QJsonObject withdraw(Deployment &deployment, const std::string &)
{
    const QJsonObject team { { "id", "probe" }, { "rate_per_second", 999 }, { "burst", 500 } };
    const double change = deployment.change({ { "op", "put_team" }, { "team", team } });
    return { { "change_in_force_ms", change },
             { "withdrawal_in_force_ms", deployment.withdrawProbe() } };
}

/// Events that the load tool makes itself have no action here.
const std::map<std::string, Event> &events()
{
    static const Event kNothing = [](Deployment &, const std::string &) { return QJsonObject(); };
    static const std::map<std::string, Event> all {
        { "none", kNothing },
        { "flood", kNothing },
        { "move", kNothing },
        { "restart_nodes", restartNodes },
        { "withdraw", withdraw },
        { "kill_primary",
          [](Deployment &deployment, const std::string &service) {
              support::StandinDb &database = deployment.primaryOf(service);
              database.kill();
              return QJsonObject { { "killed", QString::fromStdString(database.id()) } };
          } },
        { "freeze_replica",
          [](Deployment &deployment, const std::string &service) {
              support::StandinDb &database = deployment.replicaOf(service);
              database.command("freeze");
              return QJsonObject { { "frozen", QString::fromStdString(database.id()) } };
          } },
        { "freeze_primary",
          [](Deployment &deployment, const std::string &service) {
              support::StandinDb &database = deployment.primaryOf(service);
              database.command("freeze");
              return QJsonObject { { "frozen", QString::fromStdString(database.id()) } };
          } },
        { "kill_controller",
          [](Deployment &deployment, const std::string &) {
              const std::string leader = deployment.leader();
              deployment.killNode(deployment.nodeIndex(leader));
              return QJsonObject { { "killed", QString::fromStdString(leader) } };
          } },
    };
    return all;
}

QStringList loadArguments(const Arguments &arguments, const Deployment &deployment,
                          const QJsonObject &workload)
{
    const auto text = [&arguments](const char *name) { return arguments.at(name).asString(); };
    const std::string event = text("--event");
    std::vector<std::string> list { "--workload=" + text("--workload"),
                                    "--keys=" + deployment.keysFile(),
                                    "--nodes=" + deployment.portList(),
                                    "--duration=" + text("--duration"),
                                    "--report=" + text("--report") };
    if (arguments.at("--svg"))
        list.push_back("--svg=" + text("--svg"));
    if (event == "move")
        list.push_back(std::string("--move=") + kMoveSeconds);
    if (event == "flood")
        list.push_back("--flood=" + workload["teams"][0]["id"].toString().toStdString() + ":"
                       + kFloodMultiple + ":" + text("--at"));
    QStringList result;
    for (const std::string &argument : list)
        result.append(QString::fromStdString(argument));
    return result;
}

void setRateWait(Deployment &deployment, int milliseconds)
{
    const QJsonObject policy { { "rate_wait_ms", milliseconds } };
    const QJsonObject preset { { "id", "ordinary" }, { "policy", policy } };
    deployment.change({ { "op", "put_preset" }, { "preset", preset } });
}

/// The log lines `primary_changed` of the nodes.
QJsonArray primaryChanges(const std::string &log)
{
    QJsonArray changes;
    QFile file(QString::fromStdString(log));
    if (!file.open(QIODevice::ReadOnly))
        return changes;
    while (!file.atEnd()) {
        const QByteArray line = file.readLine();
        if (line.contains("\"primary_changed\""))
            changes.append(QJsonDocument::fromJson(line).object());
    }
    return changes;
}

/// Answers a second in a part of the run.
double answeredPerSecond(const QJsonObject &report, double from, double to)
{
    const double perSecond = 1000 / report["bucket_ms"].toDouble(100);
    const QJsonArray series = report["series"].toArray();
    double count = 0;
    for (qsizetype i = 0; i < series.size(); ++i) {
        const double time = static_cast<double>(i) / perSecond;
        if (time < from || time >= to)
            continue;
        for (const QJsonValue &kind : series[i].toObject()["answered"].toObject())
            count += kind.toDouble();
    }
    return count / (to - from);
}

/// Throughput before the event and from three seconds after it, the time the target allows.
QJsonObject throughput(const QJsonObject &report, double at, double duration)
{
    constexpr double kWarmUpSeconds = 1;
    constexpr double kAllowedSeconds = 3;
    const double before = answeredPerSecond(report, kWarmUpSeconds, at);
    const double after = answeredPerSecond(report, at + kAllowedSeconds, duration);
    return { { "before_per_s", before }, { "after_per_s", after }, { "share", after / before } };
}

int runExperiment(const Arguments &arguments)
{
    const std::string reportFile = arguments.at("--report").asString();
    const std::string logFile = reportFile + ".log";
    const auto event = events().find(arguments.at("--event").asString());
    const double at = std::stod(arguments.at("--at").asString());
    const double duration = std::stod(arguments.at("--duration").asString());
    if (event == events().end())
        throw std::runtime_error("unknown event");
    // The child processes inherit standard error, so their logs are kept for the analysis.
    if (std::freopen(logFile.c_str(), "w", stderr) == nullptr)
        throw std::runtime_error("cannot write " + logFile);
    support::ensureApplication();
    const QJsonObject workload = readObject(arguments.at("--workload").asString());
    Deployment deployment(workload);
    if (const docopt::value &wait = arguments.at("--rate-wait-ms"))
        setRateWait(deployment, static_cast<int>(wait.asLong()));
    QProcess load;
    load.setProcessChannelMode(QProcess::ForwardedChannels);
    load.setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
    load.start(LOAD_PROGRAM,
               QStringList { QStringLiteral("load") }
                   + loadArguments(arguments, deployment, workload));
    QElapsedTimer clock;
    clock.start();
    const auto ended = [&load] { return load.state() == QProcess::NotRunning; };
    waitFor(at, ended);
    const double eventAt = static_cast<double>(clock.elapsed()) / 1000;
    const QJsonObject details =
        event->second(deployment, workload["services"][0].toString().toStdString());
    if (!waitFor(duration + kReadBackPatienceSeconds, ended)) {
        load.kill();
        load.waitForFinished();
    }
    QJsonObject report = readObject(reportFile);
    report["experiment"] = QJsonObject { { "event", QString::fromStdString(event->first) },
                                         { "at_s", eventAt },
                                         { "details", details },
                                         { "load_exit_status", load.exitCode() },
                                         { "throughput", throughput(report, eventAt, duration) },
                                         { "primary_changes", primaryChanges(logFile) } };
    writeText(reportFile, QJsonDocument(report).toJson());
    writeText(reportFile + ".metrics", QByteArray::fromStdString(deployment.metrics()));
    return load.exitCode();
}

} // namespace
} // namespace shallotlever::experiment

int main(int argc, char **argv)
{
    using namespace shallotlever::experiment;
    const Arguments arguments = docopt::docopt(kUsage, { argv + 1, argv + argc });
    try {
        return runExperiment(arguments);
    } catch (const std::exception &error) {
        std::cout << "experiment failed: " << error.what() << "\n";
        return 3;
    }
}
