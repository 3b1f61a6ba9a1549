// The limits of the state service: those published for the present and those announced for later.
#pragma once

namespace damsonport {

struct StateLimits {
  double requests_per_s = 0;
  double writes_per_s = 0;  // puts and deletes
  double value_kb = 0;      // of one value, in the JSON form
  int txn_writes = 0;       // puts and deletes in one transaction

  // Conditions of one transaction, by the protocol.
  int txn_conditions() const { return 4 * txn_writes; }
  double value_bytes() const { return value_kb * 1024; }
};

// Owns the question which limits hold. The announced ones come into force at an unknown moment, so
// whatever is sized by them has to fit both sets.
class StateLimitSettings {
 public:
  StateLimitSettings() = default;
  StateLimitSettings(const StateLimits& present, const StateLimits& announced);

  const StateLimits& present() const { return present_; }
  // The smaller of each figure: what fits it is accepted before and after the change.
  const StateLimits& always() const { return always_; }

 private:
  StateLimits present_, always_;
};

}  // namespace damsonport
