#pragma once

#include <string>

#include "common/ids.h"
#include "common/result.h"
#include "discovery/item_source.h"
#include "wire/codec_error.h"

/** Bodies (msgpack) in which balancers tell each other their view of the platform. */
namespace lugfork {

/** Addresses of balancers. */
struct PeerList {
  std::vector<Endpoint> peers;
  auto fields() { return std::tie(peers); }
};

std::string encodeView(const ItemPage& page);
std::string encodeView(const ItemChanges& changes);
std::string encodeView(const PeerList& peers);

/** Reads a body. @return the message, or Malformed. */
Result<ItemPage, CodecError> decodeViewPage(const std::string& body);
Result<ItemChanges, CodecError> decodeViewChanges(const std::string& body);
Result<PeerList, CodecError> decodePeerList(const std::string& body);

}  // namespace lugfork
