#pragma once

#include <optional>
#include <set>
#include <string>

#include "common/event_log.h"
#include "common/random_generator.h"
#include "common/time_source.h"
#include "config/configuration_store.h"
#include "wire/peer_message.h"

namespace lugfork {

/** Tunables of the spread of the configuration. */
struct ConfigurationSyncSettings {
  /** A request to a peer that brought nothing may be repeated after this time. */
  Duration request_timeout = milliseconds(500);
  /** Buckets asked for in one request. */
  std::size_t buckets_per_request = 4;
  /** A fetch by buckets in which nothing arrived for this time is given up. */
  Duration fetch_timeout = seconds(2);
  /** Reads of the platform by the whole fleet a second, at most. */
  double max_fleet_reads_per_second = 4;
  /** Shortest mean time between two reads of one node. */
  Duration min_platform_interval = seconds(1);
};

/** Sends what the spread asks for, and hears of adoptions. */
class ConfigurationSyncHost {
 public:
  virtual ~ConfigurationSyncHost() = default;
  virtual void sendConfigurationMessage(Endpoint peer, const PeerMessage& message) = 0;
  /** Asks for a read of the platform's configuration. */
  virtual void readConfigurationFromPlatform() = 0;
  virtual void onConfigurationAdopted() = 0;
};

/**
 * Brings the configuration with the highest version to every node: whoever sees a newer one asks,
 * and gets a delta, or where no delta fits, the buckets of resources that differ.
 */
class ConfigurationSync {
 public:
  ConfigurationSync(ConfigurationSyncSettings settings, ConfigurationStore& store,
                    const TimeSource& time_source, RandomGenerator& random,
                    ConfigurationSyncHost& host, EventLog& log);

  /** Takes what a peer says is in force there. */
  void onPeerConfiguration(Endpoint peer, const ConfigurationId& remote);

  /** A token shows a newer version; a peer should be asked. @return true if a request may go. */
  bool onNewerVersionSeen(ConfigVersion version);

  /** Asks a peer for what is newer there. */
  void request(Endpoint peer);

  void onRequest(Endpoint from, const ConfigurationRequest& request);
  void onDelta(Endpoint from, const ConfigurationDelta& delta);
  void onSummary(Endpoint from, const ConfigurationSummary& summary);
  void onBucketRequest(Endpoint from, const BucketRequest& request);
  void onBucketReply(Endpoint from, const BucketReply& reply);
  void onPlatformDocument(const std::string& json_text);

  /** @param fleet_size live balancers; the fleet shares the reads of the platform. */
  void onTick(std::size_t fleet_size);

  /** Reads the platform at the next tick. */
  void readPlatformAtNextTick() { next_platform_read_ = MonotonicTime(); }

  /** @return true if the platform's last document was no older than the one in force. */
  bool platformIsCurrent() const { return platform_is_current_; }

  /** @return same-version conflicts seen since the start. */
  std::uint64_t conflicts() const { return conflicts_; }

 private:
  /** A fetch by buckets that is under way. */
  struct Fetch {
    Endpoint peer;
    ConfigurationId target;
    std::uint32_t bucket_count = 0;
    std::set<std::uint32_t> wanted;
    std::set<std::uint32_t> missing;
    std::vector<ResourceRecord> received;
    MonotonicTime last_progress;
  };

  void recordOutcome(OfferOutcome outcome, const char* source, const ConfigurationId& offered);
  void requestBuckets();
  void finishFetch();
  /** @return mean time between two reads of this node. */
  Duration platformReadInterval(std::size_t fleet_size) const;

  const ConfigurationSyncSettings settings_;
  ConfigurationStore& store_;
  const TimeSource& time_source_;
  RandomGenerator& random_;
  ConfigurationSyncHost& host_;
  EventLog& log_;
  std::optional<Fetch> fetch_;
  MonotonicTime next_request_;
  MonotonicTime next_platform_read_;
  bool platform_is_current_ = false;
  std::uint64_t conflicts_ = 0;
  ConfigVersion last_conflict_version_;
};

}  // namespace lugfork
