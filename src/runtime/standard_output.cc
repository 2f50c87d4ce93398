#include "runtime/standard_output.h"

#include <poll.h>
#include <unistd.h>

#include <cerrno>

namespace lugfork {

bool StandardOutput::write(std::string_view line) {
  while (!line.empty()) {
    const ssize_t written = ::write(STDOUT_FILENO, line.data(), line.size());
    if (written >= 0) {
      line.remove_prefix(static_cast<std::size_t>(written));
    } else if (errno != EINTR) {
      return false;
    }
  }
  return true;
}

bool standardOutputIsWritable() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

}  // namespace lugfork
