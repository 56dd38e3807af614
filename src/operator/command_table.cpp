#include "change_readers.h"
#include "commands.h"

namespace shallotlever {

namespace {

const std::string kChange = "[--wait] [--change-id=ID] [--based-on=VERSION]";

CliCommand changeCommand(std::vector<std::string> words, const std::string &pattern,
                         std::string help, ChangeReader read, bool needsConfiguration = false)
{
    return { std::move(words),  pattern + " " + kChange, std::move(help), runChange, read,
             needsConfiguration };
}

std::vector<CliCommand> makeCommands()
{
    return {
        changeCommand({ "service", "put" }, "SERVICE", "Create a service.", readServicePut),
        changeCommand({ "service", "remove" }, "SERVICE", "Remove a service.", readServiceRemove),
        { { "service", "list" }, "", "List the services.", runServiceList },
        changeCommand({ "team", "put" }, "TEAM --rate=N --burst=N [--services=NAMES]",
                      "Create or change a team; without --services it may use every service.",
                      readTeamPut),
        changeCommand({ "team", "remove" }, "TEAM", "Remove a team without keys.", readTeamRemove),
        { { "team", "list" }, "", "List the teams.", runTeamList },
        { { "key", "create" },
          "--role=ROLE [--team=TEAM] [--service=SERVICE] [--out=FILE] [--wait] "
          "[--based-on=VERSION]",
          "Make a key for a caller, an operator or an upstream; only its hash is sent.",
          runKeyCreate },
        changeCommand({ "key", "withdraw" }, "KEY", "Withdraw the key with this id.",
                      readKeyWithdraw),
        { { "key", "list" }, "", "List the keys, without secrets.", runKeyList },
        changeCommand({ "route", "put" }, "ROUTE --service=SERVICE --sql=SQL --max-staleness-ms=MS",
                      "Publish a statement to all callers.", readRoutePut),
        changeCommand({ "route", "remove" }, "ROUTE", "Remove a route.", readRouteRemove),
        { { "route", "list" }, "", "List the routes.", runRouteList },
        changeCommand({ "preset", "put" },
                      "PRESET [--queue-limit-per-team=N] [--rate-wait-ms=MS] "
                      "[--catch-up-wait-ms=MS] [--retry-budget-ratio=R] [--max-attempts=N] "
                      "[--default-deadline-ms=MS] [--open-route-reserve=R] "
                      "[--writes-allowed=YESNO]",
                      "Create or change a preset; fields not given keep their value.",
                      readPresetPut, true),
        changeCommand({ "preset", "set" }, "PRESET", "Put a preset in force.", readPresetSet),
        { { "preset", "list" }, "", "List the presets.", runPresetList },
        changeCommand({ "evacuate" }, "DATACENTRE [--end]",
                      "Send nothing more to the databases of a data centre, or end that.",
                      readEvacuation),
        { { "status" }, "", "Show configuration, nodes and upstreams.", runStatus },
        { { "explain" }, "[--last=N]", "Show the decision log.", runExplain },
        { { "explain-request" },
          "--team=TEAM --database=NAME --mode=MODE [--position=TERM:POSITION]",
          "Show where the node in --nodes would send a statement of a session now, and why.",
          runExplainRequest },
        { { "drain" },
          "[--upstream=UPSTREAM [--cancel]]",
          "Drain the node in --nodes and stop it, or drain an upstream or take that back.",
          runDrain },
        { { "statement" },
          "--service=SERVICE --mode=MODE --sql=SQL [--param=VALUE]... [--session-file=FILE] "
          "[--idempotency-key=KEY] [--max-staleness-ms=MS] [--deadline-ms=MS]",
          "Run one statement with a caller's key; the value \\N is SQL NULL.",
          runStatement },
    };
}

} // namespace

const std::vector<CliCommand> &operatorCommands()
{
    static const std::vector<CliCommand> commands = makeCommands();
    return commands;
}

} // namespace shallotlever
