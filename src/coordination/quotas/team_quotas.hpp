/// This region's quotas, which are parts of the teams' limits: the amounts that the scheduler may
/// use, transfers between regions, and the messages about them.
///
/// The quota records are the only source of truth. The sending region commits a transfer before
/// announcing it, and the receiving region counts the transfer only after that. The quotas of all
/// regions together therefore never exceed the limit, even if a controller stops or is partitioned
/// between the two commits (docs/regions.md).
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "config/region_settings.hpp"
#include "coordination/quotas/quota_policy.hpp"
#include "coordination/quotas/team_demand.hpp"
#include "protocol/region_message.hpp"

namespace damsonport::quotas {

/// Owned by the controller. The shard leader calls measure() and writes the changes of records;
/// RegionNetwork passes received messages in and takes the messages to send, on the same loop.
class TeamQuotas {
 public:
  /// `regions`: null if limits are not divided among regions.
  TeamQuotas(const Settings& settings, const RegionSettings* regions, const RecordCache& cache);

  /// The limits are divided among regions, by the regions file or by quota records that an earlier
  /// leader wrote.
  bool divided() const { return regions_ || !cache_.quotas().empty(); }
  /// This region can transfer quota units to other regions.
  bool exchanging() const { return regions_ && regions_->regions.size() > 1; }

  /// Resources that the team's tasks in this region may use at the same time; 0: no limit.
  scheduling::Resources limit(const TeamSettings& team) const;
  /// This region's share of the guaranteed quota.
  scheduling::Resources guarantee(const TeamSettings& team) const;

  /// Starts a shard lease: discards the measurements, and keeps the messages received before.
  void begin_lease();
  /// Measures use and need from the records; must be called before next_changes() and
  /// any_deficit().
  void measure(double now);
  /// The changes of quota records that are due: initial records, and transfers received and sent.
  /// The transaction has no writes if no change is due. It has a precondition on every record that
  /// it writes, and the caller must write nothing else until its outcome is known. `max_writes`:
  /// the maximum number of writes in one transaction.
  [[nodiscard]] Transaction next_changes(int max_writes) const;
  /// At least one team's pending work needs more than the team's quota.
  bool any_deficit() const;
  /// The next message to `region`, which is an index into the regions file.
  RegionMessage message_to(size_t region, uint64_t fencing_token);

  /// A message of the region was received recently; only then are its surplus and requests used.
  bool has_recent_message(size_t region, double now) const;
  /// Stores the message's contents. Returns true if they require a change of the quota records.
  [[nodiscard]] bool receive_message(const RegionMessage& message, double now);

 private:
  // Order of the messages of one region: a later message supersedes an earlier one, and a message
  // of a later leader supersedes those of earlier leaders.
  struct MessageOrder {
    uint64_t fencing_token = 0;
    uint64_t number = 0;
    auto operator<=>(const MessageOrder&) const = default;
  };
  // What has been received from one region.
  struct Received {
    MessageOrder order;
    std::optional<double> received_at;
    std::map<std::string, TeamExchange> teams;
  };

  // The fields that hold the figures of one resource. The same rules apply to every resource.
  struct QuotaResource {
    uint64_t QuotaUnits::*units;            // in records and messages
    double scheduling::Resources::*amount;  // in measured use and need
    double TeamSettings::*limit;            // the limit over all regions; 0: no limit
  };
  // CPUs and accelerators; memory has no quota.
  static const std::vector<QuotaResource> quota_resources;

  static bool has_limit(const TeamSettings& team) { return team.cpus_max > 0 || team.gpus_max > 0; }
  // The record with which this region starts, before it is written.
  QuotaRecord first_record() const;
  // The team's record in the cache, or the first record if there is none yet.
  QuotaRecord record_of(const TeamSettings& team) const;
  // `resource`: an element of quota_resources.
  QuotaState quota_state(const TeamSettings& team, const QuotaRecord& record,
                         const QuotaResource& resource) const;
  const TeamExchange* received_from(size_t region, const std::string& team) const;
  // Whether the region had a recent message at the time of the last measurement.
  bool is_reachable(size_t region) const;
  // If two regions both have too little quota for any task, the later one in the regions file
  // defers to the other.
  bool defers_to(size_t region) const { return regions_->own_index > region; }

  static bool is_plausible(const QuotaRecord& record, const std::string& region,
                           const QuotaUnits& sent);
  void add_received_transfers(const TeamSettings& team, QuotaRecord& record) const;
  void add_sent_transfers(const TeamSettings& team, QuotaRecord& record) const;
  void add_surplus(const TeamSettings& team, const QuotaRecord& record, size_t region,
                   TeamExchange& out) const;
  void add_requests(const TeamSettings& team, const QuotaRecord& record, size_t region,
                    TeamExchange& out) const;

  const Settings& settings_;
  const RegionSettings* regions_;
  const RecordCache& cache_;
  QuotaUnits initial_;                                       // this region's part of every limit
  std::map<std::string, scheduling::Resources> guarantees_;  // this region's shares, by team
  std::map<std::string, Received> received_;                 // by region name
  Demands demands_;
  std::map<std::string, std::vector<RecentPeak>> peaks_;  // by team; in order of quota_resources
  std::optional<double> measured_at_;
  uint64_t next_number_ = 1;
};

}  // namespace damsonport::quotas
