// This region's budgets of the teams' limits: what placement may use, what is moved between
// regions, and what is said to them about it.
//
// The records are the only truth. A gift is committed here before it is told, and counted there
// after it was committed, so the budgets of all regions together never exceed the limit, whoever
// ends or is cut off in between (docs/regions.md).
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

class TeamQuotas {
 public:
  // `regions`: null where limits are not divided.
  TeamQuotas(const Settings& settings, const RegionSettings* regions, const RecordCache& cache);

  // The limits are divided: by the regions file, or by an earlier holder according to the records.
  bool divided() const { return regions_ || !cache_.quotas().empty(); }
  // Budgets can be moved from here.
  bool exchanging() const { return regions_ && regions_->regions.size() > 1; }

  // What the team's tasks in this region may use at once; 0: no limit.
  scheduling::Resources limit(const TeamSettings& team) const;
  // Of the guarantee, what work in this region has.
  scheduling::Resources guarantee(const TeamSettings& team) const;

  // A new term begins: what was heard before still counts, what was measured doesn't.
  void begin_lease();
  // What the records say now; to be called before the two below.
  void measure(double now);
  // The changes of records that are due: first records, what came, what is given. Empty: none.
  // Every record is named by a condition, and nothing else may be written until the outcome is
  // known. `most`: puts in one transaction.
  Transaction next_changes(int most) const;
  // What to tell this region.
  RegionMessage message_to(size_t region, uint64_t fencing_token);
  // Some team's work waits for budget.
  bool any_deficit() const;

  // The region was heard lately; its hints are heeded only then.
  bool fresh(size_t region, double now) const;
  // True if something in it calls for a change of records.
  bool receive_message(const RegionMessage& message, double now);

 private:
  struct Received {
    uint64_t fencing_token = 0, number = 0;
    double at = never;
    std::map<std::string, TeamExchange> teams;
  };
  static constexpr double never = -1e9;

  // One resource of a team: where its figures are in the records of several kinds.
  struct Resource {
    uint64_t QuotaUnits::*units;
    double scheduling::Resources::*amount;
    double TeamSettings::*limit;
  };
  static const std::vector<Resource> resources;

  static bool limited(const TeamSettings& team) { return team.cpus_max > 0 || team.gpus_max > 0; }
  QuotaRecord first_record() const;
  QuotaRecord record_of(const TeamSettings& team) const;
  Standing standing(const TeamSettings& team, const QuotaRecord& record,
                    const Resource& resource) const;
  const TeamExchange* received_from(size_t region, const std::string& team) const;
  // Of two regions with too little each, the later one in the file gives way.
  bool defers_to(size_t region) const { return regions_->own_index > region; }

  static bool plausible(const QuotaRecord& record, const std::string& region,
                        const QuotaUnits& sent);
  void receive(const TeamSettings& team, QuotaRecord& record) const;
  void give(const TeamSettings& team, QuotaRecord& record) const;
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
  std::map<std::string, std::vector<RecentPeak>> peaks_;  // by team, one a resource
  double measured_at_ = never;
  uint64_t next_number_ = 1;
};

}  // namespace damsonport::quotas
