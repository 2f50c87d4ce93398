#include "runtime/peer_http.h"

#include <sodium.h>

#include <charconv>

#include "common/endpoint_parser.h"
#include "runtime/api_response.h"
#include "runtime/http_call_result.h"
#include "runtime/url_encoding.h"
#include "wire/view_codec.h"

namespace lugfork {

namespace {

constexpr const char* kItemsPath = "/v1/view/items";
constexpr const char* kChangesPath = "/v1/view/changes";
constexpr const char* kPeersPath = "/v1/peers";
constexpr const char* kAfter = "after";
constexpr const char* kFrom = "from";
constexpr std::size_t kItemsInPage = 500;
constexpr int kHttpGone = 410;
constexpr Duration kCallTimeout = seconds(1);
constexpr std::size_t kBearerBytes = 16;

HttpResponse msgpackResponse(std::string body) {
  HttpResponse response;
  response.content_type = "application/msgpack";
  response.body = std::move(body);
  return response;
}

std::string parameter(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

/** Hands a decoded body on, or the error of whichever layer failed. */
template <typename Decode, typename Callback>
auto decodeInto(Decode decode, Callback callback) {
  return [decode, callback = std::move(callback)](const Result<HttpGetReply, HttpGetError>& reply) {
    const auto body = bodyOf(reply);
    if (!body) {
      callback(body.error());
      return;
    }
    auto decoded = decode(body.value());
    if (!decoded) {
      callback(SourceError::Malformed);
      return;
    }
    callback(std::move(decoded.value()));
  };
}

}  // namespace

std::string peerBearerToken(const CompactTokenKey& key) {
  static constexpr std::string_view kPurpose = "lugfork peers";
  std::array<unsigned char, kBearerBytes> hash{};
  crypto_generichash(hash.data(), hash.size(),
                     reinterpret_cast<const unsigned char*>(kPurpose.data()), kPurpose.size(),
                     key.data(), key.size());
  std::string text(2 * kBearerBytes + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), hash.data(), hash.size());
  text.pop_back();
  return text;
}

HttpPeerClient::HttpPeerClient(HttpGetClient& client, std::string bearer_token)
    : client_(client), bearer_token_(std::move(bearer_token)) {}

void HttpPeerClient::readPage(Endpoint peer, const PageRequest& request,
                              ItemSource::PageCallback callback) {
  const std::string target = std::string(kItemsPath) + "?after=" + urlEncode(request.after_key);
  client_.get(makeCall(peer, target), decodeInto(decodeViewPage, std::move(callback)));
}

void HttpPeerClient::readChanges(Endpoint peer, const WatchRequest& request,
                                 ItemSource::WatchCallback callback) {
  const std::string target = std::string(kChangesPath) + "?after=" + std::to_string(request.after);
  client_.get(makeCall(peer, target), decodeInto(decodeViewChanges, std::move(callback)));
}

void HttpPeerClient::exchangePeers(Endpoint peer, Endpoint own_address, PeersCallback callback) {
  const std::string target = std::string(kPeersPath) + "?from=" + toString(own_address);
  client_.get(makeCall(peer, target),
              decodeInto(decodePeerList,
                         [callback = std::move(callback)](Result<PeerList, SourceError> answer) {
                           if (!answer) {
                             callback(answer.error());
                             return;
                           }
                           callback(std::move(answer.value().peers));
                         }));
}

HttpGetCall HttpPeerClient::makeCall(Endpoint peer, std::string target) const {
  return {peer, std::move(target), kCallTimeout, bearer_token_};
}

PeerRequestHandler::PeerRequestHandler(const ViewFollower& follower, PeerDirectory& directory)
    : follower_(follower), directory_(directory) {}

HttpResponse PeerRequestHandler::handle(const HttpRequest& request) {
  if (request.path == kPeersPath) {
    return exchange(request);
  }
  if (request.path != kItemsPath && request.path != kChangesPath) {
    return problemResponse(kHttpNotFound, "no such resource");
  }
  if (!follower_.isCaughtUp()) {
    return problemResponse(kHttpUnavailable, "the view is not complete");
  }
  return request.path == kItemsPath ? page(request) : changes(request);
}

HttpResponse PeerRequestHandler::page(const HttpRequest& request) const {
  ItemPage page = follower_.view().page(parameter(request, kAfter), kItemsInPage);
  page.age_ms = ageMilliseconds();
  return msgpackResponse(encodeView(page));
}

HttpResponse PeerRequestHandler::changes(const HttpRequest& request) const {
  const std::string text = parameter(request, kAfter);
  Revision after = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), after);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return problemResponse(kHttpBadRequest, "after must be a revision");
  }
  auto changes = follower_.view().changesAfter(after);
  if (!changes) {
    return problemResponse(kHttpGone, "the changes after that revision are not known");
  }
  changes->age_ms = ageMilliseconds();
  return msgpackResponse(encodeView(*changes));
}

HttpResponse PeerRequestHandler::exchange(const HttpRequest& request) {
  PeerList known{directory_.recent()};
  if (const auto from = parseEndpoint(parameter(request, kFrom))) {
    directory_.onAlive(*from);
  }
  return msgpackResponse(encodeView(known));
}

std::uint32_t PeerRequestHandler::ageMilliseconds() const {
  return toWireMilliseconds(follower_.age());
}

}  // namespace lugfork
