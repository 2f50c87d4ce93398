#include "programs/sim_commands.h"

namespace lugfork {

void addReportCommand(CLI::App&, CommandBody&) {}

}  // namespace lugfork
