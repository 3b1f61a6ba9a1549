/// The users' interface: submission, status and cancellation of jobs.
#pragma once
#include <optional>
#include <string>

#include "coordination/api/job_status_reader.hpp"
#include "coordination/api/responses.hpp"
#include "coordination/api/submission_batcher.hpp"
#include "coordination/api/write_demand.hpp"
#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/leadership/version_registry.hpp"

namespace damsonport {

/// Handles the requests of users on any controller, leader or not.
///
/// Owns the submissions that wait to be written, the status requests that wait to be confirmed
/// and the estimate of the writes they need. The background tasks run_submissions() and
/// run_confirmations() serve the two queues; the other members may be called from any coroutine of
/// the event loop. What is passed to the constructor has to outlive the object.
class UserApi {
 public:
  UserApi(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
          MachineTypeCatalog& catalog, const VersionRegistry& versions);

  Task<void> run_submissions(std::stop_token stop_token);
  Task<void> run_confirmations(std::stop_token stop_token);

  /// Writes per second that users ask for: those that wait, those rejected a moment ago, and what
  /// is likely to arrive.
  double wanted_writes() const;
  /// To be called once a period; see WriteDemand.
  void begin_demand_period() { demand_.begin_period(); }

  /// Submits the job that the CBOR `body` describes. Idempotent by the job's id.
  Task<HttpResponse> submit(std::string body);
  /// The status of the job.
  Task<HttpResponse> poll(std::string id);
  /// Cancels the job. Idempotent; a job that has ended keeps its state.
  Task<HttpResponse> cancel(std::string id);

 private:
  Task<HttpResponse> status_response(std::string id);
  Task<HttpResponse> reject(std::string id, std::string reason);
  Task<HttpResponse> record(JobSpec spec);
  bool controllers_support(const JobSpec& spec) const;
  std::optional<double> overload_retry_after() const;
  Task<std::optional<HttpResponse>> try_cancel(std::string id);
  Task<std::optional<HttpResponse>> cancel_without_record(std::string id);
  Task<std::optional<HttpResponse>> write_cancellation(std::string id, KeyValue record);

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  MachineTypeCatalog& catalog_;
  const VersionRegistry& versions_;
  JobStatusReader statuses_;
  SubmissionBatcher submissions_;
  WriteDemand demand_;
};

}  // namespace damsonport
