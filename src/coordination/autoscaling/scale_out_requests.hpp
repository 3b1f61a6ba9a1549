// The holder's rental requests. Each is committed before it is sent, so that what it rents is never
// lost sight of, and sent again under the same name until the cloud has answered it.
#pragma once
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "storage/record_cache.hpp"
#include "transport/http.hpp"

namespace damsonport {

// What a rental request asks for.
struct MachineKind {
  std::string type, zone;
  bool spot = false;
  auto operator<=>(const MachineKind&) const = default;
};

class ScaleOutRequests {
 public:
  ScaleOutRequests(Loop& loop, const Settings& settings, KeyValueClient& store, RecordCache& cache,
                   HttpClient& http, uint64_t incarnation);
  // Called with the machines that the cloud says it has rented.
  std::function<void(const std::vector<std::string>& machines, const MachineKind&)>
      on_machines_created;

  // A grant with this term begins, or ends (0). Requests under way under an older term end without
  // a word.
  void begin_lease(uint64_t fencing_token);
  // Requests that an earlier holder, or this one, sent without getting an answer.
  void resume(const std::stop_token& stop_token);
  void scale_out(const MachineKind& kind, int count, const std::stop_token& stop_token);
  bool under_way(const MachineKind& kind) const { return under_way_.contains(kind); }
  // The cloud has refused this kind lately.
  bool refused(const MachineKind& kind) const;
  // The cloud has refused this kind, or given less of it than was asked for, within this time.
  bool scarce(const MachineKind& kind, double within_s) const;
  // Capacity of this kind has come back.
  void forget_refusal(const MachineKind& kind) { refusals_.erase(kind); }

 private:
  struct Refusal {
    double until = 0, pause_s = 0;
  };
  void start(ScaleOutRequest request, std::stop_token stop_token);
  Task<void> run(ScaleOutRequest request, std::stop_token stop_token);
  Task<void> carry_out(ScaleOutRequest request, std::stop_token stop_token);
  Task<bool> commit_request(const ScaleOutRequest& request);
  Task<HttpReply> ask_cloud(const ScaleOutRequest& request, std::stop_token stop_token);
  void note_answer(const ScaleOutRequest& request, const HttpReply& reply);
  Task<void> forget_request(std::string id);

  Loop& loop_;
  const Settings& settings_;
  KeyValueClient& store_;
  RecordCache& cache_;
  HttpClient& http_;
  const uint64_t incarnation_;
  uint64_t fencing_token_ = 0;
  std::map<MachineKind, Refusal> refusals_;
  std::map<MachineKind, double> last_refused_;
  std::map<MachineKind, int> under_way_;  // requests
  std::set<std::string> answered_;        // only their records are still to be removed
};

}  // namespace damsonport
