/** lugforkctl: command-line client for operators. */

#include "programs/ctl_commands.h"
#include "runtime/program.h"

int main(int argc, char** argv) {
  CLI::App app("command-line client for operators of lugfork", "lugforkctl");
  app.set_version_flag("--version", LUGFORK_VERSION);
  app.footer(
      "Exit codes: 0 success; 1 failure (conflict, invalid document, node behind, no answer);\n"
      "2 invalid command line. Run a command with --help for its options.");
  app.require_subcommand(1);
  lugfork::CommandBody run;
  lugfork::addDeclareCommands(app, run);
  lugfork::addReadCommands(app, run);
  lugfork::addKeyCommands(app, run);
  lugfork::addRequestCommand(app, run);
  lugfork::addExplainCommand(app, run);
  return lugfork::runProgram(app, argc, argv, [&run] { return run(); });
}
