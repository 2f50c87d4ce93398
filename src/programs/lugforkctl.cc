/** lugforkctl: the operators' client. */

#include "programs/ctl_commands.h"
#include "runtime/program.h"

int main(int argc, char** argv) {
  CLI::App app("lugfork's client for operators", "lugforkctl");
  app.set_version_flag("--version", LUGFORK_VERSION);
  app.footer(
      "Exit codes: 0 done; 1 not done (conflict, invalid document, a node behind, no answer);\n"
      "2 wrong flags. Each command has --help.");
  app.require_subcommand(1);
  lugfork::CommandBody run;
  lugfork::addDeclareCommands(app, run);
  lugfork::addReadCommands(app, run);
  lugfork::addKeyCommands(app, run);
  lugfork::addRequestCommand(app, run);
  lugfork::addExplainCommand(app, run);
  return lugfork::runProgram(app, argc, argv, [&run] { return run(); });
}
