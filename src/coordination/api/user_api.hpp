/// The HTTP API for users: submission, status and cancellation of jobs.
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

/// Handles the requests of users on any controller, whether it leads or not.
///
/// Owns the queue of pending submissions, the queue of status requests whose version has to be
/// confirmed, and the estimate of the writes that users need. The background tasks
/// run_submissions() and run_confirmations() process the two queues; the other members may be
/// called from any coroutine of the event loop. The objects passed to the constructor must outlive
/// the UserApi.
class UserApi {
 public:
  UserApi(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
          MachineTypeCatalog& catalog, const VersionRegistry& versions);

  /// Background task that writes pending submissions until a stop is requested.
  Task<void> run_submissions(std::stop_token stop_token);
  /// Background task that confirms the versions of status requests until a stop is requested.
  Task<void> run_confirmations(std::stop_token stop_token);

  /// Writes per second that the users of this controller need: for pending and for recently
  /// rejected submissions and for the expected arrivals.
  double wanted_writes() const;
  /// Must be called once per period; see WriteDemand.
  void begin_demand_period() { demand_.begin_period(); }

  /// Submits the job that the CBOR `body` describes. Idempotent: if a job with the same id is
  /// known, responds with its status. Errors: 400, 422, 429 and 503.
  Task<HttpResponse> submit(std::string body);
  /// Responds with the status of the job. Errors: 404 and 503.
  Task<HttpResponse> poll(std::string id);
  /// Cancels the job. Idempotent; a job that has ended keeps its state. Errors: 404 and 503.
  Task<HttpResponse> cancel(std::string id);

 private:
  Task<HttpResponse> status_response(std::string id);
  Task<HttpResponse> reject(std::string id, HttpResponse rejection);
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
