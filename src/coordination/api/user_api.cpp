#include "coordination/api/user_api.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/api/admission.hpp"

namespace damsonport {

namespace {

/// Maximum time that a submission is expected to wait for its write. Users give up after 5 s
/// without a response.
constexpr double max_submission_wait_s = 1.5;
/// Limits of the Retry-After header of a rejected submission. Users repeat a rejected request for
/// one minute in total.
constexpr double min_retry_after_s = 1;
constexpr double max_retry_after_s = 8;
constexpr int max_cancel_attempts = 4;

/// Error text that tells the user why the job can never run.
const char* rejection_reason(AdmissionResult admission) {
  switch (admission) {
    case AdmissionResult::admitted:
      return "";
    case AdmissionResult::unknown_team:
      return "unknown team";
    case AdmissionResult::no_fitting_machine_type:
      return "a task fits no allowed machine type";
    case AdmissionResult::over_quota_limit:
      return "more than the team's limit";
    case AdmissionResult::indivisible_replicas:
      return "the tasks don't divide into whole replicas of this class";
  }
  return "";
}

}  // namespace

UserApi::UserApi(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
                 MachineTypeCatalog& catalog, const VersionRegistry& versions)
    : loop_(loop),
      settings_(settings),
      store_(store),
      cache_(cache),
      catalog_(catalog),
      versions_(versions),
      statuses_(loop, settings, store, cache),
      submissions_(loop, settings, store, cache),
      demand_(settings.heartbeat_interval_s) {}

Task<void> UserApi::run_submissions(std::stop_token stop_token) {
  return submissions_.run(std::move(stop_token));
}

Task<void> UserApi::run_confirmations(std::stop_token stop_token) {
  return statuses_.run(std::move(stop_token));
}

double UserApi::wanted_writes() const {
  return demand_.estimate(submissions_.pending(), loop_.now());
}

Task<HttpResponse> UserApi::poll(std::string id) {
  if (!valid_job_id(id)) co_return not_found();
  if (!cache_.loaded()) co_return unavailable();
  co_return co_await status_response(std::move(id));
}

Task<HttpResponse> UserApi::status_response(std::string id) {
  const JobStatus status = co_await statuses_.read(id);
  co_return to_response(id, status);
}

Task<HttpResponse> UserApi::submit(std::string body) {
  auto error = cbor::DecodeError::none;
  const auto message = decode_map(body, error);
  if (error != cbor::DecodeError::none) co_return undecodable(describe(error));
  auto spec = decode_submission(message);
  if (!spec) co_return bad_request(spec.error());
  if (!cache_.loaded() || !catalog_.loaded()) co_return unavailable();
  if (cache_.job(spec->id) || cache_.final_state(spec->id))
    co_return co_await status_response(spec->id);
  // The current replica settings are recorded with the job, which keeps them when the operators
  // change the file.
  settings_.replicas.apply_to(*spec);
  const AdmissionResult admission = check_admission(*spec, settings_, catalog_.types());
  if (admission != AdmissionResult::admitted)
    co_return co_await reject(spec->id, unprocessable(rejection_reason(admission)));
  if (!controllers_support(*spec)) co_return unavailable();
  demand_.note_arrival(loop_.now());
  if (const auto retry_after_s = overload_retry_after()) {
    demand_.note_rejection();
    co_return too_many_requests(*retry_after_s);
  }
  spec->accepted_at = loop_.unix_time();
  drop_unknown_machine_types(*spec, catalog_.types());
  if (!job_record_fits(*spec, settings_.state_limits.minimum().value_kb))
    co_return bad_request("the job's names are too long");
  co_return co_await record(std::move(*spec));
}

// A job that was accepted earlier stays accepted, even if this submission of it is rejected.
Task<HttpResponse> UserApi::reject(std::string id, HttpResponse rejection) {
  const JobStatus status = co_await statuses_.read(id);
  if (status.state == JobStatus::State::unknown) co_return rejection;
  co_return to_response(id, status);
}

// A controller of an older version would run the tasks of a gang or a replica independently.
bool UserApi::controllers_support(const JobSpec& spec) const {
  if (spec.kind == JobKind::gang && !versions_.all_have_recorded(VersionRegistry::gangs))
    return false;
  return !spec.replicated() || versions_.all_have_recorded(VersionRegistry::replicas);
}

// Limits the pending submissions to the number that can be written soon. Returns the seconds after
// which a rejected user should retry, or nullopt if another submission may be queued.
std::optional<double> UserApi::overload_retry_after() const {
  const double rate = store_.rate_limiter().writes_per_s();
  const double max_pending = std::max(rate * max_submission_wait_s, 1.0);
  if (static_cast<double>(submissions_.pending()) < max_pending) return std::nullopt;
  const size_t ahead = submissions_.pending() + demand_.rejected() + 1;
  return std::clamp(static_cast<double>(ahead) / rate, min_retry_after_s, max_retry_after_s);
}

Task<HttpResponse> UserApi::record(JobSpec spec) {
  const std::string id = spec.id;
  switch (co_await submissions_.submit(std::move(spec))) {
    case SubmissionOutcome::accepted:
      co_return HttpResponse{201, encode_job_status(id, "queued"), 0};
    case SubmissionOutcome::already_known:
      co_return co_await status_response(id);
    case SubmissionOutcome::malformed:
      co_return co_await reject(id, bad_request("the key-value store refuses the job's record"));
    case SubmissionOutcome::unavailable:
      break;
  }
  co_return unavailable();
}

Task<HttpResponse> UserApi::cancel(std::string id) {
  if (!valid_job_id(id)) co_return not_found();
  if (!cache_.loaded()) co_return unavailable();
  for (int attempt = 0; attempt < max_cancel_attempts; ++attempt)
    if (auto response = co_await try_cancel(id)) co_return std::move(*response);
  co_return unavailable();
}

// Returns nullopt if the job has changed in the meantime, so that the caller has to retry.
Task<std::optional<HttpResponse>> UserApi::try_cancel(std::string id) {
  if (const auto final_state = cache_.final_state(id))
    co_return to_response(id, final_status(*final_state));
  auto record = co_await store_.get(keys::job(id), RequestPriority::accepting);
  if (!record.answered()) co_return unavailable();
  if (!record.found()) co_return co_await cancel_without_record(id);
  if (record.key_value.value.value(fields::cancelled, 0) != 0) {
    cache_.apply(record.key_value);
    co_return to_response(id, {JobStatus::State::aborted, {}});
  }
  co_return co_await write_cancellation(id, std::move(record.key_value));
}

Task<std::optional<HttpResponse>> UserApi::cancel_without_record(std::string id) {
  const auto final_record = co_await store_.get(keys::final_state(id), RequestPriority::accepting);
  if (!final_record.answered()) co_return unavailable();
  if (final_record.found()) {
    cache_.cache_final_state(id, decode_final_state(final_record.key_value.value));
    co_return std::nullopt;
  }
  // The job was either never accepted, or was accepted between the two reads; the confirmed status
  // distinguishes the two cases.
  auto response = co_await status_response(id);
  if (response.status != 200) co_return std::move(response);
  co_return std::nullopt;
}

Task<std::optional<HttpResponse>> UserApi::write_cancellation(std::string id, KeyValue record) {
  demand_.note_arrival(loop_.now());
  Transaction transaction;
  transaction.preconditions[keys::job(id)] = record.version;
  record.value[fields::cancelled] = 1;
  record.value[fields::cancelled_at] = loop_.unix_time();
  transaction.writes.push_back({keys::job(id), std::move(record.value), 0});
  auto writes = transaction.writes;
  const auto result =
      co_await store_.compare_and_swap(std::move(transaction), RequestPriority::accepting);
  if (result.outcome == TransactionOutcome::committed) {
    // The cache must contain the cancellation before the user is told of it, so it is not left to
    // the watch. Whether tasks were started in the meantime is checked when their exits are
    // committed.
    cache_.apply_writes(writes, result.revision);
    spdlog::info("job {} is cancelled by its user", id);
    co_return to_response(id, {JobStatus::State::aborted, {}});
  }
  if (result.outcome == TransactionOutcome::refused) co_return unavailable();
  co_return std::nullopt;
}

}  // namespace damsonport
