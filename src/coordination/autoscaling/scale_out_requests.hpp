/// The shard leader's scale-out requests to the cloud. Each request is committed to the key-value
/// store before it is sent, so that no machine that the cloud creates for the request is lost, and
/// is retried under the same id.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <stop_token>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "coordination/autoscaling/machine_types.hpp"
#include "storage/record_cache.hpp"
#include "transport/http.hpp"

namespace damsonport {

/// Sends scale-out requests and tracks refusals per machine kind. The AutoscalerDriver owns the
/// object, and the shard leader owns the driver. Each request runs in a coroutine of its own, which
/// is spawned on the leader's loop and refers to this object, so this object must live as long as
/// the loop runs. The coroutines access the shared state only between their suspension points. They
/// end by themselves when a new lease begins or a stop is requested through their stop token.
class ScaleOutRequests {
 public:
  ScaleOutRequests(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
                   HttpClient& http, uint64_t incarnation);

  /// Called with the ids of the machines that the cloud has created, as stated in its reply.
  std::function<void(const std::vector<std::string>& machines, const MachineKind&)>
      on_machines_created;

  /// Starts a lease with this fencing token; the token 0 ends the lease. Pending requests of an
  /// earlier lease end without effect on this object. Their records remain in the key-value store
  /// for resume().
  void begin_lease(uint64_t fencing_token);
  /// Resumes the committed requests, of this shard leader or an earlier one, whose record is not
  /// removed yet and whose kind has no pending request.
  void resume(const std::stop_token& stop_token);
  /// Requests `count` machines, split into several requests where necessary. One call requests a
  /// limited number of machines; those beyond the limit are not requested.
  void scale_out(const MachineKind& kind, int count, const std::stop_token& stop_token);

  /// Whether a request for this kind is in progress.
  bool has_pending(const MachineKind& kind) const { return pending_counts_.contains(kind); }
  /// Whether the backoff after a refusal of this kind is not over yet; no machines of the kind are
  /// requested until then.
  bool is_refused(const MachineKind& kind) const;
  /// Whether the cloud has refused this kind, or created fewer machines than requested, within the
  /// last `within_s` seconds.
  bool is_scarce(const MachineKind& kind, double within_s) const;
  /// Ends the backoff of this kind, because capacity of the kind is available again.
  void clear_refusal(const MachineKind& kind) { refusals_.erase(kind); }

 private:
  struct Refusal {
    double until = 0;      // end of the backoff, by the loop's clock
    double backoff_s = 0;  // length of the last backoff
  };
  void spawn_request(ScaleOutRequest request, std::stop_token stop_token);
  Task<void> run_request(ScaleOutRequest request, std::stop_token stop_token);
  Task<void> send_and_record(ScaleOutRequest request, std::stop_token stop_token);
  Task<bool> commit_request(const ScaleOutRequest& request);
  Task<HttpClientResponse> send_with_retries(const ScaleOutRequest& request,
                                             std::stop_token stop_token);
  void apply_reply(const ScaleOutRequest& request, const HttpClientResponse& reply);
  Task<void> remove_record(std::string id);

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  HttpClient& http_;
  const uint64_t incarnation_;
  uint64_t fencing_token_ = 0;
  std::map<MachineKind, Refusal> refusals_;
  std::map<MachineKind, double> last_refused_at_;
  std::map<MachineKind, int> pending_counts_;  // number of requests in progress
  // Ids of answered requests whose records are still to be removed.
  std::set<std::string> answered_requests_;
};

}  // namespace damsonport
