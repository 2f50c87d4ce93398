/** lugfork-standin: simple stand-ins for the platform, the fabric, backends and clients. */

#include "programs/standin_commands.h"
#include "runtime/program.h"

int main(int argc, char** argv) {
  CLI::App app("stand-ins for the environment of lugfork, for demos and tests", "lugfork-standin");
  app.set_version_flag("--version", LUGFORK_VERSION);
  app.require_subcommand(1);
  lugfork::CommandBody run;
  lugfork::addPlatformCommand(app, run);
  lugfork::addFabricCommand(app, run);
  lugfork::addBackendCommand(app, run);
  lugfork::addClientCommand(app, run);
  return lugfork::runProgram(app, argc, argv, [&run] { return run(); });
}
