#include "programs/sim_commands.h"

namespace lugfork {

void addRunCommand(CLI::App&, CommandBody&) {}

}  // namespace lugfork
