#include "wire/view_codec.h"

#include "wire/message_codec.h"

namespace lugfork {

namespace {

template <typename Message>
std::string encode(const Message& message) {
  const Bytes bytes = message_codec::encodeStruct(message);
  return {bytes.begin(), bytes.end()};
}

template <typename Message>
Result<Message, CodecError> decode(const std::string& body) {
  Message message;
  if (!message_codec::decodeStruct(Bytes(body.begin(), body.end()), message)) {
    return CodecError::Malformed;
  }
  return message;
}

}  // namespace

std::string encodeView(const ItemPage& page) {
  return encode(page);
}

std::string encodeView(const ItemChanges& changes) {
  return encode(changes);
}

std::string encodeView(const PeerList& peers) {
  return encode(peers);
}

Result<ItemPage, CodecError> decodeViewPage(const std::string& body) {
  return decode<ItemPage>(body);
}

Result<ItemChanges, CodecError> decodeViewChanges(const std::string& body) {
  return decode<ItemChanges>(body);
}

Result<PeerList, CodecError> decodePeerList(const std::string& body) {
  return decode<PeerList>(body);
}

}  // namespace lugfork
