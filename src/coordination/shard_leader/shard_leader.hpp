// The holder of a grant: sole placer for its teams and sole answerer of its machines' reports.
#pragma once
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "coordination/autoscaling/autoscaler_driver.hpp"
#include "coordination/autoscaling/machine_type_catalog.hpp"
#include "coordination/autoscaling/scale_in.hpp"
#include "coordination/leadership/exit_forwarder.hpp"
#include "coordination/leadership/lease_renewal.hpp"
#include "coordination/leadership/peer_network.hpp"
#include "coordination/leadership/shard_lease_keeper.hpp"
#include "coordination/leadership/version_registry.hpp"
#include "coordination/machines/command_dispatcher.hpp"
#include "coordination/machines/failure_detector.hpp"
#include "coordination/machines/heartbeat_deduplicator.hpp"
#include "coordination/machines/machine.hpp"
#include "coordination/machines/machine_list_reader.hpp"
#include "coordination/machines/orphan_cleanup.hpp"
#include "coordination/machines/reconcile.hpp"
#include "coordination/machines/straggler.hpp"
#include "coordination/machines/task_failure_tracker.hpp"
#include "coordination/quotas/region_network.hpp"
#include "coordination/replicas/replica_manager.hpp"
#include "coordination/scheduling/gang_tracker.hpp"
#include "coordination/scheduling/rechunker.hpp"
#include "coordination/scheduling/scheduler.hpp"
#include "coordination/scheduling/snapshot_builder.hpp"
#include "coordination/scheduling/start_edits.hpp"

namespace damsonport {

class ShardLeader : private TaskFacts {
 public:
  struct Dependencies {
    Loop& loop;
    const Settings& settings;
    KeyValueClient& store;
    RecordCache& cache;
    HttpClient& http;
    MachineTypeCatalog& catalog;
    PeerNetwork& peer_network;
    const CancellationGossip& cancellations;
    Election& election;
    const VersionRegistry& versions;
    ExitForwarder& exit_forwarder;
    quotas::TeamQuotas& quotas;
    quotas::RegionNetwork& regions;
    Notification& changed;
    uint64_t incarnation;
  };
  explicit ShardLeader(Dependencies deps);

  // Grants, commits, placement.
  Task<void> run(std::stop_token stop_token);
  // Silence, drains, returns and rentals.
  Task<void> run_maintenance(std::stop_token stop_token);
  // What the cloud says is there.
  Task<void> follow_machine_list(std::stop_token stop_token);

  // The answer to a report in the form in which it came.
  HttpResponse on_heartbeat(const HttpRequest& request);
  bool is_leading() const { return lease_.is_leading(); }
  /// Of the lease held; 0: none.
  uint64_t fencing_token() const { return is_leading() ? lease_.fencing_token() : 0; }
  uint64_t pending_tasks() const { return pending_tasks_; }
  // Machines that report, or are named by the records.
  size_t fleet_size() const {
    return is_leading() ? machines_.size() : cache_.assignments().size();
  }
  // Records that it would write at once if it could.
  uint64_t waiting_writes() const;
  // Machines that keep coming here although another node holds them.
  uint64_t misrouted_machines() const { return lease_renewal_.misrouted_machines(); }
  void job_changed(Job* job);
  void job_gone(Job* job);
  // Another region has given budget, or asks for some.
  void on_quota_news();
  // Another controller says that the job is cancelled; the records may follow.
  void cancelled_elsewhere(const std::string& job);
  // Replicas of several parts, as this holder knows them; none where it holds nothing.
  std::vector<replicas::ReplicaStatus> replica_statuses();
  // The records put a task of this job on the machine, or took one away.
  void assignment_changed(const std::string& machine, const Job& job, bool added);

 private:
  struct Attempt {
    double ordered_at = 0;
    double running_at = 0;  // first seen running
    bool image_cached = false;
  };
  /// Whether a step of the scheduling loop had something to write. After a busy step the loop goes
  /// on without a pause.
  enum class StepResult : uint8_t { idle, busy };
  enum class CommitResult : uint8_t { committed, not_committed };
  enum class GangStart : uint8_t { complete, incomplete };
  /// Whether the changes of a commit are a reason for another scheduling cycle.
  enum class AfterCommit : uint8_t {
    request_cycle,
    /// The cycle that decided the commit has counted its changes.
    keep_cycle_request,
  };
  struct CommitOptions {
    AfterCommit after = AfterCommit::request_cycle;
    /// Called between the commit and its taking effect here.
    std::function<void()> on_committed;
  };
  static StepResult combine(StepResult one, StepResult other) {
    return one == StepResult::busy ? one : other;
  }
  struct PendingExit {
    uint64_t attempt;
    ExitCause cause;
    std::string machine;
  };
  struct Stopping {
    uint64_t attempt;
    double grace_s;
  };

