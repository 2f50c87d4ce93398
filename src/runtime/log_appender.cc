#include "runtime/log_appender.h"

#include <dlfcn.h>

#include <filesystem>

namespace lugfork {

namespace {

/** The name that the build gives the module. */
constexpr const char* kModule = "lugfork-log4cxx.so";

/** LogOutput that hands lines to the loaded module. */
class LoadedAppender : public LogOutput {
 public:
  explicit LoadedAppender(AppendLogLine append) : append_(append) {}

  bool write(std::string_view line) override {
    append_(line.data(), line.size());
    return true;
  }

 private:
  const AppendLogLine append_;
};

std::filesystem::path besideProgram(const char* file) {
  std::error_code not_found;
  return std::filesystem::read_symlink("/proc/self/exe", not_found).parent_path() / file;
}

std::string loaderError() {
  const char* text = dlerror();
  return text == nullptr ? "unknown" : text;
}

}  // namespace

Result<std::unique_ptr<LogOutput>, std::string> loadLogAppender() {
  // Never unloaded: log4cxx has threads and objects that live until the process ends.
  void* module = dlopen(besideProgram(kModule).c_str(), RTLD_NOW | RTLD_LOCAL);
  if (module == nullptr) {
    return loaderError();
  }
  const auto append = reinterpret_cast<AppendLogLine>(dlsym(module, kAppendLogLine));
  if (append == nullptr) {
    return loaderError();
  }
  return std::unique_ptr<LogOutput>(std::make_unique<LoadedAppender>(append));
}

}  // namespace lugfork
