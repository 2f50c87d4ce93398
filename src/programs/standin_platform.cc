#include <fstream>
#include <iterator>
#include <mutex>
#include <nlohmann/json.hpp>

#include "programs/standin_commands.h"
#include "programs/standin_loop.h"
#include "runtime/http_server.h"
#include "runtime/program.h"
#include "sim/platform_model.h"

namespace lugfork {

namespace {

using nlohmann::json;

constexpr int kNoContent = 204;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kUnavailable = 503;

struct PlatformSettings {
  Endpoint listen;
  std::string configuration_file;
  std::string machines_file;
};

std::string readFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error("can't read " + path);
  }
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

HttpResponse plainStatus(int status, const std::string& title) {
  HttpResponse response;
  response.status = status;
  response.body = json({{"title", title}}).dump() + "\n";
  return response;
}

/** HTTP interface of the platform: reads by nodes, compare-and-set by operators, test controls. */
class PlatformStandin {
 public:
  PlatformStandin(std::string configuration, std::string machines)
      : model_(time_source_, std::move(configuration), std::move(machines)) {}

  HttpResponse handle(const HttpRequest& request) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (request.path == "/control") {
      return control(request);
    }
    if (model_.outage()) {
      return plainStatus(kUnavailable, "outage");
    }
    if (request.path == "/v1/configuration") {
      return request.method == "PUT" ? publish(request) : serve(model_.configuration());
    }
    if (request.path == "/v1/machines" && request.method == "PUT") {
      model_.setMachines(request.body);
      return plainStatus(kNoContent, "");
    }
    if (request.path == "/v1/machines") {
      return serve(model_.machines());
    }
    return plainStatus(kNotFound, "no such resource");
  }

 private:
  static std::string quoted(std::uint64_t version) { return "\"" + std::to_string(version) + "\""; }

  static HttpResponse serve(const std::string& text) {
    HttpResponse response;
    response.body = text;
    const json document = json::parse(text, nullptr, false);
    if (document.is_object() && document.contains("version")) {
      response.headers["ETag"] = quoted(document["version"].get<std::uint64_t>());
    }
    return response;
  }

  /** Publishes by compare-and-set: the If-Match header has the version that is to be replaced. */
  HttpResponse publish(const HttpRequest& request) {
    const auto expected = request.headers.find("if-match");
    const std::string expected_tag = expected == request.headers.end() ? "" : expected->second;
    const std::uint64_t latest = model_.latestVersion();
    const std::uint64_t expected_version = expected_tag == quoted(latest) ? latest : latest + 1;
    std::string problem;
    switch (model_.publish(expected_version, request.body, problem)) {
      case PlatformModel::PublishOutcome::Published:
        return plainStatus(kNoContent, "");
      case PlatformModel::PublishOutcome::Conflict: {
        HttpResponse response = plainStatus(kPreconditionFailed, problem);
        response.headers["ETag"] = quoted(latest);
        return response;
      }
      case PlatformModel::PublishOutcome::Invalid:
        return plainStatus(kBadRequest, problem);
    }
    return plainStatus(kBadRequest, problem);
  }

  HttpResponse control(const HttpRequest& request) {
    const json command = json::parse(request.body, nullptr, false);
    if (!command.is_object()) {
      return plainStatus(kBadRequest, "the body must be a JSON object");
    }
    if (command.contains("outage")) {
      model_.setOutage(command["outage"].get<bool>());
    }
    if (command.contains("lag_ms")) {
      model_.setLag(milliseconds(command["lag_ms"].get<std::int64_t>()));
    }
    return plainStatus(kNoContent, "");
  }

  std::mutex mutex_;
  RealTimeSource time_source_;
  PlatformModel model_;
};

int runPlatform(const PlatformSettings& settings) {
  PlatformStandin platform(readFile(settings.configuration_file), readFile(settings.machines_file));
  HttpServer server(settings.listen,
                    [&](const HttpRequest& request) { return platform.handle(request); });
  boost::asio::io_context io_context;
  runUntilStopped(io_context);
  return kExitSuccess;
}

}  // namespace

void addPlatformCommand(CLI::App& app, CommandBody& run) {
  CLI::App* command =
      app.add_subcommand("platform", "serves the configuration and the machine list");
  const auto settings = std::make_shared<PlatformSettings>();
  addEndpointOption(*command, "--listen", settings->listen, "address of the service (HTTP)")
      ->required();
  command
      ->add_option("--configuration", settings->configuration_file,
                   "configuration document to serve (JSON)")
      ->required()
      ->check(CLI::ExistingFile);
  command->add_option("--machines", settings->machines_file, "machine list to serve (JSON)")
      ->required()
      ->check(CLI::ExistingFile);
  command->callback([&run, settings] { run = [settings] { return runPlatform(*settings); }; });
}

}  // namespace lugfork
