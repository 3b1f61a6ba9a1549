// Client of the state service: transactions, reads, watches and leases, inside this node's limits.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "protocol/messages.hpp"
#include "storage/rate_limit.hpp"
#include "transport/http.hpp"

namespace damsonport {

struct Write {
  std::string key;
  Json value;  // null: delete
  uint64_t lease = 0;
};

struct Transaction {
  std::map<std::string, uint64_t> preconditions;  // key -> version, 0: absent
  std::vector<Write> writes;
};

enum class TransactionOutcome : uint8_t {
  committed,
  conflict,  // definite: not applied
  refused,   // definite: not executed (429, 503)
  invalid,   // definite: 400, for example an ended lease
  unknown,   // may have been, or may yet be, applied
};

struct TransactionResult {
  TransactionOutcome outcome = TransactionOutcome::unknown;
  uint64_t revision = 0;
  std::vector<std::string> failed;
};

struct KeyValue {
  std::string key;
  Json value;  // null: deleted
  uint64_t version = 0;
  uint64_t lease = 0;
};

enum class GetStatus : uint8_t { found, absent, unavailable };

struct GetResult {
  GetStatus status = GetStatus::unavailable;
  bool found() const { return status == GetStatus::found; }
  bool answered() const { return status != GetStatus::unavailable; }
  KeyValue key_value;
};

struct RangeResult {
  bool ok = false;
  bool more = false;
  bool too_old = false;  // watches only
  uint64_t revision = 0;
  std::vector<KeyValue> key_values;
};

class KeyValueClient {
 public:
  KeyValueClient(Loop& loop, HttpClient& http, Endpoint endpoint, const StateLimitSettings& limits);
  Task<TransactionResult> compare_and_swap(Transaction transaction, RequestPriority importance);
  // Repeats until the outcome is definite: see the reasoning at its definition.
  Task<TransactionResult> commit_until_resolved(Transaction transaction, RequestPriority importance,
                                                std::stop_token stop_token);
  Task<GetResult> get(std::string key, RequestPriority importance);
  Task<RangeResult> range(std::string prefix, std::string after, RequestPriority importance);
  Task<RangeResult> watch(std::string prefix, uint64_t after, double wait_s);
  // 0: none could be had.
  Task<uint64_t> new_lease(double ttl_s);
  enum class Renewal : uint8_t { renewed, ended, unknown };
  Task<Renewal> renew(uint64_t lease);
  // Ends it at once, and the keys attached to it go.
  Task<void> end(uint64_t lease);

  RateLimiter& limit() { return limit_; }
  // Seconds since the last definite answer that was not a refusal for an outage.
  double contact_age_s() const { return loop_.now() - last_contact_; }

 private:
  Task<HttpReply> call(Method method, std::string target, std::string body,
                       RequestPriority importance, int writes, double timeout_s);
  Loop& loop_;
  HttpClient& http_;
  Endpoint endpoint_;
  RateLimiter limit_;
  double last_contact_ = -1e9;
};

}  // namespace damsonport