  void on_lease_acquired();
  void on_lease_lost();
  void step_down_if_unreachable();

  // --- cancelled jobs
  bool is_cancelled(const Job& job) const;
  double cancelled_since(const Job& job) const;
  void stop_cancelled(const Job& job);
  bool has_released(const std::string& machine, const TaskId& task, uint64_t attempt) const;

  // Exits that other controllers were told of by machines that can't reach us.
  void apply_forwarded_exits();

  // --- committing (holder_commit.cpp)
  Task<StepResult> commit_exits(std::stop_token stop_token);
  Task<StepResult> commit_finals(std::stop_token stop_token);
  Task<StepResult> commit_starts(std::stop_token stop_token);
  void dispatch_preemptions(const scheduling::Decisions& decided);
  void note_unschedulable(const scheduling::Decisions& decided);
  Task<StepResult> commit_gang_starts(std::vector<DecidedGang> gangs, std::stop_token stop_token);
  /// Whether all of the gang was committed.
  Task<GangStart> commit_gang_start(const DecidedGang& gang, std::stop_token stop_token);
  Task<StepResult> commit_single_starts(std::vector<DecidedStart> decided,
                                        std::stop_token stop_token);
  // How long the starts of one pass may be committed before the next pass.
  double starts_may_take_s() const;
  void dispatch_starts(const std::vector<CommittedStart>& starts);
  /// Commits until the outcome is definite and applies the writes here. Nothing else of this shard
  /// leader is written meanwhile, so whatever has an uncertain outcome keeps its resources and its
  /// team's quota until the outcome is known.
  Task<CommitResult> commit_and_apply(Transaction transaction, std::stop_token stop_token,
                                      CommitOptions options);
  // An exit that is the last of its job, in a transaction that may end the job with it.
  bool ends_with(const Job& job, const TaskChunk& record, const PendingExit& exit) const;
  // What the exits that were committed teach, and their end here.
  void finish_exits(const std::vector<TaskId>& tasks);
  Task<void> reread(std::vector<std::string> failed);
  // What every write has to fit.
  const StateLimits& limits() const { return settings_.state_limits.minimum(); }
  static bool is_over(const Job& job) { return job.cancelled ? job.live == 0 : job.finished(); }

  Task<StepResult> rechunk(std::stop_token stop_token);
  /// For the rechunker: whether its transaction was committed.
  Task<bool> commit_chunks(Transaction transaction, std::stop_token stop_token);
  // --- the teams' limits among regions (holder_budgets.cpp)
  Task<StepResult> commit_quotas(std::stop_token stop_token);
  void send_deficits();

  // --- gangs (holder_gangs.cpp)
  // Takes note of a proven exit; of a gang it says something about the other tasks too.
  void note_exit(const TaskId& task, PendingExit exit);
  bool is_stopping(const PlacedTask& task) const override;
  bool has_ended(const PlacedTask& task) const override;
  const Machine* find_machine(const std::string& id) const override;
  // Tasks that may be started now.
  uint32_t startable_gang_tasks(const Job& job, TaskRange gang);
  void review_gang(const Job& job, TaskRange gang);
  void review_gangs();
  void finish_gang(const Job& gang, uint64_t attempt);
  // Tells every task of the attempt at once.
  void stop_gang(const Job& job, TaskRange gang, double grace_s);
  void stop_task(const PlacedTask& task, double grace_s);

  SnapshotBuilder::Facts snapshot_facts();
  /// See SnapshotBuilder::Facts.
  double running_since(const TaskId& task, uint64_t attempt) const;
  void refresh_snapshot();
  void forget_machine(const std::string& id);

