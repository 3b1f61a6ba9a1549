/// Client of the key-value store: transactions, reads, watches and leases.
///
/// The field names of the store's messages differ from the names used here; they occur only in
/// key_value_client.cpp.
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

/// One put or delete of a transaction.
struct Write {
  std::string key;
  Json value;          // null: delete
  uint64_t lease = 0;  // lease that the key is attached to; 0: none
};

/// Writes that are applied atomically if all preconditions hold, and not at all otherwise.
struct Transaction {
  std::map<std::string, uint64_t> preconditions;  // key -> expected version; 0: the key is absent
  std::vector<Write> writes;
};

/// Outcome of a transaction. Every outcome except `unknown` is definite. The HTTP statuses that map
/// to an outcome are in parentheses.
enum class TransactionOutcome : uint8_t {
  committed,
  conflict,  // a precondition failed; nothing was applied (409)
  refused,   // not executed: rate limit or outage of the store (429, 503)
  invalid,   // malformed, for example with a lease that has ended (400)
  unknown,   // may have been applied, or may still be applied later
};

/// Result of a transaction.
struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::unknown;
  uint64_t revision = 0;                 // of the commit or conflict; 0 for other outcomes
  std::vector<std::string> failed_keys;  // keys with failed preconditions, on a conflict
};

/// Outcome of reading one key; `unavailable`: no usable response arrived.
enum class GetStatus : uint8_t { found, absent, unavailable };

/// Result of reading one key.
struct GetResult {
  GetStatus status = GetStatus::unavailable;
  // For an absent key, the value is null and the version is the revision at which the key is
  // absent.
  KeyValue key_value;

  bool found() const { return status == GetStatus::found; }
  /// Whether the response states if the key exists.
  bool answered() const { return status != GetStatus::unavailable; }
};

/// Outcome of a listing or a watch.
enum class ReadStatus : uint8_t {
  ok,
  unavailable,
  compacted,  // watches only: the store no longer has the requested changes
};

/// One page of a listing.
struct RangeResult {
  ReadStatus status = ReadStatus::unavailable;
  bool has_more = false;  // more keys follow the last key of this page
  uint64_t revision = 0;
  std::vector<KeyValue> key_values;
};

/// Result of one watch request.
struct WatchResult {
  ReadStatus status = ReadStatus::unavailable;
  uint64_t revision = 0;
  std::vector<KeyValue> changes;  // ordered by revision; a null value is a removal
};

/// The key-value store client of one controller, which keeps within that controller's share of the
/// store's limits. Any coroutine of the controller's loop may call the client; calls that wait for
/// the rate limit proceed in order of priority. Failures of the network never throw: they are
/// `unknown` or `unavailable` results.
class KeyValueClient {
 public:
  /// Outcome of a lease renewal; `ended`: the store no longer has the lease.
  enum class Renewal : uint8_t { renewed, ended, unknown };

  /// `loop` and `http` must outlive the client.
  KeyValueClient(Loop& loop, HttpClient& http, Endpoint endpoint, const StateLimitSettings& limits);

  /// Sends the transaction once.
  [[nodiscard]] Task<TransactionResult> compare_and_swap(Transaction transaction,
                                                         RequestPriority priority);
  /// Sends the transaction repeatedly until it commits, conflicts or, without an earlier copy that
  /// may still be applied, is invalid; or until a stop is requested. The transaction has to write
  /// at least one of the keys of its preconditions; the comment at the definition explains why.
  [[nodiscard]] Task<TransactionResult> commit_until_resolved(Transaction transaction,
                                                              RequestPriority priority,
                                                              std::stop_token stop_token);
  /// Reads one key.
  [[nodiscard]] Task<GetResult> get(std::string key, RequestPriority priority);
  /// Reads the first page of the keys with this prefix that sort after `after`, in key order.
  [[nodiscard]] Task<RangeResult> range(std::string prefix, std::string after,
                                        RequestPriority priority);
  /// Reads the changes after revision `after` of keys with this prefix; waits up to `wait_s`
  /// seconds for the first change.
  [[nodiscard]] Task<WatchResult> watch(std::string prefix, uint64_t after, double wait_s);

  /// Requests a new lease, which ends `ttl_s` seconds after its last renewal. Returns the lease ID,
  /// or nullopt when no lease was granted.
  [[nodiscard]] Task<std::optional<uint64_t>> grant_lease(double ttl_s);
  /// Renews the lease for the duration with which the lease was granted.
  [[nodiscard]] Task<Renewal> renew_lease(uint64_t lease);
  /// Ends the lease at once; the store removes the keys attached to it.
  Task<void> revoke_lease(uint64_t lease);

  RateLimiter& rate_limiter() { return rate_limiter_; }
  /// Seconds since the last response that shows the store to be in service, which is any response
  /// except 503; infinite before the first one.
  double contact_age_s() const { return loop_.now() - last_contact_at_; }

 private:
  Task<HttpClientResponse> call(Method method, std::string target, std::string body,
                                RequestPriority priority, int writes, double timeout_s);

  Loop& loop_;
  HttpClient& http_;
  Endpoint endpoint_;
  RateLimiter rate_limiter_;
  double last_contact_at_ = never;
};

}  // namespace damsonport
