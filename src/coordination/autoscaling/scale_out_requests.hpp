/// The shard leader's scale-out requests to the cloud. Each is committed to the key-value store
/// before it is sent, so that no machine that it creates is lost, and sent again under the same id
/// until the cloud has answered it.
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

/// Owned by the shard leader. Its coroutines are spawned on the leader's loop, one a request, and
/// refer to this object, which lives as long as the loop runs. They share its state only between
/// suspension points, and end by themselves under a new lease or when their stop token is stopped.
class ScaleOutRequests {
 public:
  ScaleOutRequests(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
                   HttpClient& http, uint64_t incarnation);

  /// Called with the ids of the machines that the cloud says it has created.
  std::function<void(const std::vector<std::string>& machines, const MachineKind&)>
      on_machines_created;

  /// A lease with this fencing token begins; 0: it ends. Pending requests of an older lease end
  /// without any effect here; their records remain, for `resume`.
  void begin_lease(uint64_t fencing_token);
  /// Sends the committed requests, of this leader or an earlier one, that have no answer yet and
  /// whose kind has no pending request.
  void resume(const std::stop_token& stop_token);
  /// Requests `count` machines, or as many as a call may ask for, in several requests if need be.
  void scale_out(const MachineKind& kind, int count, const std::stop_token& stop_token);

  /// A request for this kind has not been answered yet.
  bool has_pending(const MachineKind& kind) const { return pending_counts_.contains(kind); }
  /// The cloud has refused this kind so lately that it isn't asked for it now.
  bool is_refused(const MachineKind& kind) const;
  /// The cloud has refused this kind, or created fewer than requested, within this time.
  bool is_scarce(const MachineKind& kind, double within_s) const;
  /// Capacity of this kind has come back.
  void clear_refusal(const MachineKind& kind) { refusals_.erase(kind); }

 private:
  struct Refusal {
    double until = 0;
    double backoff_s = 0;
  };
  void spawn_request(ScaleOutRequest request, std::stop_token stop_token);
  Task<void> run_request(ScaleOutRequest request, std::stop_token stop_token);
  Task<void> send_and_record(ScaleOutRequest request, std::stop_token stop_token);
  Task<bool> commit_request(const ScaleOutRequest& request);
  Task<HttpReply> send_with_retries(const ScaleOutRequest& request, std::stop_token stop_token);
  void apply_reply(const ScaleOutRequest& request, const HttpReply& reply);
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
  std::map<MachineKind, int> pending_counts_;  // requests
  std::set<std::string> answered_requests_;    // whose records are still to be removed
};

}  // namespace damsonport
