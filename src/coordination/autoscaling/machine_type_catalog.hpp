// The machine types, read from the cloud by every node: submissions are checked against them.
#pragma once
#include "config/settings.hpp"
#include "protocol/messages.hpp"
#include "transport/warning_limiter.hpp"

namespace damsonport {

class MachineTypeCatalog {
 public:
  MachineTypeCatalog(Loop& loop, HttpClient& http, const Settings& settings)
      : loop_(loop), http_(http), settings_(settings) {}
  Task<void> follow(std::stop_token stop_token);
  bool known() const { return !types_.empty(); }
  const std::vector<MachineType>& types() const { return types_; }
  const MachineType* type(const std::string& name) const;
  // Of the dearest type, an hour.
  double dearest_price() const;

 private:
  Loop& loop_;
  HttpClient& http_;
  const Settings& settings_;
  std::vector<MachineType> types_;
  WarningLimiter warning_;
};

// Leaves out of the job's list those machine types that the cloud doesn't have.
void drop_unknown_machine_types(JobSpec& job, const std::vector<MachineType>& types);

enum class AdmissionResult : uint8_t {
  admitted,
  unknown_team,
  no_fitting_machine_type,
  over_quota_limit,
  indivisible_replicas
};
// Whether the job could ever run.
AdmissionResult check_admission(const JobSpec& job, const Settings& settings,
                                const std::vector<MachineType>& types);

}  // namespace damsonport
