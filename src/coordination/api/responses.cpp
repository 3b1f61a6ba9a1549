#include "coordination/api/responses.hpp"

#include "protocol/messages.hpp"

namespace damsonport {

namespace {
constexpr double unavailable_retry_after_s = 1;

std::string error_body(const std::string& reason) { return encode({{"error", reason}}); }
}  // namespace

HttpResponse bad_request(const std::string& reason) {
  return {400, error_body(reason), 0, false, reason};
}

HttpResponse undecodable(const char* detail) {
  return {400, error_body("the body is not a CBOR map"), 0, false, detail};
}

HttpResponse not_found() { return {404, {}, 0}; }

HttpResponse method_not_allowed() { return {405, {}, 0}; }

HttpResponse unprocessable(const std::string& reason) { return {422, error_body(reason), 0}; }

HttpResponse too_many_requests(double retry_after_s) { return {429, {}, retry_after_s}; }

HttpResponse unavailable() { return {503, {}, unavailable_retry_after_s}; }

}  // namespace damsonport
