/// Return type for operations that are expected to fail sometimes: a value or an error. Modelled on
/// std::expected, which C++20 lacks.
#pragma once
#include <string>
#include <utility>
#include <variant>

namespace damsonport {

/// Text of one or more problems, one per line.
struct Error {
  std::string text;

  bool empty() const { return text.empty(); }
  /// Appends one problem, or several problems separated by line breaks.
  void add(const std::string& problem) {
    if (!text.empty()) text += '\n';
    text += problem;
  }
  /// Returns a copy with the prefix "FILE: " before each problem.
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

/// Holds either a T or an Error. Access to the alternative that is not held throws
/// std::bad_variant_access.
template <class T>
class [[nodiscard]] Result {
 public:
  // NOLINTNEXTLINE(google-explicit-constructor): lets functions return a value
  Result(T value) : state_(std::move(value)) {}
  // NOLINTNEXTLINE(google-explicit-constructor): lets functions return an error
  Result(Error error) : state_(std::move(error)) {}

  bool has_value() const { return std::holds_alternative<T>(state_); }
  explicit operator bool() const { return has_value(); }

  T& value() { return std::get<T>(state_); }
  const T& value() const { return std::get<T>(state_); }
  T& operator*() { return value(); }
  const T& operator*() const { return value(); }
  T* operator->() { return &value(); }
  const T* operator->() const { return &value(); }

  /// Returns the problems, one per line.
  const std::string& error() const { return std::get<Error>(state_).text; }
  /// Returns the problems, each with the name of the file as a prefix; see Error::in().
  Error error_in(const std::string& file) const { return std::get<Error>(state_).in(file); }

 private:
  std::variant<T, Error> state_;
};

}  // namespace damsonport
