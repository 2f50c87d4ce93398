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

/** Settings of the configuration synchronization. */
struct ConfigurationSyncSettings {
  /** Minimum time before another request to a peer if the last one had no result. */
  Duration request_timeout = milliseconds(500);
  /** Maximum number of buckets in one request. */
  std::size_t buckets_per_request = 4;
  /** A bucket fetch without progress for this time is aborted. */
  Duration fetch_timeout = seconds(2);
  /** Maximum rate of platform reads by the whole fleet [1/s]. */
  double max_fleet_reads_per_second = 4;
  /** Minimum mean time between two platform reads by one node. */
  Duration min_platform_interval = seconds(1);
};

/** Sends the messages of the synchronization and is notified of adopted configurations. */
class ConfigurationSyncHost {
 public:
  virtual ~ConfigurationSyncHost() = default;
  virtual void sendConfigurationMessage(Endpoint peer, const PeerMessage& message) = 0;
  /** Requests a read of the platform's configuration. */
  virtual void readConfigurationFromPlatform() = 0;
  virtual void onConfigurationAdopted() = 0;
};

/**
 * Synchronizes all nodes to the configuration with the highest version. A node that sees a newer
 * version at a peer requests it. The peer answers with a delta, or if none fits into one message,
 * with bucket digests from which the node fetches the buckets of resources that differ.
 */
class ConfigurationSync {
 public:
  ConfigurationSync(ConfigurationSyncSettings settings, ConfigurationStore& store,
                    const TimeSource& time_source, RandomGenerator& random,
                    ConfigurationSyncHost& host, EventLog& log);

  /** Handles the id of the configuration that is in force at a peer. */
  void onPeerConfiguration(Endpoint peer, const ConfigurationId& remote);

  /**
   * Handles a version that was seen in a placement token.
   * @return true if it is newer and a request may be sent to a peer now.
   */
  bool onNewerVersionSeen(ConfigVersion version);

  /** Requests the configuration from a peer if it has a newer one. */
  void request(Endpoint peer);

  void onRequest(Endpoint from, const ConfigurationRequest& request);
  void onDelta(Endpoint from, const ConfigurationDelta& delta);
  void onSummary(Endpoint from, const ConfigurationSummary& summary);
  void onBucketRequest(Endpoint from, const BucketRequest& request);
  void onBucketReply(Endpoint from, const BucketReply& reply);
  void onPlatformDocument(const std::string& json_text);

  /** @param fleet_size number of live balancers, which share the limit on platform reads. */
  void onTick(std::size_t fleet_size);

  /** Schedules a platform read for the next tick. */
  void readPlatformAtNextTick() { next_platform_read_ = MonotonicTime(); }

  /** @return true if the platform's last document was valid and no older than the one in force. */
  bool platformIsCurrent() const { return platform_is_current_; }

  /** @return number of same-version conflicts since the start. */
  std::uint64_t conflicts() const { return conflicts_; }

 private:
  /** A bucket fetch in progress. */
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
  /** @return mean time between two platform reads by this node. */
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