  // --- machines (shard_leader_heartbeats.cpp, shard_leader_failures.cpp)
  Machine& machine(const std::string& id);
  HttpResponse on_decoded_heartbeat(const Heartbeat& r, const HttpRequest& request);
  // Why a machine that has seen this token isn't answered now; nothing: it is.
  std::optional<HttpResponse> refusal(const std::string& machine, uint64_t fencing_token);
  // Answers a report that repeats the last one, without looking into it; nothing: it doesn't.
  std::optional<HttpResponse> answer_repeated_heartbeat(const HttpRequest& request);
  // True: a report that says the same again need not be looked into.
  // `as_of`: see apply_heartbeat().
  bool process_heartbeat(Machine& m, const Heartbeat& r, bool direct, double as_of,
                         std::vector<Command>& commands);
  bool may_deduplicate(const Machine& m, const Heartbeat& r, const ReconcileResult& outcome) const;
  // What placement sees of the machine, or what is expected of it, has changed.
  void mark_changed(const std::string& machine);
  std::vector<DesiredTask> desired_tasks_on(const Machine& m) const;
  void note_states(Machine& m);
  // Parts of replicas that the records place on the machine and that it doesn't have.
  void note_absent_parts(const Machine& m);
  // The images of its tasks are in use at this time.
  void note_images(Machine& m, double at);
  void note_running(Machine& m, const TaskId& task, uint64_t attempt);
  void recall_images(Machine& m);
  void finish_exit(const PendingExit& exit, const TaskId& task);
  void note_error(Machine& m, const JobSpec& spec);
  // Drains the machines at fault, a bounded share of the fleet at a time, and takes back those for
  // which the blame has gone to a job.
  void review_faults();
  // A job whose tasks were started again and again by earlier holders and of which nothing is done.
  static bool failed_before(const Job& job);
  bool is_schedulable(const Machine& m) const;
  // Enough for a task that saves, with some room for the message; 0 for one that never does.
  double stop_grace(const JobSpec& s) const;

  /// Whether the command, which was decided before, still in_sync with the records.
  bool is_still_wanted(const Machine& m, const Command& command) const;
  CommandDispatcher::Callbacks dispatcher_callbacks();

  // --- fleet (shard_leader_machine_list.cpp, shard_leader_drains.cpp,
  // shard_leader_autoscaling.cpp)
  void note_listed(const ListedMachine& listed);
  void detect_dead_machines();
  void check_cancelled_tasks();
  void stop_before_preemption(const Machine& m);
  void check_drains();
  void check_stragglers();
  ScaleIn::Dependencies scale_in_dependencies();
  void on_machine_returned(const std::string& id, bool declared_dead);
  AutoscalerDriver::Dependencies autoscaler_dependencies();
  void drain(Machine& m, const std::string& why);

  Dependencies deps_;
  Loop& loop_;
  const Settings& settings_;
  const Tuning& tuning_;
  RecordCache& cache_;

  ShardLeaseKeeper lease_;

  StoreContact contact_;
  LeaseRenewal lease_renewal_;
  MachineListReader machine_list_;
  OrphanCleanup orphan_cleanup_;
  FailureDetector failure_detector_;
  // Which images the records put on which machine and when, seen by every node from the changes it
  // follows, so that a new holder knows most of what the last one knew.
  std::unordered_map<std::string, ImageCache> images_seen_;

  std::map<std::string, Machine> machines_;
  HeartbeatDeduplicator deduplicator_;
  GangTracker gangs_;
  replicas::ReplicaManager replicas_;
  TaskFailureTracker task_failures_;
  StragglerDetector stragglers_;
  std::map<TaskId, std::map<uint64_t, Attempt>> attempts_;
  std::map<TaskId, PendingExit> exits_;
  std::map<TaskId, Stopping> stopping_;
  std::set<std::string> cancelled_;  // jobs, whose tasks may still be there
  ScaleIn scale_in_;
  AutoscalerDriver autoscaler_;
  Rechunker rechunker_;
  CommandDispatcher commands_;
  std::vector<autoscaling::ResourceDemand> unschedulable_;
  uint64_t pending_tasks_ = 0;
  size_t uncommitted_starts_ = 0;  // jobs whose starts the last pass decided and put off
  bool quota_news_ = false, deficit_sent_ = false;
  double next_quotas_at_ = 0;
  double next_list_ = 0, next_scaling_at_ = 0;
  bool scheduling_requested_ = true;
  double next_cycle_at_ = 0;
  double last_cycle_s_ = 0;  // how long the last pass of placement took
  SnapshotBuilder snapshot_builder_;
  std::set<std::string> over_;  // jobs whose end may be committed
};

}  // namespace damsonport
