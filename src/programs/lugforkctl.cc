/** lugforkctl: the operators' client. */

#include "programs/ctl_commands.h"
#include "runtime/program.h"

int main(int argc, char** argv) {
  CLI::App app("lugfork's client for operators", "lugforkctl");
  app.set_version_flag("--version", LUGFORK_VERSION);
  app.require_subcommand(1);
  lugfork::CommandBody run;
  lugfork::addDeclareCommands(app, run);
  lugfork::addReadCommands(app, run);
  lugfork::addRequestCommand(app, run);
  return lugfork::runProgram(app, argc, argv, [&run] { return run(); });
}
