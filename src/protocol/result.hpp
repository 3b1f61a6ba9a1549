// A value or the reason why there is none, for the paths where failure is ordinary.
#pragma once
#include <string>
#include <utility>
#include <variant>

namespace damsonport {

struct Error {
  std::string text;
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

 private:
  std::variant<T, Error> state_;
};

}  // namespace damsonport
