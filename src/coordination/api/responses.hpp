/// The HTTP responses of the user API that more than one of its handlers gives.
#pragma once
#include <string>

#include "transport/http.hpp"

namespace damsonport {

/// 400: the request is malformed; clients do not repeat it. `reason` becomes the body's `error`.
HttpResponse bad_request(const std::string& reason);
/// 404: there is no such job, or no such path.
HttpResponse not_found();
/// 405: the path does not support the method.
HttpResponse method_not_allowed();
/// 422: the request is well formed, but can never be carried out for `reason`.
HttpResponse unprocessable(const std::string& reason);
/// 429: too much is queued; the client may repeat the request after `retry_after_s` seconds.
HttpResponse too_many_requests(double retry_after_s);
/// 503: this controller cannot answer for now; the client may repeat the request shortly.
HttpResponse unavailable();

}  // namespace damsonport
