#include "runtime/program.h"

#include <malloc.h>
#include <sodium.h>

#include <iostream>

#include "config/toml_settings.h"

namespace lugfork {

namespace {

std::string checkEndpoint(const std::string& text) {
  return parseEndpoint(text) ? std::string() : "must be a.b.c.d:port, got \"" + text + "\"";
}

}  // namespace

CLI::Option* addEndpointOption(CLI::App& app, const std::string& name, Endpoint& endpoint,
                               const std::string& description) {
  return app
      .add_option_function<std::string>(
          name, [&endpoint](const std::string& text) { endpoint = *parseEndpoint(text); },
          description)
      ->check(CLI::Validator(checkEndpoint, "ADDRESS:PORT"));
}

CLI::Option* addEndpointListOption(CLI::App& app, const std::string& name,
                                   std::vector<Endpoint>& endpoints,
                                   const std::string& description) {
  const auto assign = [&endpoints](const std::vector<std::string>& texts) {
    endpoints.clear();
    for (const std::string& text : texts) {
      endpoints.push_back(*parseEndpoint(text));
    }
  };
  return app.add_option_function<std::vector<std::string>>(name, assign, description)
      ->check(CLI::Validator(checkEndpoint, "ADDRESS:PORT"))
      ->delimiter(',');
}

CLI::Option* addMillisecondsOption(CLI::App& app, const std::string& name, Duration& duration,
                                   milliseconds min_value, milliseconds max_value,
                                   const std::string& description) {
  const auto default_ms = std::chrono::duration_cast<milliseconds>(duration).count();
  return app
      .add_option_function<std::int64_t>(
          name, [&duration](std::int64_t value) { duration = milliseconds(value); },
          description + " [ms]")
      ->check(CLI::Range(static_cast<std::int64_t>(min_value.count()),
                         static_cast<std::int64_t>(max_value.count())))
      ->default_str(std::to_string(default_ms));
}

void returnFreedMemory() {
  constexpr int kThresholdBytes = 64 * 1024;
  mallopt(M_MMAP_THRESHOLD, kThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kThresholdBytes);
}

int runProgram(CLI::App& app, int argc, char** argv, const std::function<int()>& body) {
  if (sodium_init() < 0) {
    std::cerr << "libsodium can't be initialized\n";
    return kExitFailure;
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::Success& success) {
    return app.exit(success);
  } catch (const CLI::Error& error) {
    std::cerr << describeSettingsError(app, error) << "\nSee --help.\n";
    return kExitUsage;
  }
  try {
    return body();
  } catch (const std::exception& error) {
    std::cerr << app.get_name() << ": " << error.what() << '\n';
    return kExitFailure;
  }
}

}  // namespace lugfork
