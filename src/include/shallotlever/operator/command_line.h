#pragma once

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <QJsonObject>

#include "shallotlever/operator/arguments.h"
#include "shallotlever/types/config.h"

/// The program `shallotlever`.
namespace shallotlever {

constexpr int kExitDone = 0;
/// Refused by the system, or not reached.
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;
/// The change was accepted, but was not in force everywhere when the wait ended.
constexpr int kExitNotInForce = 3;

struct CliCommand;

struct CommandContext
{
    const CliCommand &command;
    ArgumentReader &arguments;
    std::ostream &out;
    std::ostream &err;
};

/// Reads the change that a command makes. `configuration` is that of the status document, or empty
/// when only the arguments are validated.
using ChangeReader = Change (*)(ArgumentReader &arguments, const QJsonObject &configuration);

/// One row of the table of commands.
struct CliCommand
{
    /// Words that select the command.
    std::vector<std::string> words;
    /// Rest of the usage line.
    std::string pattern;
    std::string help;
    /// Returns the exit status.
    int (*run)(CommandContext &context);
    /// Set for commands that change the configuration.
    ChangeReader readChange = nullptr;
    /// The change depends on the configuration in force.
    bool needsConfiguration = false;
};

/// Commands of this library.
const std::vector<CliCommand> &operatorCommands();

/// Usage text of the commands, as docopt reads it.
std::string usageText(std::span<const CliCommand> commands);

/// Runs the program with the arguments after its name; returns the exit status.
int runCommandLine(std::span<const CliCommand> commands, const std::vector<std::string> &arguments,
                   const EnvironmentReader &environment, std::ostream &out, std::ostream &err);

} // namespace shallotlever
