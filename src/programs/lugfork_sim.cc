/** lugfork-sim: deterministic simulation of fleets of balancers. */

#include "programs/sim_commands.h"
#include "runtime/program.h"

int main(int argc, char** argv) {
  CLI::App app("deterministic simulation of lugfork under faults", "lugfork-sim");
  app.set_version_flag("--version", LUGFORK_VERSION);
  app.require_subcommand(1);
  lugfork::CommandBody run;
  lugfork::addRunCommand(app, run);
  lugfork::addReportCommand(app, run);
  return lugfork::runProgram(app, argc, argv, [&run] { return run(); });
}
