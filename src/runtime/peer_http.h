#pragma once

#include "balancer/packet_node.h"
#include "discovery/peer_client.h"
#include "discovery/peer_directory.h"
#include "runtime/http_get_client.h"
#include "runtime/http_server.h"

/** Balancers tell each other their view of the platform: HTTP with msgpack bodies. */
namespace lugfork {

/** @return the bearer token of calls between balancers that share a key. */
std::string peerBearerToken(const CompactTokenKey& key);

/** Calls other balancers. */
class HttpPeerClient : public PeerClient {
 public:
  HttpPeerClient(HttpGetClient& client, std::string bearer_token);

  void readPage(Endpoint peer, const PageRequest& request,
                ItemSource::PageCallback callback) override;
  void readChanges(Endpoint peer, const WatchRequest& request,
                   ItemSource::WatchCallback callback) override;
  void exchangePeers(Endpoint peer, Endpoint own_address, PeersCallback callback) override;

 private:
  HttpGetCall makeCall(Endpoint peer, std::string target) const;

  HttpGetClient& client_;
  const std::string bearer_token_;
};

/** Answers calls of other balancers; to be called on the event loop. */
class PeerRequestHandler {
 public:
  PeerRequestHandler(const ViewFollower& follower, PeerDirectory& directory);

  HttpResponse handle(const HttpRequest& request);

 private:
  HttpResponse page(const HttpRequest& request) const;
  HttpResponse changes(const HttpRequest& request) const;
  HttpResponse exchange(const HttpRequest& request);
  std::uint32_t ageMilliseconds() const;

  const ViewFollower& follower_;
  PeerDirectory& directory_;
};

}  // namespace lugfork
