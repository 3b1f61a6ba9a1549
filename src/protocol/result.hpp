/// A value or the reason why there is none, for the paths where failure is ordinary. Modelled on
/// std::expected, which this language standard lacks.
#pragma once
#include <string>
#include <utility>
#include <variant>

namespace damsonport {

/// One or more problems, one a line.
struct Error {
  std::string text;

  bool empty() const { return text.empty(); }
  /// Appends a problem, or several with one a line.
  void add(const std::string& problem) {
    if (!text.empty()) text += '\n';
    text += problem;
  }
  /// The same with "FILE: " in front of each problem.
  Error in(const std::string& file) const {
    Error out;
    size_t from = 0;
    for (size_t end = 0; end != std::string::npos; from = end + 1) {
      end = text.find('\n', from);
      out.add(file + ": " + text.substr(from, end - from));
    }
    return out;
  }
};

/// Holds either a T or an Error. Reading the one that it doesn't hold throws
/// std::bad_variant_access.
template <class T>
class [[nodiscard]] Result {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): a value is returned as it is
  Result(T value) : state_(std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): so is an error
  Result(Error error) : state_(std::move(error)) {}

  bool has_value() const { return std::holds_alternative<T>(state_); }
  explicit operator bool() const { return has_value(); }

  T& value() { return std::get<T>(state_); }
  const T& value() const { return std::get<T>(state_); }
  T& operator*() { return value(); }
  const T& operator*() const { return value(); }
  T* operator->() { return &value(); }
  const T* operator->() const { return &value(); }

  /// The problems, one a line.
  const std::string& error() const { return std::get<Error>(state_).text; }
  /// The problems, each with the name of the file that it was found in.
  Error error_in(const std::string& file) const { return std::get<Error>(state_).in(file); }

 private:
  std::variant<T, Error> state_;
};

}  // namespace damsonport
