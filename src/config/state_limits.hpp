/// The limits of the key-value store: those in force and those announced for later.
#pragma once

namespace damsonport {

struct StateLimits {
  double requests_per_s = 0;  ///< "rps"
  double writes_per_s = 0;    ///< "write_rps": puts and deletes
  double value_kb = 0;        ///< "value_kb": size of one value in its JSON form, KiB
  int txn_writes = 0;         ///< "txn_ops": puts and deletes in one transaction

  /// Preconditions of one transaction, by the protocol.
  int txn_conditions() const { return 4 * txn_writes; }
  double value_bytes() const { return value_kb * 1024; }
};

/// Says which limits to go by. The announced ones come into force at an unknown moment, so whatever
/// is sized by them has to fit both sets.
class StateLimitSettings {
 public:
  StateLimitSettings() = default;
  StateLimitSettings(const StateLimits& present, const StateLimits& announced);

  /// In force when the settings were written.
  const StateLimits& present() const { return present_; }
  /// The smaller of each figure: what fits it is accepted before and after the change.
  const StateLimits& always() const { return always_; }

 private:
  StateLimits present_, always_;
};

}  // namespace damsonport
