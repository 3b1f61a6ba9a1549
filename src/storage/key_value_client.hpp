/// Client of the key-value store: transactions, reads, watches and leases.
///
/// The store's messages have field names of their own; they occur in key_value_client.cpp only.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "storage/key_value.hpp"
#include "storage/rate_limiter.hpp"
#include "storage/steady_time.hpp"
#include "transport/http.hpp"

namespace damsonport {

struct Write {
  std::string key;
  Json value;          // null: delete
  uint64_t lease = 0;  // that the key is attached to; 0: none
};

/// Writes that are applied together, or not at all when a precondition fails.
struct Transaction {
  std::map<std::string, uint64_t> preconditions;  // key -> version; 0: the key is absent
  std::vector<Write> writes;
};

enum class TransactionOutcome : uint8_t {
  committed,
  conflict,  // definite: a precondition failed, nothing was applied
  refused,   // definite: not executed, for the rate or an outage (429, 503)
  invalid,   // definite: malformed, for example with a lease that has ended (400)
  unknown,   // may have been applied, or may yet be
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::unknown;
  uint64_t revision = 0;                 // of the commit or the conflict
  std::vector<std::string> failed_keys;  // whose preconditions failed
};

enum class GetStatus : uint8_t { found, absent, unavailable };

struct GetResult {
  GetStatus status = GetStatus::unavailable;
  // Absent: without a value, and with the revision at which the key is absent as its version.
  KeyValue key_value;

  bool found() const { return status == GetStatus::found; }
  /// The store has said whether the key exists.
  bool answered() const { return status != GetStatus::unavailable; }
};

enum class ReadStatus : uint8_t {
  ok,
  unavailable,
  compacted,  // watches only: the store no longer has the changes that were asked for
};

/// One page of a listing.
struct RangeResult {
  ReadStatus status = ReadStatus::unavailable;
  bool has_more = false;  // further keys follow after the last one here
  uint64_t revision = 0;
  std::vector<KeyValue> key_values;
};

struct WatchResult {
  ReadStatus status = ReadStatus::unavailable;
  uint64_t revision = 0;
  std::vector<KeyValue> changes;  // in their order; a value of null is a removal
};

/// The client of one controller; it keeps to that controller's share of the store's limits. Any
/// coroutine of the controller's loop may call it; calls wait in the order of their priorities.
class KeyValueClient {
 public:
  enum class Renewal : uint8_t { renewed, ended, unknown };

  KeyValueClient(Loop& loop, HttpClient& http, Endpoint endpoint, const StateLimitSettings& limits);

  [[nodiscard]] Task<TransactionResult> compare_and_swap(Transaction transaction,
                                                         RequestPriority priority);
  /// Repeats the transaction until its outcome is definite, or until stopped: see the reasoning at
  /// the definition, also for which transactions it may be used.
  [[nodiscard]] Task<TransactionResult> commit_until_resolved(Transaction transaction,
                                                              RequestPriority priority,
                                                              std::stop_token stop_token);
  [[nodiscard]] Task<GetResult> get(std::string key, RequestPriority priority);
  /// The first page of the keys with this prefix that come after `after`, in their order.
  [[nodiscard]] Task<RangeResult> range(std::string prefix, std::string after,
                                        RequestPriority priority);
  /// Changes after revision `after`; waits up to `wait_s` seconds for the first one.
  [[nodiscard]] Task<WatchResult> watch(std::string prefix, uint64_t after, double wait_s);

  /// A new lease that ends `ttl_s` seconds after its last renewal; nothing when none was granted.
  [[nodiscard]] Task<std::optional<uint64_t>> grant_lease(double ttl_s);
  [[nodiscard]] Task<Renewal> renew_lease(uint64_t lease);
  /// Ends the lease at once; the keys attached to it are removed.
  Task<void> revoke_lease(uint64_t lease);

  RateLimiter& rate_limiter() { return rate_limiter_; }
  /// Seconds since the last answer that shows the store to be in service; infinite before it.
  double contact_age_s() const { return loop_.now() - last_contact_at_; }

 private:
  Task<HttpReply> call(Method method, std::string target, std::string body,
                       RequestPriority priority, int writes, double timeout_s);

  Loop& loop_;
  HttpClient& http_;
  Endpoint endpoint_;
  RateLimiter rate_limiter_;
  double last_contact_at_ = never;
};

}  // namespace damsonport
