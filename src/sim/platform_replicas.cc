#include "sim/platform_replicas.h"

#include <nlohmann/json.hpp>

namespace lugfork {

namespace {

std::string writeMachineList(const std::vector<Machine>& machines) {
  nlohmann::json entries = nlohmann::json::array();
  for (const Machine& machine : machines) {
    entries.push_back({{"name", machine.name},
                       {"zone", machine.zone},
                       {"state", machine.leaving ? "leaving" : "live"},
                       {"data_address", toString(machine.data_address)},
                       {"peer_address", toString(machine.peer_address)},
                       {"api_address", toString(machine.api_address)}});
  }
  return nlohmann::json({{"machines", entries}}).dump();
}

}  // namespace

void PlatformReplicas::add(const std::string& zone, const std::string& configuration) {
  auto replica = std::make_unique<Replica>();
  const std::string name = "platform-" + std::to_string(replicas_.size());
  replica->process = std::make_unique<SimulatedProcess>(queue_, name, zone, Duration::zero());
  replica->process->start();
  replica->model = std::make_unique<PlatformModel>(replica->process->timeSource(), configuration,
                                                   writeMachineList({}));
  replicas_.push_back(std::move(replica));
}

void PlatformReplicas::setOutage(std::size_t replica, bool outage) {
  replicas_[replica]->model->setOutage(outage);
}

void PlatformReplicas::publish(std::size_t replica, const std::string& document) {
  PlatformModel& model = *replicas_[replica]->model;
  std::string problem;
  const auto outcome = model.publish(model.latestVersion(), document, problem);
  if (outcome != PlatformModel::PublishOutcome::Published) {
    throw std::logic_error("simulated platform rejected a document: " + problem);
  }
}

void PlatformReplicas::setMachines(const std::vector<Machine>& machines) {
  const std::string text = writeMachineList(machines);
  for (const auto& replica : replicas_) {
    replica->model->setMachines(text);
  }
}

void PlatformReplicas::readConfiguration(SimulatedProcess& reader,
                                         std::function<void(const std::string&)> callback) {
  read(reader, &PlatformModel::configuration, std::move(callback));
}

void PlatformReplicas::readMachines(SimulatedProcess& reader,
                                    std::function<void(const std::vector<Machine>&)> callback) {
  read(reader, &PlatformModel::machines, [callback = std::move(callback)](const std::string& text) {
    const auto machines = parseMachineList(text);
    if (machines) {
      callback(machines.value());
    }
  });
}

void PlatformReplicas::read(SimulatedProcess& reader,
                            const std::string& (PlatformModel::*text)() const,
                            std::function<void(const std::string&)> callback) {
  Replica& replica = *replicas_[random_.below(replicas_.size())];
  network_.request<Reply>(
      reader, *replica.process, kReadTimeout,
      [this, &replica, text]() -> Reply {
        if (replica.model->outage()) {
          return std::nullopt;
        }
        const MonotonicTime now = queue_.now();
        replica.model->setLag(now - replica.frozen_since.value_or(now));
        return (*replica.model.*text)();
      },
      [callback = std::move(callback)](const Reply& reply) {
        if (reply) {
          callback(*reply);
        }
      },
      nullptr);
}

}  // namespace lugfork
