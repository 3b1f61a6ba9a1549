// A value or the reason why there is none, for the paths where failure is ordinary.
#pragma once
#include <string>
#include <utility>
#include <variant>

namespace damsonport {

// One problem a line.
struct Error {
  std::string text;
  void add(const std::string& problem) {
    if (!text.empty()) text += '\n';
    text += problem;
  }
  // With the file that each problem was found in before it.
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

template <class T>
class [[nodiscard]] Result {
 public:
  Result(T value) : state_(std::move(value)) {}
  Result(Error error) : state_(std::move(error)) {}
  explicit operator bool() const { return std::holds_alternative<T>(state_); }
  T& operator*() { return std::get<T>(state_); }
  const T& operator*() const { return std::get<T>(state_); }
  T* operator->() { return &std::get<T>(state_); }
  const T* operator->() const { return &std::get<T>(state_); }
  const std::string& error() const { return std::get<Error>(state_).text; }
  Error error_in(const std::string& file) const { return std::get<Error>(state_).in(file); }

 private:
  std::variant<T, Error> state_;
};

}  // namespace damsonport
