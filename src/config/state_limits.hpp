/// Limits of the key-value store: those in force at present and those announced for later.
#pragma once

namespace damsonport {

/// One set of limits. The comment of each field quotes the field's name in the settings file.
struct StateLimits {
  double requests_per_s = 0;  ///< "rps"
  double writes_per_s = 0;    ///< "write_rps": puts and deletes
  double value_kb = 0;        ///< "value_kb": size of one value in its JSON form, KiB
  int txn_writes = 0;         ///< "txn_ops": puts and deletes in one transaction

  /// Maximum number of preconditions in one transaction, as the store's protocol defines it.
  int txn_conditions() const { return 4 * txn_writes; }
  /// Maximum size of one value, in bytes.
  double value_bytes() const { return value_kb * 1024; }
};

/// The present and the announced limits. The announced limits come into force at an unknown time,
/// so requests must be sized to fit both sets.
class StateLimitSettings {
 public:
  StateLimitSettings() = default;
  StateLimitSettings(const StateLimits& present, const StateLimits& announced);

  /// The limits in force when the settings file was written.
  const StateLimits& present() const { return present_; }
  /// The smaller value of each limit. A request that fits these limits is accepted before and after
  /// the change.
  const StateLimits& minimum() const { return minimum_; }

 private:
  StateLimits present_, minimum_;
};

}  // namespace damsonport
