/// The shard leader: the one controller that decides on placements and commits changes of tasks.
///
/// Every controller has a ShardLeader. While this controller holds the shard lease, it schedules
/// tasks, answers the heartbeats of the shard's machines, proves and commits the ends of tasks, and
/// manages the machines. Without the lease it redirects heartbeats (LeaseRenewal) and cleans up
/// orphaned tasks (OrphanCleanup).
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

/// Owned by the Controller, which spawns its three coroutines: run(), run_maintenance() and
/// follow_machine_list(). These, the heartbeat handler and the callbacks of the record cache all
/// run on the loop's thread.
///
/// Invariants:
/// - Within this class, only run() and what it awaits commit changes of jobs and tasks, one
///   transaction at a time, each conditional on the shard table that contains this controller's
///   lease.
/// - The state of machines and attempts belongs to one lease; on_lease_acquired() discards it.
class ShardLeader : private TaskStateProvider {
 public:
  /// All references have to outlive the shard leader.
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
    Notification& changed;  ///< wakes run()
    uint64_t incarnation;   ///< of this process
  };
  explicit ShardLeader(Dependencies deps);

  /// Renews the shard lease, commits changes and schedules tasks, until stopped.
  Task<void> run(std::stop_token stop_token);
  /// Detects dead machines, drains machines, and scales in and out, until stopped. While another
  /// controller leads the shard, cleans up orphaned tasks instead.
  Task<void> run_maintenance(std::stop_token stop_token);
  /// Reads the cloud's machine list periodically, until stopped.
  Task<void> follow_machine_list(std::stop_token stop_token);

  /// Handles a worker's heartbeat request, encoded as received.
  HttpResponse on_heartbeat(const HttpRequest& request);
  /// Whether this controller holds the shard lease, as far as is known here.
  bool is_leading() const { return lease_.is_leading(); }
  /// The fencing token with which the lease held was acquired; 0: none is held.
  uint64_t fencing_token() const { return is_leading() ? lease_.fencing_token() : 0; }
  /// The newest fencing token of the lease held; 0: none is held.
  uint64_t newest_fencing_token() const { return is_leading() ? lease_.tokens().newest : 0; }
  /// Whether this controller is in contact with the key-value store.
  bool reaches_store() const { return contact_.in_contact(); }
  /// Tasks that the last scheduling cycle could not place.
  uint64_t pending_tasks() const { return pending_tasks_; }
  /// Number of machines that send heartbeats or that the records name.
  size_t fleet_size() const {
    return is_leading() ? machines_.size() : cache_.assignments().size();
  }
  /// Number of records that this shard leader has to write as soon as the store's rate limit
  /// allows.
  uint64_t pending_writes() const;
  /// Machines that keep sending heartbeats here although another controller leads the shard.
  uint64_t misrouted_machines() const { return lease_renewal_.misrouted_machines(); }
  /// The records have changed. `job`: the job to which the change belongs; null: none.
  void job_changed(Job* job);
  /// The job's record has been removed; the object is about to be destroyed.
  void job_gone(Job* job);
  /// A message from another region requires a change of the quota records: it reports a transfer to
  /// this region, or requests one from it.
  void on_quota_changes_due();
  /// A peer reports that the job is cancelled, possibly before the records show it.
  void on_peer_cancellation(const std::string& job);
  /// States of all replicas of several parts; empty unless this controller leads the shard.
  std::vector<replicas::ReplicaStatus> replica_statuses();
  /// The records place a task of this job on the machine from now on (`added`), or no longer do.
  void assignment_changed(const std::string& machine, const Job& job, bool added);

 private:
  // Observations of an attempt that was started under this lease, in its machine's current epoch.
  struct Attempt {
    double start_committed_at = 0;  // 0: unknown, because the start was repeated in a later epoch
    double running_at = 0;  // time of the first heartbeat that showed it running; 0: none yet
    bool image_cached = false;
  };
  /// Whether a step of run() had something to write. After a busy step the loop continues without a
  /// pause.
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
    /// Called after the commit, before its writes are applied to the cache.
    std::function<void()> on_committed;
  };
  static StepResult combine(StepResult one, StepResult other) {
    return one == StepResult::busy ? one : other;
  }
  // The proven end of an attempt, to be committed.
  struct PendingExit {
    uint64_t attempt;
    ExitCause cause;
    std::string machine;
    // About when the attempt ended, in steady time; unset if it may have ended long before this
    // shard leader learned of it.
    std::optional<double> ended_at = std::nullopt;
  };
  // A request to stop the attempt, with the seconds that the task has to save its state.
  struct StopRequest {
    uint64_t attempt;
    double grace_s;
  };

  // One run of the maintenance while this controller acts as the shard leader.
  Task<void> maintain_shard(std::stop_token stop_token);
  Task<void> scale_in_and_out(std::stop_token stop_token);
  void on_lease_acquired();
  void on_lease_lost();
  void on_token_raised();
  void step_down_if_unreachable();

  // --- cancelled jobs (shard_leader_cancellations.cpp)
  // Whether the job is cancelled according to the records or to a peer's message.
  bool is_cancelled(const Job& job) const;
  // Steady time of the cancellation, or earlier.
  double cancelled_since(const Job& job) const;
  void stop_cancelled(const Job& job);
  bool has_recent_message(const Machine& m) const;
  // Whether a recent message of the machine shows that it doesn't run the attempt.
  bool has_released_task(const std::string& machine, const TaskId& task, uint64_t attempt) const;
  // Whether a recent message of the machine shows that it runs no task of the job.
  bool has_released_job(const std::string& machine, const std::string& job) const;
  bool is_return_due(double age_s) const;
  void return_for_cancelled(const std::string& machine, const std::string& job);
  void return_machines_keeping_cancelled_tasks();
  void return_machines_listed_by_peers();

  // Takes over the exits that other controllers have forwarded: they received the heartbeats of
  // machines that can't reach this controller.
  void apply_forwarded_exits();

  // --- commits (shard_leader_commit.cpp, shard_leader_starts.cpp)
  Task<StepResult> commit_exits(std::stop_token stop_token);
  Task<StepResult> commit_final_states(std::stop_token stop_token);
  Task<StepResult> commit_starts(std::stop_token stop_token);
  void dispatch_preemptions(const scheduling::Decisions& decided);
  void note_unschedulable(const scheduling::Decisions& decided);
  Task<StepResult> commit_gang_starts(std::vector<DecidedGang> gangs, std::stop_token stop_token);
  /// Returns whether the starts of all the gang's tasks were committed.
  Task<GangStart> commit_gang_start(const DecidedGang& gang, std::stop_token stop_token);
  Task<StepResult> commit_single_starts(std::vector<DecidedStart> decided,
                                        std::stop_token stop_token);
  // For how many seconds the starts decided in one scheduling cycle may be committed before the
  // next cycle begins.
  double max_start_commit_s() const;
  void dispatch_starts(const std::vector<CommittedStart>& starts);
  /// Commits until the outcome is definite, and applies the writes to the cache. This shard leader
  /// writes nothing else meanwhile, so a start with an uncertain outcome keeps its resources and
  /// its team's quota until the outcome is known.
  Task<CommitResult> commit_and_apply(Transaction transaction, std::stop_token stop_token,
                                      CommitOptions options);
  // Whether the exit is the last one of its job, so that one transaction may commit the exit and
  // the job's end. `record`: the task's chunk, with the exit.
  bool exit_ends_job(const Job& job, const TaskChunk& record, const PendingExit& exit) const;
  // Updates the observations of jobs and machines from these committed exits, and forgets the
  // exits.
  void process_committed_exits(const std::vector<TaskId>& tasks);
  // Reads the keys anew whose preconditions failed.
  Task<void> reread_keys(std::vector<std::string> failed);
  // The limits that every write has to fit.
  const StateLimits& limits() const { return settings_.state_limits.minimum(); }
  // Whether the job's end may be committed: all its tasks are done, or it is cancelled and none of
  // its tasks is live.
  static bool is_finalizable(const Job& job) {
    return job.cancelled ? job.live == 0 : job.finished();
  }

  Task<StepResult> rechunk(std::stop_token stop_token);
  /// Commits a transaction of the rechunker; returns whether it was committed.
  Task<bool> commit_chunks(Transaction transaction, std::stop_token stop_token);
  // --- the teams' limits divided among regions (shard_leader_quotas.cpp)
  Task<StepResult> commit_quotas(std::stop_token stop_token);
  void announce_deficits();

  // --- gangs (shard_leader_gangs.cpp)
  // Notes a proven exit. In a gang, the other tasks may be done or to be stopped as well.
  void note_exit(const TaskId& task, PendingExit exit);
  bool is_stopping(const PlacedTask& task) const override;
  bool has_ended(const PlacedTask& task) const override;
  const Machine* find_machine(const std::string& id) const override;
  // Number of the gang's tasks that may be started now.
  uint32_t startable_gang_tasks(const Job& job, TaskRange gang);
  // Whether the attempt may be started on all machines of the decision.
  bool may_place_gang(const Job& job, const DecidedGang& gang, uint64_t attempt);
  // Stops the gang's tasks if its attempt has to be abandoned.
  void review_gang(const Job& job, TaskRange gang);
  // Also reviews the replicas: their states, repairs and moves.
  void review_gangs();
  void finish_gang(const Job& gang, uint64_t attempt);
  // Stops all live tasks of the gang at once.
  void stop_gang(const Job& job, TaskRange gang, double grace_s);
  void stop_task(const PlacedTask& task, double grace_s);

  SnapshotBuilder::Callbacks snapshot_callbacks();
  /// See SnapshotBuilder::Callbacks.
  double running_since(const TaskId& task, uint64_t attempt) const;
  void refresh_snapshot();
  void forget_machine(const std::string& id);

  // --- machines (shard_leader_heartbeats.cpp, shard_leader_failures.cpp)
  // Returns the machine with this id; adds it if this shard leader doesn't have it yet.
  Machine& machine(const std::string& id);
  HttpResponse on_decoded_heartbeat(const Heartbeat& heartbeat, const HttpRequest& request);
  // The error response for a machine whose worker has learned this fencing token; nullopt if the
  // machine's heartbeat may be answered now.
  std::optional<HttpResponse> refusal_response(const std::string& machine, uint64_t fencing_token);
  // Answers a heartbeat that repeats the machine's last one, without decoding the heartbeat;
  // nullopt if the heartbeat has to be decoded and processed.
  std::optional<HttpResponse> answer_repeated_heartbeat(const HttpRequest& request);
  // Returns true if a heartbeat that repeats this one need not be processed.
  // `direct`, `as_of`: see apply_heartbeat().
  bool process_heartbeat(Machine& m, const Heartbeat& heartbeat, bool direct, double as_of,
                         std::vector<Command>& commands);
  // Logs the attempts that are stopped because the records don't place them on the machine.
  void log_strays(const Machine& m, const std::vector<Command>& commands) const;
  // Notes the exits that the machine keeps, and requests the token that allows their removal.
  void note_kept_exits(Machine& m, size_t kept_exits);
  bool may_deduplicate(const Machine& m, const Heartbeat& heartbeat,
                       const ReconcileResult& outcome) const;
  // The scheduler's view of the machine, or its desired state, has changed.
  void mark_machine_changed(const std::string& machine);
  // The tasks that the records place on the machine, without those whose end is proven.
  std::vector<DesiredTask> desired_tasks_on(const Machine& m) const;
  // Records which images the machine holds and fetches, and since when its tasks run.
  void note_task_states(Machine& m);
  // Notes parts of replicas that the records place on the machine and that it doesn't report.
  void note_missing_parts(const Machine& m);
  // Forgets when the attempts on the machine were started and seen running.
  void forget_observed_times(const Machine& m);
  // Notes that the images of the machine's tasks are in use at this time.
  void note_image_uses(Machine& m, double at);
  void note_running(Machine& m, const TaskId& task, uint64_t attempt);
  // Fills the machine's image cache with the uses that this controller saw before its lease.
  void restore_image_cache(Machine& m);
  void process_committed_exit(const PendingExit& exit, const TaskId& task);
  // Returns what is known of the attempt, and forgets it with the task's other attempts.
  Attempt take_attempt(const TaskId& task, uint64_t attempt);
  void process_cause(Machine& m, const Job& job, const TaskId& task, const PendingExit& exit,
                     const Attempt& seen);
  void note_done(Machine& m, const Job& job, const PendingExit& exit, const Attempt& seen);
  void note_error(Machine& m, const JobSpec& spec);
  // Drains faulty machines, a bounded share of the fleet at a time, and ends the drain of those
  // whose failures are now attributed to a job.
  void review_faults();
  // Whether earlier shard leaders started the job's tasks repeatedly and none of them is done.
  static bool failed_under_earlier_leases(const Job& job);
  bool is_schedulable(const Machine& m) const;
  // Seconds in which a stopped task can save its state, with a margin for the message; 0 for a task
  // that never saves.
  double stop_grace_s(const JobSpec& spec) const;

  /// Whether a command that was decided earlier still agrees with the records.
  bool is_still_wanted(const Machine& m, const Command& command) const;
  CommandDispatcher::Callbacks dispatcher_callbacks();

  // --- fleet (shard_leader_machine_list.cpp, shard_leader_drains.cpp,
  // shard_leader_autoscaling.cpp)
  // Processes one machine of the cloud's machine list.
  void note_listed(const ListedMachine& listed);
  void detect_dead_machines();
  // Finds out whether the machines that left requests unanswered can be reached again.
  void review_unanswering_machines();
  bool can_not_be_answered(const Machine& m) const;
  void stop_before_preemption(const Machine& m);
  void check_drains();
  void check_stragglers();
  ScaleIn::Dependencies scale_in_dependencies();
  void on_machine_returned(const std::string& id, bool declared_dead);
  AutoscalerDriver::Dependencies autoscaler_dependencies();
  // Gives the machine no more tasks and returns it when it is empty. `reason` is for the log.
  void drain(Machine& m, const std::string& reason);

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
  // Uses of images and their times, by machine, derived from the tasks that the records place on
  // each machine. Every controller keeps these, so a new shard leader knows most of what the
  // previous one knew.
  std::unordered_map<std::string, ImageCache> images_seen_;

  std::map<std::string, Machine> machines_;
  HeartbeatDeduplicator deduplicator_;
  GangTracker gangs_;
  replicas::ReplicaManager replicas_;
  TaskFailureTracker task_failures_;
  StragglerDetector stragglers_;
  std::map<TaskId, std::map<uint64_t, Attempt>> attempts_;
  std::map<TaskId, PendingExit> exits_;
  std::set<ForwardedExit>
      outdated_exits_;  // forwarded exits that prove nothing; each is logged once
  std::map<TaskId, StopRequest> stop_requests_;
  std::set<std::string> cancelled_jobs_;  // tasks of these jobs may still be live
  ScaleIn scale_in_;
  AutoscalerDriver autoscaler_;
  Rechunker rechunker_;
  CommandDispatcher commands_;
  std::vector<autoscaling::ResourceDemand> unschedulable_;
  uint64_t pending_tasks_ = 0;
  size_t jobs_with_uncommitted_starts_ = 0;  // number of jobs whose decided starts were postponed
  bool quota_changes_due_ = false, deficit_announced_ = false;
  double next_quota_check_at_ = 0;
  double next_machine_list_at_ = 0, next_scaling_at_ = 0;
  bool scheduling_requested_ = true;
  double next_cycle_at_ = 0;
  double last_cycle_s_ = 0;  // duration of the last scheduling cycle
  SnapshotBuilder snapshot_builder_;
  std::set<std::string> finalizable_jobs_;  // see is_finalizable()
};

}  // namespace damsonport
