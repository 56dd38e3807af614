// The program for operators and experiments.

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <QCoreApplication>

#include "shallotlever/operator/command_line.h"

int main(int argc, char **argv)
{
    using namespace shallotlever;
    std::signal(SIGPIPE, SIG_IGN);
    const QCoreApplication application(argc, argv);
    const EnvironmentReader environment = [](const std::string &name) {
        const char *value = std::getenv(name.c_str());
        return value == nullptr ? std::nullopt : std::optional<std::string>(value);
    };
    // Commands of further libraries are appended to this table.
    const std::vector<CliCommand> commands = operatorCommands();
    return runCommandLine(commands, { argv + 1, argv + argc }, environment, std::cout, std::cerr);
}
