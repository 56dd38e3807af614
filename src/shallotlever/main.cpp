// The program for operators and experiments.

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <QCoreApplication>

#include "shallotlever/load/load.h"
#include "shallotlever/operator/command_line.h"

namespace {

constexpr const char *kLoadCommand = "load";

/// `load` reads its own arguments; the row is for the list of commands.
shallotlever::CliCommand loadCommand()
{
    return { { kLoadCommand },
             "",
             "Send a workload to the nodes and check the answers; see `shallotlever load --help`.",
             nullptr };
}

} // namespace

int main(int argc, char **argv)
{
    using namespace shallotlever;
    std::signal(SIGPIPE, SIG_IGN);
    const QCoreApplication application(argc, argv);
    const EnvironmentReader environment = [](const std::string &name) {
        const char *value = std::getenv(name.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments.front() == kLoadCommand)
        return runLoad({ arguments.begin() + 1, arguments.end() });
    std::vector<CliCommand> commands = operatorCommands();
    commands.push_back(loadCommand());
    return runCommandLine(commands, arguments, environment, std::cout, std::cerr);
}
