/// Structural mutations of encoded messages, for the fuzzer of the decoders.
#pragma once
#include <random>
#include <string>
#include <vector>

namespace damsonport::fuzz {

/// Derives malformed and oddly encoded bodies from sound ones. Bodies with the same seed and corpus
/// are the same in every run.
class BodyMutator {
 public:
  /// `corpus` must not be empty and must outlive the mutator.
  BodyMutator(const std::vector<std::string>& corpus, uint64_t seed)
      : corpus_(corpus), random_(seed) {}

  /// Returns a body of the corpus with up to eight mutations.
  std::string next();

 private:
  size_t below(size_t bound) {
    return std::uniform_int_distribution<size_t>(0, bound - 1)(random_);
  }
  std::string drawn_piece();
  void mutate(std::string& body);

  const std::vector<std::string>& corpus_;
  std::mt19937_64 random_;
};

}  // namespace damsonport::fuzz
