#pragma once

#include <sodium.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "runtime/http_server.h"

namespace lugfork::platform {

/** Fake of the platform's store, after its specification: items, pages, watches and failures. */
class FakeStore {
 public:
  FakeStore()
      : server_({0x7f000001, 0}, [this](const HttpRequest& request) { return handle(request); }) {}

  ~FakeStore() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    changed_.notify_all();
  }

  Endpoint address() const { return server_.localAddress(); }

  void put(const std::string& key, const std::string& value) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    const std::uint64_t created = items_.contains(key) ? items_[key].created : revision_;
    items_[key] = {value, revision_, created};
    history_[revision_] = itemJson(key, items_[key]);
    changed_.notify_all();
  }

  void remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    items_.erase(key);
    ++revision_;
    history_[revision_] = {{"key", key}, {"revision", revision_}, {"gone", true}};
    changed_.notify_all();
  }

  /** Deletes the change history; watches from an earlier revision get 410. */
  void compactHistory() {
    const std::lock_guard lock(mutex_);
    history_start_ = revision_ + 1;
    history_.clear();
    changed_.notify_all();
  }

  /** Makes every request fail with a status; 200 ends the failure. */
  void failWith(int status) {
    const std::lock_guard lock(mutex_);
    status_ = status;
    changed_.notify_all();
  }

  /** Sets whether every response body is truncated to its first half. */
  void truncateResponses(bool truncates) {
    const std::lock_guard lock(mutex_);
    truncates_ = truncates;
  }

  int calls() const {
    const std::lock_guard lock(mutex_);
    return calls_;
  }

 private:
  struct StoredItem {
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
  };

  static constexpr std::size_t kItemsPerPage = 2;

  static std::string base64(const std::string& text) {
    std::string encoded(sodium_base64_ENCODED_LEN(text.size(), sodium_base64_VARIANT_ORIGINAL),
                        '\0');
    sodium_bin2base64(encoded.data(), encoded.size(),
                      reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                      sodium_base64_VARIANT_ORIGINAL);
    encoded.pop_back();
    return encoded;
  }

  static nlohmann::json itemJson(const std::string& key, const StoredItem& item) {
    return {{"key", key},
            {"value", base64(item.value)},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", 0}};
  }

  static std::string queryParameter(const HttpRequest& request, const std::string& name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? "" : found->second;
  }

  HttpResponse handle(const HttpRequest& request) {
    std::unique_lock lock(mutex_);
    ++calls_;
    HttpResponse response;
    response.status = status_;
    if (status_ != 200) {
      return response;
    }
    if (request.path == "/kv-range") {
      response.body = range(request).dump();
    } else if (request.path == "/kv-watch") {
      const auto body = watch(request, lock);
      response.status = body ? status_ : 410;
      response.body = body ? body->dump() : "";
    } else {
      response.status = 404;
    }
    if (truncates_) {
      response.body.resize(response.body.size() / 2);
    }
    return response;
  }

  nlohmann::json range(const HttpRequest& request) const {
    const std::string prefix = queryParameter(request, "path_prefix");
    const std::string after = queryParameter(request, "after");
    nlohmann::json body = {{"items", nlohmann::json::array()}, {"more", false}, {"at", revision_}};
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix) || (!after.empty() && key <= after)) {
        continue;
      }
      if (body["items"].size() == kItemsPerPage) {
        body["more"] = true;
        break;
      }
      body["items"].push_back(itemJson(key, item));
    }
    return body;
  }

  std::optional<nlohmann::json> watch(const HttpRequest& request,
                                      std::unique_lock<std::mutex>& lock) {
    const std::string prefix = queryParameter(request, "path_prefix");
    const std::uint64_t after = std::stoull(queryParameter(request, "after"));
    const std::chrono::milliseconds wait(std::stoul(queryParameter(request, "wait_ms")));
    changed_.wait_for(lock, wait, [&] {
      return closed_ || status_ != 200 || revision_ > after || after + 1 < history_start_;
    });
    if (after + 1 < history_start_) {
      return std::nullopt;
    }
    nlohmann::json body = {{"events", nlohmann::json::array()}, {"at", revision_}};
    for (auto event = history_.upper_bound(after); event != history_.end(); ++event) {
      if (event->second["key"].get<std::string>().starts_with(prefix)) {
        body["events"].push_back(event->second);
      }
    }
    return body;
  }

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, StoredItem> items_;
  /** Change events by revision. */
  std::map<std::uint64_t, nlohmann::json> history_;
  std::uint64_t revision_ = 0;
  std::uint64_t history_start_ = 0;
  int status_ = 200;
  int calls_ = 0;
  bool truncates_ = false;
  bool closed_ = false;
  HttpServer server_;
};

}  // namespace lugfork::platform
