#pragma once

#include "shallotlever/operator/command_line.h"

/// Functions of the table of commands; see CliCommand::run.
namespace shallotlever {

int runChange(CommandContext &context);
int runKeyCreate(CommandContext &context);
int runServiceList(CommandContext &context);
int runTeamList(CommandContext &context);
int runKeyList(CommandContext &context);
int runRouteList(CommandContext &context);
int runPresetList(CommandContext &context);
int runStatus(CommandContext &context);
int runExplain(CommandContext &context);
int runExplainRequest(CommandContext &context);
int runDrain(CommandContext &context);
int runStatement(CommandContext &context);

} // namespace shallotlever
