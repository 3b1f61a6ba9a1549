/// This region's quotas of the teams' limits: what scheduling may use, what is transferred between
/// regions, and the messages about it.
///
/// The records are the only truth. A transfer is committed by its sender before it is announced,
/// and counted by its receiver after that, so the quotas of all regions together never exceed the
/// limit, whichever controller ends or is cut off in between (docs/regions.md).
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

/// One of each controller. The shard leader measures and changes records; the coroutine and the
/// streams of RegionNetwork read messages into it and make messages from it, on the same loop.
class TeamQuotas {
 public:
  /// `regions`: null where limits are not divided.
  TeamQuotas(const Settings& settings, const RegionSettings* regions, const RecordCache& cache);

  /// The limits are divided: by the regions file, or by an earlier leader according to the records.
  bool divided() const { return regions_ || !cache_.quotas().empty(); }
  /// Units can be transferred from here.
  bool exchanging() const { return regions_ && regions_->regions.size() > 1; }

  /// What the team's tasks in this region may use at once; 0: no limit.
  scheduling::Resources limit(const TeamSettings& team) const;
  /// This region's share of the guaranteed quota.
  scheduling::Resources guarantee(const TeamSettings& team) const;

  /// A shard lease begins: messages received before still count, what was measured doesn't.
  void begin_lease();
  /// Measures use and need from the records; to be called before the next two.
  void measure(double now);
  /// The changes of records that are due: first records, transfers received and sent; without any
  /// write if none is. Every record is named by a precondition, and nothing else may be written
  /// until the outcome is known. `max_writes`: of one transaction.
  [[nodiscard]] Transaction next_changes(int max_writes) const;
  /// Some team's pending work needs more than its quota.
  bool any_deficit() const;
  /// The next message to this region, by its place in the regions file.
  RegionMessage message_to(size_t region, uint64_t fencing_token);

  /// A message of the region was received lately; its surplus and requests count only then.
  bool has_recent_message(size_t region, double now) const;
  /// True if something in it calls for a change of records.
  [[nodiscard]] bool receive_message(const RegionMessage& message, double now);

 private:
  // Later messages of a region supersede earlier ones, also those of an earlier leader.
  struct MessageOrder {
    uint64_t fencing_token = 0;
    uint64_t number = 0;
    auto operator<=>(const MessageOrder&) const = default;
  };
  // Of one region.
  struct Received {
    MessageOrder order;
    std::optional<double> received_at;
    std::map<std::string, TeamExchange> teams;
  };

  // Where the figures of one resource are: the rules are the same for each of them.
  struct QuotaResource {
    uint64_t QuotaUnits::*units;            // in records and messages
    double scheduling::Resources::*amount;  // in what is used and needed
    double TeamSettings::*limit;            // the team's limit in all regions; 0: none
  };
  // CPUs and accelerators: memory has no quota.
  static const std::vector<QuotaResource> quota_resources;

  static bool has_limit(const TeamSettings& team) { return team.cpus_max > 0 || team.gpus_max > 0; }
  QuotaRecord first_record() const;
  QuotaRecord record_of(const TeamSettings& team) const;
  // `resource`: an element of quota_resources.
  QuotaState quota_state(const TeamSettings& team, const QuotaRecord& record,
                         const QuotaResource& resource) const;
  const TeamExchange* received_from(size_t region, const std::string& team) const;
  // As of the last measurement.
  bool is_reachable(size_t region) const;
  // Of two regions with too little each, the later one in the file defers.
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
  QuotaUnits initial_;                                       // this region's, of every limit
  std::map<std::string, scheduling::Resources> guarantees_;  // its shares, by team
  std::map<std::string, Received> received_;                 // by region
  Demands demands_;
  std::map<std::string, std::vector<RecentPeak>> peaks_;  // by team, as quota_resources
  std::optional<double> measured_at_;
  uint64_t next_number_ = 1;
};

}  // namespace damsonport::quotas
