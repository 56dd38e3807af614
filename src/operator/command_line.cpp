#include "shallotlever/operator/command_line.h"

#include <algorithm>
#include <ostream>

#include <fmt/format.h>

namespace shallotlever {

namespace {

/// Options that every command accepts.
constexpr std::string_view kOptions = R"(
Options:
  --nodes=URLS      Nodes to ask, http://HOST:PORT,... or https://HOST:PORT,...; the next one is
                    tried if one cannot be reached (or SHALLOTLEVER_NODES).
  --key-file=FILE   File with the key (or SHALLOTLEVER_KEY_FILE).
  --ca=FILE         Authority of the nodes' certificates, PEM.
  --timeout-ms=MS   Bound for each attempt, 100 to 600000 (15000 if not given).
  --json            Print answers as they came.
  --help            Show this text.
  --version         Show the version.

A change is based on the version in force unless --based-on states another one; it is refused if
another change was accepted first. --change-id with --based-on sends an earlier change again.
Exit status: 0 done, 1 refused or no answer, 2 invalid arguments, 3 accepted but not in force
everywhere when --wait ended.
)";

std::string wordsOf(const CliCommand &command)
{
    return fmt::format("{}", fmt::join(command.words, " "));
}

const CliCommand *selectCommand(std::span<const CliCommand> commands,
                                const ArgumentReader &arguments)
{
    const auto found =
        std::find_if(commands.begin(), commands.end(), [&](const CliCommand &command) {
            return std::all_of(command.words.begin(), command.words.end(),
                               [&](const std::string &word) { return arguments.isSet(word); });
        });
    return found == commands.end() ? nullptr : &*found;
}

} // namespace

std::string usageText(std::span<const CliCommand> commands)
{
    std::string text = "Controls a shallotlever system.\n\nUsage:\n";
    for (const CliCommand &command : commands)
        text += fmt::format("  shallotlever [options] {}{}{}\n", wordsOf(command),
                            command.pattern.empty() ? "" : " ", command.pattern);
    text += "  shallotlever --help\n  shallotlever --version\n\nCommands:\n";
    for (const CliCommand &command : commands)
        text += fmt::format("  {:<16}  {}\n", wordsOf(command), command.help);
    return text + std::string(kOptions);
}

int runCommandLine(std::span<const CliCommand> commands, const std::vector<std::string> &arguments,
                   const EnvironmentReader &environment, std::ostream &out, std::ostream &err)
{
    auto parsed = parseArguments(usageText(commands), arguments);
    if (const auto *text = std::get_if<ArgumentText>(&parsed)) {
        out << text->text;
        return kExitDone;
    }
    if (const auto *fault = std::get_if<ArgumentFault>(&parsed)) {
        err << "shallotlever: " << fault->message << "\nSee shallotlever --help.\n";
        return kExitUsage;
    }
    ArgumentReader reader(std::get<ArgumentValues>(std::move(parsed)), environment);
    const CliCommand *command = selectCommand(commands, reader);
    if (command == nullptr)
        return kExitUsage;
    CommandContext context { *command, reader, out, err };
    return command->run(context);
}

} // namespace shallotlever
