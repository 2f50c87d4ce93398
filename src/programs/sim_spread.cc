#include "programs/sim_commands.h"

namespace lugfork {

void addSpreadCommand(CLI::App&, CommandBody&) {}

}  // namespace lugfork
