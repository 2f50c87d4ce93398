#include "runtime/log_appender.h"

#include <dlfcn.h>

#include <filesystem>

namespace lugfork {

namespace {

/** File name of the module, as set by the build. */
constexpr const char* kModule = "lugfork-log4cxx.so";

/** LogOutput that passes lines to the loaded module. */
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
  // Never unloaded: threads and objects of log4cxx live until the process ends.
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
