#include "sim/simulated_network.h"

#include "wire/peer_codec.h"

namespace lugfork {

void SimulatedNetwork::attachDatagrams(Endpoint address, SimulatedProcess& process,
                                       DatagramHandler handler) {
  datagram_receivers_[address] = {&process, std::move(handler)};
}

void SimulatedNetwork::attachPeers(Endpoint address, SimulatedProcess& process,
                                   PeerHandler handler) {
  peer_receivers_[address] = {&process, std::move(handler)};
}

void SimulatedNetwork::sendDatagram(const SimulatedProcess& from, Endpoint source,
                                    Endpoint destination, Bytes bytes) {
  ++counters_.datagrams_sent;
  trace_.add(queue_.now(), bytes);
  const auto found = datagram_receivers_.find(destination);
  if (found == datagram_receivers_.end()) {
    return;
  }
  SimulatedProcess& to = *found->second.process;
  if (random_.unit() < settings_.loss) {
    ++counters_.datagrams_lost;
    return;
  }
  if (isCut(from, to)) {
    ++counters_.datagrams_cut;
    return;
  }
  const DatagramHandler& handler = found->second.handler;
  if (random_.unit() < settings_.duplication) {
    transfer(from, to, [&handler, source, bytes] { handler(bytes, source); });
  }
  transfer(from, to, [&handler, source, bytes = std::move(bytes)] { handler(bytes, source); });
}

std::size_t SimulatedNetwork::sendPeerMessage(const SimulatedProcess& from, Endpoint source,
                                              Endpoint destination, const PeerMessage& message) {
  const Bytes bytes = encodePeerMessage(message);
  const std::size_t size = bytes.size();
  trace_.add(queue_.now(), bytes);
  ++counters_.peer_messages_sent;
  counters_.peer_bytes_sent += size;
  const auto found = peer_receivers_.find(destination);
  if (found != peer_receivers_.end()) {
    const PeerHandler& handler = found->second.handler;
    transfer(from, *found->second.process,
             [&handler, source, message] { handler(source, message); });
  }
  return size;
}

bool SimulatedNetwork::isCut(const SimulatedProcess& from, const SimulatedProcess& to) const {
  if (cuts_.empty()) {
    return false;
  }
  for (const std::string& source : {from.zone(), from.name()}) {
    for (const std::string& target : {to.zone(), to.name()}) {
      if (cuts_.contains({source, target})) {
        return true;
      }
    }
  }
  return false;
}

Duration SimulatedNetwork::delay(const SimulatedProcess& from, const SimulatedProcess& to) {
  const bool with_client = from.zone() == kClientZone || to.zone() == kClientZone;
  Duration base = from.zone() == to.zone() ? settings_.within_zone : settings_.between_zones;
  base = with_client ? settings_.to_clients : base;
  const double factor = 1 + settings_.jitter * random_.unit();
  return Duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

void SimulatedNetwork::transfer(const SimulatedProcess& from, SimulatedProcess& to,
                                EventQueue::Event event) {
  if (isCut(from, to)) {
    return;
  }
  queue_.scheduleAfter(delay(from, to),
                       [&to, event = std::move(event)]() mutable { to.run(std::move(event)); });
}

}  // namespace lugfork
