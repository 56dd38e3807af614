#include "shallotlever/load/load.h"

#include <iostream>
#include <optional>

#include <QCoreApplication>
#include <QFile>
#include <QJsonDocument>
#include <docopt/docopt.h>

#include "report.h"

namespace shallotlever {

namespace {

using namespace load;

constexpr const char *kUsage = R"(Sends a workload to the nodes and checks the answers.

Usage:
  shallotlever load --workload=FILE --keys=FILE --nodes=PORTS [options]
  shallotlever load --compare A B [options]

Options:
  --workload=FILE     Workload, JSON.
  --keys=FILE         JSON object from team id to key; team "verifier" reads the tables back.
  --nodes=PORTS       Ports of the nodes on 127.0.0.1, separated by commas.
  --duration=SECONDS  Time during which requests start [default: 10].
  --seed=N            Replaces the seed of the workload.
  --connections=N     Connections per node [default: 64].
  --move=SECONDS      Each team sends to one node, which changes after this time [default: 0].
  --flood=TEAM:X:S    The team sends X times its rate from second S on.
  --report=FILE       Report, JSON; standard output if not given.
  --svg=FILE          Plot over time.
  --compare           Prints two reports side by side.
)";

using Arguments = std::map<std::string, docopt::value>;

constexpr int kUnusable = 2;
constexpr double kMaxDurationSeconds = 3600;

std::optional<QByteArray> readFile(const std::string &name)
{
    QFile file(QString::fromStdString(name));
    if (!file.open(QIODevice::ReadOnly)) {
        std::cerr << "cannot read " << name << "\n";
        return std::nullopt;
    }
    return file.readAll();
}

bool writeFile(const std::string &name, const QByteArray &content)
{
    QFile file(QString::fromStdString(name));
    if (file.open(QIODevice::WriteOnly) && file.write(content) == content.size())
        return true;
    std::cerr << "cannot write " << name << "\n";
    return false;
}

bool writeSvg(const Arguments &arguments, const std::string &svg)
{
    const docopt::value &name = arguments.at("--svg");
    return !name || writeFile(name.asString(), QByteArray::fromStdString(svg));
}

int compareReports(const Arguments &arguments)
{
    const auto a = readFile(arguments.at("A").asString());
    const auto b = readFile(arguments.at("B").asString());
    if (!a || !b)
        return kUnusable;
    const QJsonObject first = QJsonDocument::fromJson(*a).object();
    const QJsonObject second = QJsonDocument::fromJson(*b).object();
    std::cout << compareText(first, second);
    return writeSvg(arguments, compareSvg(first, second)) ? 0 : kUnusable;
}

/// TEAM:MULTIPLE:SECONDS; false if it cannot be applied.
bool applyFlood(const std::string &flood, Workload &workload)
{
    const QStringList parts = QString::fromStdString(flood).split(':');
    if (parts.size() != 3)
        return false;
    bool numbers = false;
    const double multiple = parts[1].toDouble(&numbers);
    bool time = false;
    const double from = parts[2].toDouble(&time);
    if (!numbers || !time || multiple < 0 || from <= 0)
        return false;
    for (TeamLoad &team : workload.teams) {
        if (team.id != parts[0].toStdString())
            continue;
        std::erase_if(team.phases,
                      [from](const Phase &phase) { return phase.fromSeconds >= from; });
        team.phases.push_back({ from, multiple });
        return true;
    }
    return false;
}

RunOptions runOptions(const Arguments &arguments)
{
    RunOptions options;
    for (const QString &port :
         QString::fromStdString(arguments.at("--nodes").asString()).split(','))
        options.ports.push_back(port.toUShort());
    options.connectionsPerNode = static_cast<int>(arguments.at("--connections").asLong());
    options.durationSeconds = std::stod(arguments.at("--duration").asString());
    options.moveSeconds = std::stod(arguments.at("--move").asString());
    if (options.durationSeconds <= 0 || options.durationSeconds > kMaxDurationSeconds
        || options.connectionsPerNode < 1
        || std::count(options.ports.begin(), options.ports.end(), 0) > 0)
        throw std::invalid_argument("duration, connections or ports out of range");
    return options;
}

absl::StatusOr<Workload> loadWorkload(const Arguments &arguments)
{
    const auto file = readFile(arguments.at("--workload").asString());
    if (!file)
        return absl::NotFoundError("no workload");
    absl::StatusOr<Workload> workload = parseWorkload(*file);
    if (!workload.ok())
        return workload;
    if (const docopt::value &seed = arguments.at("--seed"))
        workload->seed = static_cast<std::uint64_t>(seed.asLong());
    if (const docopt::value &flood = arguments.at("--flood");
        flood && !applyFlood(flood.asString(), *workload))
        return absl::InvalidArgumentError("--flood: expected TEAM:MULTIPLE:SECONDS");
    return workload;
}

int writeReport(const Arguments &arguments, const QJsonObject &report)
{
    const QByteArray json = QJsonDocument(report).toJson();
    const docopt::value &name = arguments.at("--report");
    if (name && !writeFile(name.asString(), json))
        return kUnusable;
    if (!name)
        std::cout << json.toStdString();
    if (!writeSvg(arguments, plotSvg(report)))
        return kUnusable;
    const bool clean = report["violations"]["total"].toInteger() == 0
        && report["tables_not_read_back"].toArray().isEmpty();
    return clean ? 0 : 1;
}

int runWorkload(const Arguments &arguments)
{
    absl::StatusOr<Workload> workload = loadWorkload(arguments);
    const auto keyFile = readFile(arguments.at("--keys").asString());
    if (!workload.ok() || !keyFile) {
        std::cerr << workload.status().message() << "\n";
        return kUnusable;
    }
    absl::StatusOr<std::map<std::string, std::string>> keys = parseKeys(*keyFile);
    if (!keys.ok()) {
        std::cerr << keys.status().message() << "\n";
        return kUnusable;
    }
    Runner runner(*std::move(workload), *std::move(keys), runOptions(arguments));
    runner.start([] { QCoreApplication::quit(); });
    QCoreApplication::exec();
    return writeReport(arguments, reportOf(runner));
}

} // namespace

int runLoad(const std::vector<std::string> &arguments)
{
    std::vector<std::string> words { "load" };
    words.insert(words.end(), arguments.begin(), arguments.end());
    try {
        const Arguments parsed = docopt::docopt_parse(kUsage, words);
        return parsed.at("--compare").asBool() ? compareReports(parsed) : runWorkload(parsed);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << kUsage;
        return 0;
    } catch (const std::exception &error) {
        std::cerr << error.what() << "\n" << kUsage;
        return kUnusable;
    }
}

} // namespace shallotlever
